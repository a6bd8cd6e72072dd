"""Which pieces a stage's endpoint makes next, and which endpoint is asked.

Load it answers: pools whose calls cost far more than the pieces in them, fed by
several nodes at once, so that full calls are the pool's capacity; and results that take
up the little space that their maker has.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from sapphirehoist.decisions.placement import Distance

# Levels of urgency by which backlogs are told apart; the last one stands for the rest.
URGENCY_LEVELS = 8
# Groups that need less than this part of the free space pass those that wait for it.
_SMALL_SHARE = 0.05
# Round trips, for the call and for those that use its results.
_ROUND_TRIPS_S = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.005,
    Distance.OTHER_REGION: 0.045,
}
# Part of an endpoint's space that one request should take up. More would keep other
# requests waiting for all of it, and may never fit.
_LARGEST_SPACE_SHARE = 0.6
# What results cost on a link between zones, in terms of waiting time.
_SECONDS_PER_REMOTE_MB = 0.04


@dataclass(frozen=True, slots=True)
class QueuedPiece:
    """A piece that waits.

    Attributes
    ----------
    number : int
        Identifies it to the caller of the policy.
    group : int
        Pieces of one request are begun together or not at all, since one alone takes
        up space without being of use.
    due_at : float
        Monotonic time at which it has to be begun for its request to meet its target.
    priority : int
        Rank of its route; 0 is the most urgent.
    result_bytes : int
        Space that its result takes up.
    is_committed : bool
        Whether its request holds a good part of some endpoint's space already.
    is_reserved : bool
        Whether space is set aside for it.
    """

    number: int
    group: int
    due_at: float
    priority: int = 0
    result_bytes: int = 0
    is_committed: bool = False
    is_reserved: bool = False


class BatchPolicy(ABC):
    """Fills calls."""

    @abstractmethod
    def reserve(
        self, pieces: Sequence[QueuedPiece], room_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Return the numbers of the pieces that get space of `room_bytes`."""

    @abstractmethod
    def fill(
        self, pieces: Sequence[QueuedPiece], batch: int, now: float
    ) -> tuple[int, ...]:
        """Return the numbers of at most `batch` pieces for the next call."""


