"""Routing configuration: routes, services, teams and limits on callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# A caller abandons a stream that has sent no event after the longest of a fixed time, a
# multiple of the latency target, and a multiple of the target for gaps between events.
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
_FIRST_EVENT_TIMEOUT_TARGET_MULTIPLE = 4.0
_FIRST_EVENT_TIMEOUT_GAP_MULTIPLE = 8.0


class RequestKind(Enum):
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
        Name of the service that computes the stage's pieces.
    depends_on : tuple of int
        Indices of the stages whose results each piece depends on.
    result_bytes : int
        Approximate size of one result in bytes.
    """

    service: str
    depends_on: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, slots=True)
class TrafficShare:
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
    kind : RequestKind
        Type of the requests.
    timeout_s : float
        Longest time that a caller waits for a response, in seconds.
    latency_target_s : float
        Latency target of one response in seconds, not of the mean; a response within
        it earns full credit.
    priority : int
        Priority; 0 is the most urgent.
    traffic_shares : tuple of TrafficShare
        Traffic split among services.
    max_attempts : int
        Maximum number of endpoints that one request of a caller may be sent to.
    stages : tuple of StageSpec
        Stages that run before the request is sent to its service.
    is_public : bool
        Whether callers need no API key.
    is_resumable : bool
        Whether an interrupted stream may be resumed at another endpoint.
    event_gap_target_s : float
        Latency target for the gap between two events of a stream, in seconds.
    home_regions : frozenset of str
        Regions whose endpoints may receive the requests; empty for no restriction.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    latency_target_s: float
    priority: int
    traffic_shares: tuple[TrafficShare, ...]
    max_attempts: int = 1
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    event_gap_target_s: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def first_event_timeout_s(self) -> float | None:
        """Return the caller timeout for a stream's first event; None if not a stream.

        Examples
        --------
        >>> route = Route("r", "h", "/", RequestKind.STREAMING, 8, 1.3, 0, ())
        >>> route.first_event_timeout_s
        5.2
        """
        if self.kind is not RequestKind.STREAMING:
            return None
        return max(
            _MIN_FIRST_EVENT_TIMEOUT_S,
            _FIRST_EVENT_TIMEOUT_TARGET_MULTIPLE * self.latency_target_s,
            _FIRST_EVENT_TIMEOUT_GAP_MULTIPLE * self.event_gap_target_s,
        )

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def final_stages(self) -> tuple[int, ...]:
        """Return the indices of the stages that no other stage depends on.

        Examples
        --------
        >>> stages = (StageSpec("a"), StageSpec("b"), StageSpec("c", depends_on=(1,)))
        >>> kind = RequestKind.STREAMING
        >>> route = Route("r", "h", "/", kind, 1, 1, 0, (), stages=stages)
        >>> route.final_stages()
        (0, 2)
        """
        dependencies = {i for stage in self.stages for i in stage.depends_on}
        return tuple(i for i in range(len(self.stages)) if i not in dependencies)

    def stage_heights(self) -> tuple[int, ...]:
        """Return each stage's height in the dependency graph.

        The height is the length of the longest path of dependent stages to a final
        stage; final stages have height 0.

        Examples
        --------
        >>> stages = (StageSpec("a"), StageSpec("b"), StageSpec("c", depends_on=(1,)))
        >>> kind = RequestKind.STREAMING
        >>> route = Route("r", "h", "/", kind, 1, 1, 0, (), stages=stages)
        >>> route.stage_heights()
        (0, 1, 0)
        """
        heights = [0] * len(self.stages)
        for _ in self.stages:
            for stage, spec in enumerate(self.stages):
                for dependency in spec.depends_on:
                    heights[dependency] = max(heights[dependency], heights[stage] + 1)
        return tuple(heights)


@dataclass(frozen=True, slots=True)
class StageEndpointSpec:
    """Capacity and timing of each endpoint of a stage's service.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent calls.
    queue_capacity : int
        Maximum number of queued calls.
    max_batch_pieces : int
        Maximum number of pieces in one call.
    call_overhead_s, per_piece_s : float
        Fixed duration of a call and additional duration of each piece, in seconds.
    result_capacity_bytes : int
        Capacity for stored results in bytes.
    result_ttl_s : float
        Time for which a result is stored, in seconds.
    """

    slots: int
    queue_capacity: int
    max_batch_pieces: int
    call_overhead_s: float
    per_piece_s: float
    result_capacity_bytes: int
    result_ttl_s: float


@dataclass(frozen=True, slots=True)
class ModelEngineSpec:
    """Capacity of a model engine.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a batch.
    kv_capacity_tokens : int
        Capacity of the KV cache in tokens.
    """

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of endpoints that serve the same requests or stage.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of a health check; empty if not configured. Decoded, but not used.
    max_connections : int
        Maximum number of connections; 0 if not configured. Decoded, but not used.
    stage_endpoint_spec : StageEndpointSpec or None
        Specification of each endpoint if the service runs a stage.
    model_engine_spec : ModelEngineSpec or None
        Specification of each endpoint if the service is a pool of model engines.
    cold_start_s : float
        Time for which an endpoint is cold after a start, in seconds, unless it states
        the remaining time itself.
    cold_rate_per_s : float
        Requests per second that a cold endpoint takes from all nodes together; 0 if
        cold endpoints are used like others.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    stage_endpoint_spec: StageEndpointSpec | None = None
    model_engine_spec: ModelEngineSpec | None = None
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the sizes and durations of a caller's requests.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of a request's head and body in bytes.
    header_timeout_s : float
        Timeout for receiving the head, and between parts of a body, in seconds.
    idle_timeout_s : float
        Timeout for an idle connection, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes
    ----------
    name : str
        Name of the team.
    api_keys : tuple of str
        API keys of the team's callers.
    priority : int or None
        Priority that overrides the route's; None if the route's applies.
    home_regions : frozenset of str
        Regions whose endpoints may receive the requests; empty for no restriction.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()


def allowed_regions(route: Route, team: Team | None) -> frozenset[str] | None:
    """Return the regions whose endpoints may receive a request; None for any.

    The result is empty if `route` and `team` have no home region in common: no endpoint
    may receive the request then.

    Examples
    --------
    >>> kind = RequestKind.IDEMPOTENT
    >>> route = Route("r", "h", "/", kind, 1, 1, 0, (), home_regions=frozenset("ab"))
    >>> allowed_regions(route, Team("t", (), home_regions=frozenset("bc")))
    frozenset({'b'})
    >>> sorted(allowed_regions(route, None))
    ['a', 'b']
    """
    team_regions = team.home_regions if team is not None else frozenset()
    if route.home_regions and team_regions:
        return route.home_regions & team_regions
    return route.home_regions or team_regions or None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the whole routing configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    teams: tuple[Team, ...] = ()
