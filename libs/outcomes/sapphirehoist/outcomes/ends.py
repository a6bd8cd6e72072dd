"""The four ends of a request.

`NotRun` is a promise: no byte of the request left for an endpoint. `Unknown`
says that the request may or may not have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.outcomes.reasons import Reason


@dataclass(frozen=True, slots=True)
class Done:
    """The whole answer.

    Attributes
    ----------
    body : bytes
        The last stage's output, as the endpoint produced it.
    replayed : bool
        Whether the answer was stored by an earlier request with the same key.
    """

    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing ran; the caller may try again after `retry_after_s` seconds."""

    reason: Reason
    detail: str
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended in an error that the endpoint or a check reported."""

    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; repeating it under another key may run it twice."""

    reason: Reason
    detail: str


Outcome: TypeAlias = Done | NotRun | Failed | Unknown
