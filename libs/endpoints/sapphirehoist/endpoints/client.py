"""How one call reaches an endpoint, and the ways in which it can end.

Only `NotSent` says that no byte of the call left. After any other end but `Answered`
the call may have run.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.configuration import Endpoint


@dataclass(frozen=True, slots=True)
class StageCall:
    """One attempt at one stage of one request.

    Attributes
    ----------
    request_id : str
        Unique over all teams and entry VMs.
    stage : str
        Name of the call.
    attempt : int
        Number of this attempt at the stage, from 1.
    team : str
        Whose request it is.
    body : bytes
        Input of the stage.
    timeout_s : float
        What is left of the deadline.
    priority : int
        0 is served first.
    idempotency_key : str
        The caller's key, passed on to plain services.
    """

    request_id: str
    stage: str
    attempt: int
    team: str
    body: bytes
    timeout_s: float
    priority: int = 0
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class EndpointSigns:
    """What an endpoint says of itself with an answer.

    Attributes
    ----------
    incarnation : int
        Number of this instance of the endpoint; 0 where it gives none.
    is_leaving : bool
        Whether it takes no more work.
    load : int or None
        Calls that it runs or queues, from all nodes.
    tokens : int
        Tokens that it generated for a whole answer; 0 where it does not say.
    """

    incarnation: int = 0
    is_leaving: bool = False
    load: int | None = None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's whole answer, matched to the call."""

    body: bytes
    signs: EndpointSigns


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made: nothing left."""

    detail: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint answered that it did not run the call.

    Attributes
    ----------
    is_busy : bool
        Whether another endpoint may take it; else the call itself is at fault.
    """

    detail: str
    is_busy: bool
    signs: EndpointSigns


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection failed, or the answer was another call's: it may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer came in time: it may have run."""

    detail: str


CallOutcome: TypeAlias = Answered | NotSent | Refused | Lost | TimedOut


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The stream ended before the engine said that it was complete."""

    detail: str


class Stream(ABC):
    """Server-sent events of one engine stream.

    Attributes
    ----------
    stream_id : str
        The engine's id, by which the stream can be resumed and cancelled.
    signs : EndpointSigns
        What the engine said of itself.
    """

    stream_id: str
    signs: EndpointSigns

    @abstractmethod
    def events(self) -> Iterator[bytes | StreamBroken]:
        """Yield blocks of whole events; `StreamBroken` can only come last.

        Events that arrive together are yielded together, unparsed.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the connection."""


@dataclass(frozen=True, slots=True)
class StreamResume:
    """Names a place in an engine's stream: `offset` is in bytes of its text."""

    stream_id: str
    offset: int
    timeout_s: float


class EndpointClient(ABC):
    """Calls endpoints; makes exactly one attempt for each call."""

    @abstractmethod
    def call(self, endpoint: Endpoint, call: StageCall) -> CallOutcome:
        """Call a stage and wait for its whole answer."""

    @abstractmethod
    def open_stream(
        self, endpoint: Endpoint, call: StageCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Call a stage that generates tokens."""

    @abstractmethod
    def resume_stream(
        self, endpoint: Endpoint, resume: StreamResume
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Continue an engine's stream from an offset."""

    @abstractmethod
    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to stop working on a request."""
