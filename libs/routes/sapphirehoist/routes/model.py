"""What operators configure: routes, services, teams and limits towards callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# Callers abandon a stream after the longest of these: a fixed time, so many targets,
# and so many of the longest pauses that are on time.
_LEAST_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_GAPS = 8.0


class CallKind(Enum):
    """What a route allows to be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """A stage that runs before the request itself.

    Attributes
    ----------
    service : str
        Pool that makes the pieces.
    after : tuple of int
        Stages whose results each piece needs.
    result_bytes : int
        Approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's traffic that goes to a service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    timeout_s, target_s : float
        Longest time a caller is kept waiting; time within which an answer counts in
        full.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Endpoints that one caller's attempt may be sent to.
    is_open : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a stream may go on at another endpoint.
    longest_gap_s : float
        Longest pause between events of a stream that is still on time.
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
        """Return how long callers wait for a stream's first event; None if not at all.

        Examples
        --------
        >>> route = Route("r", "h", "/", CallKind.STREAMING, 8, 1.3, 0, ())
        >>> route.first_event_patience_s
        5.2
        """
        if self.kind is not CallKind.STREAMING:
            return None
        return max(
            _LEAST_PATIENCE_S,
            _PATIENCE_TARGETS * self.target_s,
            _PATIENCE_GAPS * self.longest_gap_s,
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is CallKind.STREAMING:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage follows.

        Examples
        --------
        >>> stages = (StageSpec("a"), StageSpec("b"), StageSpec("c", after=(1,)))
        >>> route = Route("r", "h", "/", CallKind.STREAMING, 1, 1, 0, (), stages=stages)
        >>> route.final_stages()
        (0, 2)
        """
        followed = {i for stage in self.stages for i in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in followed)

    def stage_heights(self) -> tuple[int, ...]:
        """Return for each stage the number of stages on the longest way to the end.

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
                for before in spec.after:
                    heights[before] = max(heights[before], heights[stage] + 1)
        return tuple(heights)


@dataclass(frozen=True, slots=True)
class StagePool:
    """How one endpoint of a stage's service works.

    Attributes
    ----------
    slots, queue : int
        Calls under way at once, and calls that may wait.
    batch : int
        Pieces in one call.
    call_s, piece_s : float
        Time of a call, and of each piece in it.
    room_bytes : int
        Space for results.
    keep_s : float
        How long a result is kept.
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
    """How one model engine works: requests in a batch, and tokens in its memory."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of endpoints."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    stage_pool: StagePool | None = None
    model_pool: ModelPool | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team, its keys, and its rank if it has one of its own."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of everything that operators configure."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    teams: tuple[Team, ...] = ()
