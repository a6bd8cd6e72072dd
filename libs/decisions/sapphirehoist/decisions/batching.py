"""Which pieces go into the next call to a stage pool, and to which endpoint.

Load it answers: pools whose calls cost far more than the pieces in them, fed by
several nodes at once, so that full calls are the pool's capacity.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from sapphirehoist.decisions.placement import Distance

# Pieces of a less urgent route are ordered as if they had this much more time.
_PRIORITY_STEP_S = 0.4
# Calls that a piece waits for near this node before one farther away is asked.
_CALLS_BEFORE_FAR = 1.0


@dataclass(frozen=True, slots=True)
class QueuedPiece:
    """A piece that waits.

    Attributes
    ----------
    number : int
        Identifies it to the caller of the planner.
    target_at : float
        Monotonic time at which its request should begin to be answered.
    queued_at : float
        Monotonic time since which it has waited.
    priority : int
        Rank of its route; 0 is the most urgent.
    """

    number: int
    target_at: float
    queued_at: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StageEndpoint:
    """An endpoint of the pool.

    Attributes
    ----------
    own_calls : int
        This node's calls there.
    is_resting : bool
        Whether it refused a call just now or is ejected.
    """

    name: str
    distance: Distance
    own_calls: int = 0
    is_resting: bool = False


@dataclass(frozen=True, slots=True)
class Batch:
    """The next call: its endpoint and its pieces."""

    endpoint: str
    numbers: tuple[int, ...]


class BatchPolicy(ABC):
    """Plans calls."""

    @abstractmethod
    def plan(
        self,
        pieces: Sequence[QueuedPiece],
        endpoints: Sequence[StageEndpoint],
        batch: int,
        call_s: float,
        now: float,
    ) -> Batch | None:
        """Return the next call, or None while pieces should wait."""


class OneByOne(BatchPolicy):
    """Baseline: each piece by itself, at the endpoint with the fewest calls."""

    __slots__ = ()

    def plan(
        self,
        pieces: Sequence[QueuedPiece],
        endpoints: Sequence[StageEndpoint],
        batch: int,
        call_s: float,
        now: float,
    ) -> Batch | None:
        """Return a call with the first piece."""
        able = [endpoint for endpoint in endpoints if not endpoint.is_resting]
        if not pieces or not able:
            return None
        least = min(able, key=lambda endpoint: (endpoint.own_calls, endpoint.name))
        return Batch(least.name, (pieces[0].number,))


class UrgentFirst(BatchPolicy):
    """One call at a time per endpoint, filled with the pieces that have least time.

    Pieces gather while a call is under way, so calls fill by themselves as the load
    grows. Endpoints nearby are used first; others once more than a call's worth waits.

    Examples
    --------
    >>> pieces = [QueuedPiece(1, 9.0, 0.0), QueuedPiece(2, 5.0, 0.0)]
    >>> near = StageEndpoint("near", Distance.SAME_ZONE)
    >>> UrgentFirst().plan(pieces, [near], 1, 0.15, 0.0)
    Batch(endpoint='near', numbers=(2,))
    """

    __slots__ = ()

    def plan(
        self,
        pieces: Sequence[QueuedPiece],
        endpoints: Sequence[StageEndpoint],
        batch: int,
        call_s: float,
        now: float,
    ) -> Batch | None:
        """Return the next call, or None while every endpoint is busy."""
        able = [endpoint for endpoint in endpoints if not endpoint.is_resting]
        if not pieces or not able:
            return None
        nearest = min(endpoint.distance for endpoint in able)
        near = [endpoint for endpoint in able if endpoint.distance == nearest]
        free = [endpoint for endpoint in near if endpoint.own_calls == 0]
        if not free and self._is_far_allowed(pieces, len(near), batch, call_s, now):
            free = [endpoint for endpoint in able if endpoint.own_calls == 0]
        if not free:
            return None
        chosen = min(free, key=lambda endpoint: (endpoint.distance, endpoint.name))
        ordered = sorted(pieces, key=lambda piece: _rank(piece, now))
        return Batch(chosen.name, tuple(piece.number for piece in ordered[:batch]))

    def _is_far_allowed(
        self,
        pieces: Sequence[QueuedPiece],
        near: int,
        batch: int,
        call_s: float,
        now: float,
    ) -> bool:
        if len(pieces) > _CALLS_BEFORE_FAR * batch * near:
            return True
        longest_s = now - min(piece.queued_at for piece in pieces)
        return longest_s > _CALLS_BEFORE_FAR * call_s


def _rank(piece: QueuedPiece, now: float) -> tuple[bool, float]:
    due = piece.target_at + piece.priority * _PRIORITY_STEP_S
    return piece.target_at < now, due
