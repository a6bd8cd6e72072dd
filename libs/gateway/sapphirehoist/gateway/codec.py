"""Decoded requests, replies and stage calls, and the interface of their codec."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from sapphirehoist.decisions import PromptPart
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.http1 import Headers, OutboundRequest, RequestHead, ResponseHead


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Size and prompt parts of a request to a model engine.

    Attributes
    ----------
    prompt_tokens : int
        Number of tokens in the prompt.
    output_tokens : int
        Maximum number of tokens to generate.
    prompt_parts : tuple of PromptPart
        Consecutive parts of the prompt; other requests may have the same parts.
    """

    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[PromptPart, ...] = ()

    @property
    def shared_part_names(self) -> tuple[str, ...]:
        """Return the names of all parts but the last, which is not shared."""
        return tuple(part.name for part in self.prompt_parts[:-1])


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Decoded metadata of a caller's request.

    Attributes
    ----------
    request_id : str
        Unique id; a retry by the caller has another one.
    host : str
        Host name, which selects the route together with the path.
    deadline_s : float or None
        Time that the caller waits for a response.
    api_key : str
        The caller's API key; empty if it sent none.
    piece_counts : tuple of int
        Number of pieces of each stage.
    piece_key : str
        Key of the input of the stages that depend on no other stage.
    generation : GenerationRequest or None
        Size of the prompt and the output; None if the caller sent no token counts.
    last_event_id : str
        Id of the last event that the caller has received; empty for a new stream.
    resumed_request_id : str
        Id of the caller's request that began the stream; empty if not stated.
    """

    request_id: str
    host: str
    deadline_s: float | None = None
    api_key: str = ""
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    generation: GenerationRequest | None = None
    last_event_id: str = ""
    resumed_request_id: str = ""

    @property
    def stream_id(self) -> str:
        """Return the id of the request that began the stream, where stated."""
        if not self.last_event_id:
            return self.request_id
        return self.resumed_request_id or self.request_id


@dataclass(frozen=True, slots=True)
class DecodeFailure:
    """A message that cannot be decoded."""

    detail: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports.

    Attributes
    ----------
    running, waiting : int
        Number of requests that are being processed and that are queued.
    slots : int
        Number of requests that the endpoint processes concurrently.
    slowdown : float
        Factor by which work takes longer there at present than it normally does.
    invalid_slowdown : str
        The stated slowdown if it is invalid; `slowdown` is then 1.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    invalid_slowdown: str = ""


@dataclass(frozen=True, slots=True)
class ReplyMetadata:
    """Decoded metadata of an endpoint's reply.

    Attributes
    ----------
    is_sealed : bool
        Whether the reply carries a seal, by which the endpoint confirms its body.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_encoded : bool
        Whether the body has a content encoding, so that it is not the endpoint's own.
    request_id : str
        Id of the request that the reply belongs to; empty if not stated.
    endpoint : str
        Name of the endpoint that replied; empty if not stated.
    load : LoadReport or None
        Load of the endpoint; None if not stated.
    is_leaving : bool
        Whether the endpoint states that it is leaving.
    retry_after_s : float or None
        Time in seconds for which an endpoint that turned the request away wants no
        other one; None if not stated.
    limit_per_s : float or None
        Requests per second that the endpoint takes from all nodes together; None if it
        states no limit.
    cold_s : float or None
        Remaining warm-up time of the endpoint in seconds; None if not stated.
    invalid_fields : tuple of str
        Statements about the endpoint that cannot be decoded and are ignored.
    survived_rejections_per_s : float or None
        Rejections per second that a brittle endpoint survives; None if it is not
        brittle.
    """

    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    request_id: str
    endpoint: str
    load: LoadReport | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    cold_s: float | None = None
    invalid_fields: tuple[str, ...] = ()
    survived_rejections_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Metadata that is added to a request for one endpoint.

    Attributes
    ----------
    endpoint : EndpointRecord
        The intended endpoint. Another one that has since taken its address rejects
        the request.
    remaining_s : float
        Time until the caller's deadline.
    team : str
        Team that owns the caller's key; empty on public routes.
    engine_priority : int or None
        Priority at a model engine, 0 to 9; 0 is served first. None for other services.
    input_handles : tuple of str or None
        Handles of the results of the last stages; None if the route has no stages.
    last_event_id : str
        Id of the last event that the caller has received.
    """

    endpoint: EndpointRecord
    remaining_s: float
    team: str = ""
    engine_priority: int | None = None
    input_handles: tuple[str, ...] | None = None
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class PieceRequest:
    """Request to compute one piece of a stage.

    Attributes
    ----------
    request_id : str
        Id of the caller's request.
    stage, piece : int
        Index of the stage, and of the piece within it.
    remaining_s : float
        Time for which the result is still useful, in seconds.
    key : str
        Key of the input of a stage that depends on no other stage.
    inputs : tuple of str
        Handles of the results of the preceding stages.
    """

    request_id: str
    stage: int
    piece: int
    remaining_s: float
    key: str = ""
    inputs: tuple[str, ...] = ()

    def with_remaining_time(self, remaining_s: float) -> PieceRequest:
        """Return the request for the same piece with another remaining time."""
        return replace(self, remaining_s=remaining_s)


@dataclass(frozen=True, slots=True)
class PieceComputed:
    """A computed piece; the endpoint that computed it holds it under `handle`."""

    handle: str


@dataclass(frozen=True, slots=True)
class PieceFailed:
    """A piece without a result.

    Attributes
    ----------
    reason : str
        `late` (its remaining time has passed), `gone` (an input no longer exists),
        `room` (the endpoint has no free space for the result), `error` (the endpoint
        failed to compute it), `lost` (no usable reply, or the endpoint is draining)
        or another text.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class StageResults:
    """Results of a stage call, one for each piece in the order of the call."""

    results: tuple[PieceComputed | PieceFailed, ...] = field(default=())


class CallCodec(ABC):
    """Encodes requests to endpoints and decodes callers' requests and replies."""

    @abstractmethod
    def decode_request(self, head: RequestHead) -> RequestMetadata | DecodeFailure:
        """Decode the metadata of a caller's request."""

    @abstractmethod
    def encode_request_head(
        self, head: RequestHead, metadata: ForwardingMetadata
    ) -> RequestHead:
        """Encode the head of the request to an endpoint."""

    @abstractmethod
    def decode_reply_head(self, head: ResponseHead) -> ReplyMetadata:
        """Decode the metadata of an endpoint's reply."""

    @abstractmethod
    def filter_reply_headers(self, headers: Headers) -> Headers:
        """Return the headers of a reply that are forwarded to the caller."""

    @abstractmethod
    def encode_stage_call(
        self, endpoint: EndpointRecord, pieces: Sequence[PieceRequest]
    ) -> OutboundRequest:
        """Encode a call that computes pieces at a stage's endpoint."""

    @abstractmethod
    def decode_stage_results(
        self, body: bytes, count: int
    ) -> StageResults | DecodeFailure:
        """Decode the reply to a stage call of `count` pieces."""

    @abstractmethod
    def encode_release_call(self, handles: Sequence[str]) -> OutboundRequest:
        """Encode a call that releases results, which must all be of one endpoint."""
