"""Policies that batch the pieces of a stage and choose the endpoint to compute them.

They are designed for pools that several nodes use at once and whose calls cost far more
than the pieces in them, so that the pool reaches its capacity only with full batches,
and for results that occupy the limited space of the endpoint that computes them.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from sapphirehoist.decisions.placement import Distance

# Number of urgency levels that backlogs distinguish; the last covers all lower ones.
URGENCY_LEVELS = 8
# A group that needs at most this fraction of the free space may get it before a larger
# group that is waiting for space.
_SMALL_GROUP_FRACTION = 0.05
# Round-trip times of the call and of the calls that read its results.
_ROUND_TRIP_COST_S = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.005,
    Distance.OTHER_REGION: 0.045,
}
# Preferred maximum fraction of an endpoint's space for one request. A request above it
# makes others wait until all of that space is free again, and may never fit.
_PREFERRED_MAX_SPACE_FRACTION = 0.6
# Cost of result bytes on a link between zones, expressed as waiting time.
_COST_S_PER_REMOTE_MB = 0.04


@dataclass(frozen=True, slots=True)
class QueuedPiece:
    """A piece that waits to be computed.

    Attributes
    ----------
    piece_id : int
        Identifies the piece to the caller of the policy.
    group_id : int
        Identifies the pieces of one request that were queued together. They get space
        together or not at all, because the result of a single piece occupies space
        without being usable.
    latest_start_at : float
        Monotonic time in seconds by which the piece must start for its request to meet
        its target.
    priority : int
        Priority of the route; 0 is the most urgent.
    result_bytes : int
        Space that the result occupies, in bytes.
    is_committed : bool
        Whether the results of the request already occupy more than a small fraction of
        some endpoint's space, or its caller already holds a part of the response.
    is_reserved : bool
        Whether space is reserved for the result.
    is_late : bool
        Whether the request was admitted only behind those that meet their target.
    """

    piece_id: int
    group_id: int
    latest_start_at: float
    priority: int = 0
    result_bytes: int = 0
    is_committed: bool = False
    is_reserved: bool = False
    is_late: bool = False


class BatchingPolicy(ABC):
    """Reserves result space for pieces and selects the pieces of each call."""

    @abstractmethod
    def reserve(
        self, pieces: Sequence[QueuedPiece], free_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Choose the pieces that get result space.

        Parameters
        ----------
        pieces : sequence of QueuedPiece
            Waiting pieces without reserved space.
        free_bytes : float
            Free space of the endpoint, in bytes.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of int
            `piece_id` of each chosen piece.
        """

    @abstractmethod
    def select_batch(
        self, pieces: Sequence[QueuedPiece], batch_size: int, now: float
    ) -> tuple[int, ...]:
        """Choose the pieces of the next call.

        Parameters
        ----------
        pieces : sequence of QueuedPiece
            Waiting pieces.
        batch_size : int
            Maximum number of pieces in a call.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of int
            `piece_id` of each chosen piece.
        """


