"""Context, progress and outcome of one request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.decisions import PlacementCandidate, VersionWatch, request_trait
from sapphirehoist.gateway.buffered_relay import ResponseBuffer
from sapphirehoist.gateway.codec import RequestMetadata
from sapphirehoist.gateway.error_response import ErrorResponse
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.request_fingerprint import request_fingerprint
from sapphirehoist.http1 import CallerRequest, ResponseHead
from sapphirehoist.routes import RequestKind, Route, Service


@dataclass(frozen=True, slots=True)
class RequestContext:
    """An accepted request with its route and time limits.

    Attributes
    ----------
    request : CallerRequest
        The request as received.
    metadata : RequestMetadata
        Decoded metadata of the request.
    route, service : Route, Service
        Route and service that were selected for the request.
    team : str
        Team that owns the caller's key; empty on public routes.
    priority : int
        Scheduling priority; 0 is the most urgent.
    response_limit_at : float
        Monotonic time by which the response has to be complete, as known on arrival.
    deadline_at : float
        Monotonic time of the caller's deadline.
    latency_target_at : float
        Monotonic time by which the response should be complete.
    first_byte_limit_at : float
        Monotonic time by which the first bytes of the response have to be sent. A
        caller that has not received them disconnects.
    allowed_regions : frozenset of str or None
        Regions whose endpoints may receive the request; None for any.
    has_returned : bool
        Whether the caller seems to have sent the request before.
    time_limit_at : float
        Like `response_limit_at`, but not shortened by a planned stop of this node.
    limit_to_stop : callable
        Returns a monotonic time, or that of a planned stop of this node if earlier.
    """

    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    team: str
    priority: int
    response_limit_at: float
    deadline_at: float
    latency_target_at: float
    first_byte_limit_at: float
    allowed_regions: frozenset[str] | None
    has_returned: bool
    time_limit_at: float
    limit_to_stop: Callable[[float], float]

    @property
    def is_resumable_stream(self) -> bool:
        """Return whether another endpoint may continue the response, a stream."""
        return self.route.kind is RequestKind.STREAMING and self.route.is_resumable

    @property
    def is_late(self) -> bool:
        """Return whether the request arrived when this node was about to stop."""
        return self.response_limit_at < self.time_limit_at

    @property
    def output_tokens(self) -> int:
        """Return the stated size of the response in tokens; 0 without one."""
        generation = self.metadata.generation
        return generation.output_tokens if generation is not None else 0

    @property
    def shared_prompt_parts(self) -> tuple[str, ...]:
        """Return the names of the prompt parts that other requests may have too."""
        generation = self.metadata.generation
        return generation.shared_part_names if generation is not None else ()

    def fingerprint(self) -> str:
        """Return a text that copies of the request have in common."""
        head = self.request.head
        return request_fingerprint(
            head.method, self.metadata.host, head.target, self.team, self.request.body
        )

    def return_fingerprint(self) -> str:
        """Return a text by which a caller that returns is recognised.

        Bodies may be the same for all requests of a team, so that the prompt and the
        input of the stages distinguish them.
        """
        head, generation = self.request.head, self.metadata.generation
        parts = generation.prompt_parts if generation is not None else ()
        inputs = "\n".join([self.metadata.piece_key, *(part.name for part in parts)])
        return request_fingerprint(
            head.method, self.metadata.host, head.path, self.team, inputs.encode()
        )

    def own_trait(self) -> str:
        """Return the trait that the request shares with its copies only."""
        return request_trait(self.fingerprint())

    def crash_traits(self) -> list[str]:
        """Return what the request has in common with others that may crash engines."""
        return [*self.shared_prompt_parts, self.own_trait()]


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has received the complete response."""

    status: int


@dataclass(frozen=True, slots=True)
class TruncatedResponse:
    """A part of the response was sent and the rest is unavailable."""

    detail: str


@dataclass(frozen=True, slots=True)
class InputsGone:
    """Stage results no longer exist, so the stages have to run again."""


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """Complete error response of the endpoint, to be delivered unchanged."""

    head: ResponseHead
    body: bytes


