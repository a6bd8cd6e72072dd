"""Routing configuration: routes, services, teams and limits on callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# Callers abandon a stream without a first event after the longest of these: a fixed
# time, a multiple of the latency target, and a multiple of the target for gaps.
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
_FIRST_EVENT_TIMEOUT_TARGETS = 4.0
_FIRST_EVENT_TIMEOUT_GAPS = 8.0


class CallKind(Enum):
    """Type of a route's requests, which determines whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """A stage that runs before the request is sent to its service.

    Attributes
    ----------
    service : str
        Name of the service that computes the pieces.
    after : tuple of int
        Indices of the stages whose results each piece depends on.
    result_bytes : int
        Approximate size of one result in bytes.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Share:
    """Relative weight of a service in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps the requests for one host and path prefix to services.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host and path prefix that requests must match.
    kind : CallKind
        Type of the requests.
    timeout_s : float
        Longest time that a caller waits for a response, in seconds.
    target_s : float
        Latency target in seconds; responses within it count in full.
    priority : int
        Priority; 0 is the most urgent.
    shares : tuple of Share
        Traffic split among services.
    max_attempts : int
        Maximum number of endpoints that one request of a caller may be sent to.
    stages : tuple of StageSpec
        Stages that run before the request is sent to its service.
    is_open : bool
        Whether callers need no API key.
    is_resumable : bool
        Whether an interrupted stream may be resumed at another endpoint.
    longest_gap_s : float
        Latency target for the gap between two events of a stream, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int = 1
    stages: tuple[StageSpec, ...] = ()
    is_open: bool = False
    is_resumable: bool = False
    longest_gap_s: float = 0.0

    @property
    def first_event_patience_s(self) -> float | None:
        """Return the caller timeout for a stream's first event; None if not a stream.

        Examples
        --------
        >>> route = Route("r", "h", "/", CallKind.STREAMING, 8, 1.3, 0, ())
        >>> route.first_event_patience_s
        5.2
        """
        if self.kind is not CallKind.STREAMING:
            return None
        return max(
            _MIN_FIRST_EVENT_TIMEOUT_S,
            _FIRST_EVENT_TIMEOUT_TARGETS * self.target_s,
            _FIRST_EVENT_TIMEOUT_GAPS * self.longest_gap_s,
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is CallKind.STREAMING:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT

    def final_stages(self) -> tuple[int, ...]:
        """Return the indices of the stages that no other stage depends on.

        Examples
        --------
        >>> stages = (StageSpec("a"), StageSpec("b"), StageSpec("c", after=(1,)))
        >>> route = Route("r", "h", "/", CallKind.STREAMING, 1, 1, 0, (), stages=stages)
        >>> route.final_stages()
        (0, 2)
        """
        dependencies = {i for stage in self.stages for i in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in dependencies)

    def stage_heights(self) -> tuple[int, ...]:
        """Return each stage's height in the dependency graph.

        The height is the length of the longest path of dependent stages to a final
        stage; final stages have height 0.

        Examples
        --------
        >>> stages = (StageSpec("a"), StageSpec("b"), StageSpec("c", after=(1,)))
        >>> route = Route("r", "h", "/", CallKind.STREAMING, 1, 1, 0, (), stages=stages)
        >>> route.stage_heights()
        (0, 1, 0)
        """
        heights = [0] * len(self.stages)
        for _ in self.stages:
            for stage, spec in enumerate(self.stages):
                for dependency in spec.after:
                    heights[dependency] = max(heights[dependency], heights[stage] + 1)
        return tuple(heights)


@dataclass(frozen=True, slots=True)
class StagePool:
    """Capacity and timing of each endpoint of a stage's service.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent calls.
    queue : int
        Maximum number of queued calls.
    batch : int
        Maximum number of pieces in one call.
    call_s, piece_s : float
        Fixed duration of a call and additional duration of each piece, in seconds.
    room_bytes : int
        Capacity for stored results in bytes.
    keep_s : float
        Time for which a result is stored, in seconds.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    room_bytes: int
    keep_s: float


@dataclass(frozen=True, slots=True)
class ModelPool:
    """Capacity of a model engine.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a batch.
    kv_tokens : int
        Capacity of the KV cache in tokens.
    """

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of endpoints that serve the same requests or stage."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    stage_pool: StagePool | None = None
    model_pool: ModelPool | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the sizes and durations of a caller's requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum sizes of a request's head and body in bytes.
    header_s : float
        Timeout for receiving the head, and between parts of a body, in seconds.
    idle_s : float
        Timeout for an idle connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes
    ----------
    name : str
        Name of the team.
    keys : tuple of str
        API keys of the team's callers.
    priority : int or None
        Priority that overrides the route's; None if the route's applies.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the whole routing configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    teams: tuple[Team, ...] = ()