class SinglePieceBatching(BatchingPolicy):
    """Baseline: single pieces in order of arrival, regardless of free space."""

    __slots__ = ()

    def reserve(
        self, pieces: Sequence[QueuedPiece], free_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Return all pieces."""
        return tuple(piece.piece_id for piece in pieces)

    def select_batch(
        self, pieces: Sequence[QueuedPiece], batch_size: int, now: float
    ) -> tuple[int, ...]:
        """Return the first piece."""
        return tuple(piece.piece_id for piece in pieces[:1])


class UrgentFirstBatching(BatchingPolicy):
    """Prefers urgent pieces whose whole group fits into the free space.

    Pieces of committed requests, which already occupy space, go first so that they
    release it soon. Others follow by the priority of their route and then by earliest
    latest start. A piece whose latest start has passed is ordered after those of the
    next less urgent priority that can still start in time. A group that does not fit
    blocks later groups, which prevents the starvation of large requests; only groups
    that need very little space are exempt.

    Examples
    --------
    >>> pieces = [QueuedPiece(1, 1, 9.0, 0, 4), QueuedPiece(2, 2, 5.0, 0, 4)]
    >>> UrgentFirstBatching().reserve(pieces, 5.0, 0.0)
    (2,)
    """

    __slots__ = ()

    def reserve(
        self, pieces: Sequence[QueuedPiece], free_bytes: float, now: float
    ) -> tuple[int, ...]:
        """Return the pieces of the groups that fit, most urgent group first."""
        groups: dict[int, list[QueuedPiece]] = {}
        for piece in sorted(pieces, key=lambda piece: _sort_key(piece, now)):
            groups.setdefault(piece.group_id, []).append(piece)
        chosen: list[int] = []
        is_blocked = False
        for group in groups.values():
            needed_bytes = sum(piece.result_bytes for piece in group)
            is_small = needed_bytes <= _SMALL_GROUP_FRACTION * free_bytes
            if needed_bytes > free_bytes or (is_blocked and not is_small):
                is_blocked = True
                continue
            free_bytes -= needed_bytes
            chosen.extend(piece.piece_id for piece in group)
        return tuple(chosen)

    def select_batch(
        self, pieces: Sequence[QueuedPiece], batch_size: int, now: float
    ) -> tuple[int, ...]:
        """Return the most urgent pieces with reserved space."""
        reserved = [piece for piece in pieces if piece.is_reserved]
        reserved.sort(key=lambda piece: _sort_key(piece, now))
        return tuple(piece.piece_id for piece in reserved[:batch_size])


@dataclass(frozen=True, slots=True)
class StageEndpointCandidate:
    """An endpoint that is eligible to compute pieces of a stage.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    distance : Distance
        Network distance from this node.
    backlog_s : float
        Estimated time until the endpoint could start a new piece, in seconds.
    remote_bytes : int
        Bytes of inputs fetched from other availability zones and of results read from
        other availability zones.
    space_fraction : float
        Fraction of the endpoint's space that the request would then occupy.
    """

    name: str
    distance: Distance
    backlog_s: float = 0.0
    remote_bytes: int = 0
    space_fraction: float = 0.0


class StageEndpointPolicy(ABC):
    """Chooses the endpoint that computes the pieces of a stage."""

    @abstractmethod
    def choose(
        self, endpoints: Sequence[StageEndpointCandidate]
    ) -> StageEndpointCandidate:
        """Return one of `endpoints`, which is not empty."""


class NearestStageEndpointPolicy(StageEndpointPolicy):
    """Baseline: chooses the nearest endpoint, regardless of its backlog."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[StageEndpointCandidate]
    ) -> StageEndpointCandidate:
        """Return the nearest endpoint."""
        return min(endpoints, key=lambda endpoint: (endpoint.distance, endpoint.name))


class EarliestStartPolicy(StageEndpointPolicy):
    """Chooses the earliest start; distance and transferred bytes count as waiting time.

    The pieces of a request with large results are spread over several endpoints, so
    that the request fills none of them.

    Examples
    --------
    >>> near = StageEndpointCandidate("near", Distance.SAME_ZONE, 0.2)
    >>> far = StageEndpointCandidate("far", Distance.OTHER_REGION, 0.0, 9_000_000)
    >>> EarliestStartPolicy().choose([near, far]).name
    'near'
    >>> small = StageEndpointCandidate("small", Distance.OTHER_REGION, 0.0, 9_000)
    >>> EarliestStartPolicy().choose([near, small]).name
    'small'
    >>> full = StageEndpointCandidate("full", Distance.SAME_ZONE, space_fraction=0.9)
    >>> EarliestStartPolicy().choose([full, far]).name
    'far'
    """

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[StageEndpointCandidate]
    ) -> StageEndpointCandidate:
        """Return the endpoint with the lowest waiting cost."""
        return min(
            endpoints,
            key=lambda endpoint: (
                max(endpoint.space_fraction, _PREFERRED_MAX_SPACE_FRACTION),
                _waiting_cost_s(endpoint),
                endpoint.name,
            ),
        )


def _waiting_cost_s(endpoint: StageEndpointCandidate) -> float:
    transfer_cost_s = endpoint.remote_bytes / 1e6 * _COST_S_PER_REMOTE_MB
    return endpoint.backlog_s + _ROUND_TRIP_COST_S[endpoint.distance] + transfer_cost_s


def urgency_level(priority: int, is_past_target: bool) -> int:
    """Return the urgency level of a piece; lower levels are served first.

    A piece that can no longer start in time for its request to meet its target is
    served with the next less urgent priority.

    Examples
    --------
    >>> urgency_level(0, is_past_target=True)
    1
    """
    return min(priority + is_past_target, URGENCY_LEVELS - 1)


def _sort_key(piece: QueuedPiece, now: float) -> tuple[bool, int, bool, float]:
    """Return the sort key of a piece; the lowest is served first."""
    is_demoted = not piece.is_committed and (
        piece.is_late or piece.latest_start_at < now
    )
    return (
        not piece.is_committed,
        piece.priority + is_demoted,
        is_demoted,
        piece.latest_start_at,
    )