DispatchOutcome: TypeAlias = (
    Delivered | EndpointFailure | TruncatedResponse | ErrorResponse | InputsGone
)


class StageInputs(ABC):
    """Results of the preceding stages, which occupy space until they are released."""

    @property
    @abstractmethod
    def handles(self) -> tuple[str, ...]:
        """Return the handles of the results that the request refers to."""

    @abstractmethod
    def bytes_by_zone(self) -> dict[str, int]:
        """Return the total size of the results in bytes, by availability zone."""

    @property
    @abstractmethod
    def is_released(self) -> bool:
        """Return whether the results were released."""

    @abstractmethod
    def prepare_again(self, deadline_at: float) -> bool:
        """Return whether the results exist; begin to compute them again if not.

        They are computed in the background, once at most, by the monotonic time
        `deadline_at`.
        """

    @abstractmethod
    def release(self) -> None:
        """Release the results after an engine has read them or none will."""


class RequestProgress:
    """State of one request over all its attempts.

    Parameters
    ----------
    relay : EventRelay
        Forwards a streamed response to the caller.
    response_buffer : ResponseBuffer or None
        Counts the memory of the response; None if it is not limited.

    Attributes
    ----------
    tried_endpoints : set of str
        Names of the endpoints that were chosen.
    send_count : int
        Number of attempts of which at least one byte may have left this node.
    may_have_run : bool
        Whether an endpoint may have run the request.
    is_attempt_in_flight : bool
        Whether an attempt is in progress.
    attempt_started_at : float
        Monotonic time at which the last attempt started.
    candidate : PlacementCandidate or None
        The endpoint of the last attempt, as it was when it was chosen.
    is_quarantine_trial : bool
        Whether the request is sent to test a quarantined part of its prompt.
    version_watch : VersionWatch or None
        Finds out which version began the stream; None if there was no doubt.
    streamed_head : ResponseHead or None
        Head of the stream of which the caller has received a part.
    pending_prefill_tokens : int
        Prompt tokens that the engine of the current attempt has not processed yet.
    """

    __slots__ = (
        "attempt_started_at",
        "_is_version_confirmed",
        "_software_version",
        "candidate",
        "is_attempt_in_flight",
        "is_quarantine_trial",
        "may_have_run",
        "pending_prefill_tokens",
        "relay",
        "response_buffer",
        "send_count",
        "streamed_head",
        "tried_endpoints",
        "version_watch",
    )

    def __init__(
        self, relay: EventRelay, response_buffer: ResponseBuffer | None = None
    ) -> None:
        self.relay = relay
        self.response_buffer = response_buffer
        self.tried_endpoints: set[str] = set()
        self.candidate: PlacementCandidate | None = None
        self.send_count = 0
        self.may_have_run = False
        self.is_attempt_in_flight = False
        self.attempt_started_at = 0.0
        self.is_quarantine_trial = False
        self._software_version: str | None = None
        self._is_version_confirmed = True
        self.version_watch: VersionWatch | None = None
        self.streamed_head: ResponseHead | None = None
        self.pending_prefill_tokens = 0

    @property
    def software_version(self) -> str | None:
        """Return the version that began the stream; None if no event was sent yet."""
        watch = self.version_watch
        if watch is not None and watch.software_version is not None:
            return watch.software_version
        return self._software_version

    @property
    def is_version_confirmed(self) -> bool:
        """Return whether `software_version` is certain.

        No other engine may go on otherwise.
        """
        watch = self.version_watch
        return self._is_version_confirmed or (
            watch is not None and watch.software_version is not None
        )

    def bind_to_version(self, software_version: str, is_confirmed: bool = True) -> None:
        """Bind the stream to the version that began it."""
        self._software_version = software_version
        self._is_version_confirmed = is_confirmed

    @property
    def may_go_on(self) -> bool:
        """Return whether another endpoint may be tried, where a stream has begun."""
        may_be_joined = not self.relay.is_started or self.relay.may_go_on
        return self.is_version_confirmed and may_be_joined