class OneByOne(BatchPolicy):
    """Baseline: each piece by itself, in the order of arrival, whatever the room."""

    __slots__ = ()

    def reserve(
        self, pieces: Sequence[QueuedPiece], room_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Return all pieces."""
        return tuple(piece.number for piece in pieces)

    def fill(
        self, pieces: Sequence[QueuedPiece], batch: int, now: float
    ) -> tuple[int, ...]:
        """Return the first piece."""
        return tuple(piece.number for piece in pieces[:1])


class UrgentFirst(BatchPolicy):
    """The pieces with the least time left, for whose whole group there is space.

    Requests that hold space elsewhere go first, so that they give it up soon; then
    the more urgent routes. What cannot meet its target goes with the next rank, after
    those of it that can. A group that finds no space holds back later ones of its size,
    so that large requests get their turn; groups that need next to nothing pass.

    Examples
    --------
    >>> pieces = [QueuedPiece(1, 1, 9.0, 0, 4), QueuedPiece(2, 2, 5.0, 0, 4)]
    >>> UrgentFirst().reserve(pieces, 5.0, 0.0)
    (2,)
    """

    __slots__ = ()

    def reserve(
        self, pieces: Sequence[QueuedPiece], room_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Return the pieces of the groups that fit, most urgent groups first."""
        groups: dict[int, list[QueuedPiece]] = {}
        for piece in sorted(pieces, key=lambda piece: _rank(piece, now)):
            groups.setdefault(piece.group, []).append(piece)
        chosen: list[int] = []
        is_blocked = False
        for group in groups.values():
            needed = sum(piece.result_bytes for piece in group)
            is_small = needed <= _SMALL_SHARE * room_bytes
            if needed > room_bytes or (is_blocked and not is_small):
                is_blocked = True
                continue
            room_bytes -= needed
            chosen.extend(piece.number for piece in group)
        return tuple(chosen)

    def fill(
        self, pieces: Sequence[QueuedPiece], batch: int, now: float
    ) -> tuple[int, ...]:
        """Return the reserved pieces that have the least time left."""
        reserved = [piece for piece in pieces if piece.is_reserved]
        reserved.sort(key=lambda piece: _rank(piece, now))
        return tuple(piece.number for piece in reserved[:batch])


@dataclass(frozen=True, slots=True)
class StageEndpoint:
    """An endpoint of a stage's pool.

    Attributes
    ----------
    name, distance : str, Distance
        Which one, and how far from this node.
    backlog_s : float
        Estimated time until it would begin with a new piece.
    remote_bytes : int
        Inputs that it would fetch from other availability zones, and results that
        would be read in others.
    space_share : float
        Part of its space that the request would then take up there.
    """

    name: str
    distance: Distance
    backlog_s: float = 0.0
    remote_bytes: int = 0
    space_share: float = 0.0


class StageEndpointPolicy(ABC):
    """Chooses where the pieces of one stage are made."""

    @abstractmethod
    def choose(self, endpoints: Sequence[StageEndpoint]) -> StageEndpoint:
        """Return one of `endpoints`, of which there is at least one."""


class NearestStageEndpoint(StageEndpointPolicy):
    """Baseline: the nearest, whatever waits there."""

    __slots__ = ()

    def choose(self, endpoints: Sequence[StageEndpoint]) -> StageEndpoint:
        """Return the nearest endpoint."""
        return min(endpoints, key=lambda endpoint: (endpoint.distance, endpoint.name))


class SoonestStageEndpoint(StageEndpointPolicy):
    """The one that begins first; distance and bytes on links count as waiting time.

    The pieces of a request with large results are spread, so that none of the
    endpoints is filled by it.

    Examples
    --------
    >>> near = StageEndpoint("near", Distance.SAME_ZONE, 0.2)
    >>> far = StageEndpoint("far", Distance.OTHER_REGION, 0.0, 9_000_000)
    >>> SoonestStageEndpoint().choose([near, far]).name
    'near'
    >>> small = StageEndpoint("small", Distance.OTHER_REGION, 0.0, 9_000)
    >>> SoonestStageEndpoint().choose([near, small]).name
    'small'
    >>> full = StageEndpoint("full", Distance.SAME_ZONE, space_share=0.9)
    >>> SoonestStageEndpoint().choose([full, far]).name
    'far'
    """

    __slots__ = ()

    def choose(self, endpoints: Sequence[StageEndpoint]) -> StageEndpoint:
        """Return the endpoint with the least wait."""
        return min(
            endpoints,
            key=lambda endpoint: (
                max(endpoint.space_share, _LARGEST_SPACE_SHARE),
                _waiting_s(endpoint),
                endpoint.name,
            ),
        )


def _waiting_s(endpoint: StageEndpoint) -> float:
    links_s = endpoint.remote_bytes / 1e6 * _SECONDS_PER_REMOTE_MB
    return endpoint.backlog_s + _ROUND_TRIPS_S[endpoint.distance] + links_s


def urgency_level(priority: int, is_late: bool) -> int:
    """Return the level at which a piece is served; lower levels go first.

    What cannot meet its target goes with the next rank.

    Examples
    --------
    >>> urgency_level(0, is_late=True)
    1
    """
    return min(priority + is_late, URGENCY_LEVELS - 1)


def _rank(piece: QueuedPiece, now: float) -> tuple[bool, int, bool, float]:
    """Return the key by which pieces are ordered; the least goes first."""
    is_late = piece.due_at < now and not piece.is_committed
    return not piece.is_committed, piece.priority + is_late, is_late, piece.due_at
