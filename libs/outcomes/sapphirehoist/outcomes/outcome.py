"""The four outcomes of a request.

`NotRun` guarantees that no byte of the request was sent to an endpoint. `Unknown` means
that the request may or may not have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.outcomes.reasons import Reason


@dataclass(frozen=True, slots=True)
class Done:
    """The request succeeded.

    Attributes
    ----------
    body : bytes
        Output of the last stage, as returned by the endpoint.
    is_replayed : bool
        Whether the output was stored by an earlier request with the same idempotency
        key.
    """

    body: bytes
    is_replayed: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run; the caller may retry after `retry_after_s` seconds."""

    reason: Reason
    detail: str
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended with an error.

    The endpoint or a validation reported it, the deadline passed, the connection was
    lost, or the caller left.
    """

    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; a retry with a new idempotency key may run it again."""

    reason: Reason
    detail: str


Outcome: TypeAlias = Done | NotRun | Failed | Unknown
