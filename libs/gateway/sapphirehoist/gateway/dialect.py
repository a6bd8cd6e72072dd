"""What the gateway knows of a request, and the interface to whoever encodes it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from sapphirehoist.decisions import PromptPart
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.http1 import Headers, OutboundRequest, RequestHead, ResponseHead


@dataclass(frozen=True, slots=True)
class Generation:
    """What a model engine is asked for.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Size of the prompt; the most tokens to generate.
    parts : tuple of PromptPart
        The prompt in parts that requests may share.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a caller.

    Attributes
    ----------
    request_id : str
        Unique to the attempt.
    host : str
        Selects the route, together with the path.
    deadline_s : float or None
        How long the caller waits.
    key : str
        The caller's key; empty where it sent none.
    pieces : tuple of int
        Number of pieces of each stage.
    piece_key : str
        Names the input of stages that need no other stage.
    generation : Generation or None
        Present where a model engine is asked.
    last_event : str
        Id of the last event that the caller has; empty for a new stream.
    """

    request_id: str
    host: str
    deadline_s: float | None = None
    key: str = ""
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    generation: Generation | None = None
    last_event: str = ""


@dataclass(frozen=True, slots=True)
class BadCall:
    """A request that cannot be understood."""

    detail: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests that run and wait at an endpoint, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ReplySigns:
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    is_sealed : bool
        Whether the endpoint vouches for the body.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_encoded : bool
        Whether the body is not the endpoint's own bytes.
    request_id : str
        Request that it answers; empty where it names none.
    endpoint : str
        Endpoint that answers; empty where it names none.
    load : LoadReport or None
        Its load, where it tells it.
    """

    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    request_id: str
    endpoint: str
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class Assignment:
    """What one endpoint is told beside the caller's own request.

    Attributes
    ----------
    endpoint : EndpointRecord
        Whoever else has taken over its address refuses the request.
    remaining_s : float
        Time until the caller's deadline.
    team : str
        Owner of the caller's key; empty on open routes.
    urgency : int
        Rank at the engine, 0 to 9; 0 goes first.
    inputs : tuple of str or None
        Results of the last stages; None where the route has no stages.
    last_event : str
        Id of the last event that the caller has.
    """

    endpoint: EndpointRecord
    remaining_s: float
    team: str = ""
    urgency: int | None = None
    inputs: tuple[str, ...] | None = None
    last_event: str = ""


@dataclass(frozen=True, slots=True)
class PieceOrder:
    """One piece of a stage's call.

    Attributes
    ----------
    request_id, stage, piece : str, int, int
        Which piece it is.
    remaining_s : float
        Time in which it is of use.
    key : str
        Input of a stage that needs no other stage.
    inputs : tuple of str
        Results of the stages before.
    """

    request_id: str
    stage: int
    piece: int
    remaining_s: float
    key: str = ""
    inputs: tuple[str, ...] = ()

    def within(self, remaining_s: float) -> PieceOrder:
        """Return the same piece with another time left."""
        return replace(self, remaining_s=remaining_s)


@dataclass(frozen=True, slots=True)
class PieceMade:
    """The result, which stays at its maker under `handle`."""

    handle: str


@dataclass(frozen=True, slots=True)
class PieceFailed:
    """Why there is no result: `late`, `gone`, `room`, `error` or `lost`."""

    reason: str


@dataclass(frozen=True, slots=True)
class StageResults:
    """One result for each piece of the call, in its order."""

    results: tuple[PieceMade | PieceFailed, ...] = field(default=())


class CallDialect(ABC):
    """Encodes calls to endpoints and decodes callers' requests."""

    @abstractmethod
    def read_call(self, head: RequestHead) -> Call | BadCall:
        """Decode what a caller sent."""

    @abstractmethod
    def endpoint_head(self, head: RequestHead, assignment: Assignment) -> RequestHead:
        """Return the head of the request for an endpoint."""

    @abstractmethod
    def read_signs(self, head: ResponseHead) -> ReplySigns:
        """Decode the head of an endpoint's answer."""

    @abstractmethod
    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets."""

    @abstractmethod
    def stage_request(
        self, endpoint: EndpointRecord, orders: Sequence[PieceOrder]
    ) -> OutboundRequest:
        """Return a call to a stage's endpoint."""

    @abstractmethod
    def read_stage_results(self, body: bytes, count: int) -> StageResults | BadCall:
        """Decode the answer to a call of `count` pieces."""

    @abstractmethod
    def free_request(self, handles: Sequence[str]) -> OutboundRequest:
        """Return a call that gives up results."""

    @abstractmethod
    def event_id(self, event: bytes) -> str:
        """Return the id of a stream's event; empty where it has none."""
