"""Interface for calls to endpoints, and the outcomes of a call.

`NotSent` is the only outcome that guarantees that no byte of the call was sent. After
`Lost` and `TimedOut` the call may have run.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.configuration import Endpoint

# Name of the event with which an engine ends a complete stream.
FINAL_EVENT = "done"


@dataclass(frozen=True, slots=True)
class StageCall:
    """One attempt to run one stage of a request.

    Attributes
    ----------
    request_id : str
        Id of the request, unique over all teams and entry VMs.
    stage : str
        Name of the stage.
    attempt : int
        Number of this attempt at the stage, from 1.
    team : str
        Team of the request.
    body : bytes
        Input of the stage.
    timeout_s : float
        Time until the request's deadline, in seconds.
    priority : int
        Scheduling priority; 0 is served first.
    idempotency_key : str
        The caller's idempotency key, forwarded to the endpoint; empty for none.
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
class EndpointReport:
    """State that an endpoint reports in the headers of a response.

    Attributes
    ----------
    incarnation : int
        Number of this instance of the endpoint; 0 if it reports none.
    is_leaving : bool
        Whether the endpoint accepts no new work.
    load : int or None
        Number of calls that it runs or queues for all nodes; None if not reported.
    tokens : int
        Number of tokens generated for a complete response; 0 if not reported.
    """

    incarnation: int = 0
    is_leaving: bool = False
    load: int | None = None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's complete response, verified to belong to the call."""

    body: bytes
    report: EndpointReport


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was established, so no byte of the call was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint responded with an error status and did not run the call.

    Attributes
    ----------
    detail : str
        Status and start of the response body.
    is_busy : bool
        Whether another endpoint may accept the call; False if the call is invalid.
    report : EndpointReport
        State that the endpoint reported.
    """

    detail: str
    is_busy: bool
    report: EndpointReport


@dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run, but no valid response to it arrived.

    Either the connection failed, or the response was a server error or belonged to
    another call.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No response arrived before the timeout; the call may have run."""

    detail: str


CallOutcome: TypeAlias = Answered | NotSent | Refused | Lost | TimedOut


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The stream ended without the engine's final event."""

    detail: str


class Stream(ABC):
    """Server-sent events of one engine stream.

    Attributes
    ----------
    stream_id : str
        The engine's id of the stream, with which the stream can be resumed.
    report : EndpointReport
        State that the engine reported when it opened the stream.
    """

    stream_id: str
    report: EndpointReport

    @abstractmethod
    def events(self) -> Iterator[bytes | StreamBroken]:
        """Yield blocks of complete events; a `StreamBroken`, if any, comes last.

        Events that arrive together are yielded as one block, unchanged. Nothing is
        yielded after the block with the final event.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the connection."""


@dataclass(frozen=True, slots=True)
class StreamResumeCall:
    """Request to continue an engine's stream.

    Attributes
    ----------
    stream_id : str
        The engine's id of the stream.
    offset : int
        Position to continue from, in bytes of the generated text.
    timeout_s : float
        Time until the request's deadline, in seconds.
    """

    stream_id: str
    offset: int
    timeout_s: float


class EndpointClient(ABC):
    """Client of endpoints that makes exactly one attempt for each call."""

    @abstractmethod
    def call(self, endpoint: Endpoint, call: StageCall) -> CallOutcome:
        """Call a stage and wait for the complete response."""

    @abstractmethod
    def open_stream(
        self, endpoint: Endpoint, call: StageCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Call a stage that streams its output; return once the stream is open."""

    @abstractmethod
    def resume_stream(
        self, endpoint: Endpoint, resume: StreamResumeCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Continue an engine's stream at an offset."""

    @abstractmethod
    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to cancel its work on a request."""
