"""Pieces that wait, and the space that results take up."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import AsyncResult

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import urgency_level
from sapphirehoist.gateway.dialect import PieceOrder

# Why a piece was not made; endpoints give the last two, and `gone` and `error`.
REASON_CANCELLED = "cancelled"
REASON_LOST = "lost"
REASON_LATE = "late"
REASON_ROOM = "room"
REASON_GONE = "gone"
# About half of the results that were held at a refusal are given up in this time.
_REFUSAL_KEPT_S = 0.5


@dataclass(slots=True, eq=False)
class Piece:
    """A piece that a request waits for.

    Attributes
    ----------
    order : PieceOrder
        What is asked for.
    limit_at, due_at : float
        Monotonic times: after the first it is of no use; by the second it has to be
        begun for its request to meet its target.
    priority : int
        Rank of its request.
    result_bytes : int
        Approximate size of its result.
    is_committed : bool
        Whether its request holds a good part of some endpoint's space already.
    group : int
        Pieces of one request at one endpoint.
    is_reserved : bool
        Whether space is set aside for its result.
    result : AsyncResult
        Gets `PieceMade` or `PieceFailed`.
    """

    order: PieceOrder
    limit_at: float
    due_at: float
    priority: int
    result_bytes: int
    is_committed: bool = False
    group: int = 0
    is_reserved: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)
    sends: int = 0
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Backlog:
    """Time until an endpoint would begin with a new piece.

    Attributes
    ----------
    ahead_s : tuple of float
        For a piece of each level of urgency, the most urgent first.

    Examples
    --------
    >>> backlog = Backlog((0.1, 0.5, 2.0))
    >>> backlog.on_time_s(0), backlog.late_s(0)
    (0.1, 0.5)
    """

    ahead_s: tuple[float, ...]

    def on_time_s(self, priority: int) -> float:
        """Return the time for a piece whose request can meet its target."""
        return self._at(urgency_level(priority, is_late=False))

    def late_s(self, priority: int) -> float:
        """Return the time for a piece whose request cannot meet its target."""
        return self._at(urgency_level(priority, is_late=True))

    def after(self, seconds: float) -> Backlog:
        """Return what is left of it after some time."""
        return Backlog(tuple(max(0.0, ahead - seconds) for ahead in self.ahead_s))

    def _at(self, level: int) -> float:
        return self.ahead_s[min(level, len(self.ahead_s) - 1)]


class ResultSpace:
    """Space that results take up at one endpoint, as far as this node knows.

    Sizes of results are approximate. What the endpoint refuses for want of room is
    remembered for a while, so that it is not asked again before results were given up.

    Parameters
    ----------
    clock : Clock
        Lets results lapse.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> space = ResultSpace(ManualClock())
    >>> space.take("h", 100, 4.0)
    >>> space.free(250)
    150
    >>> space.refuse(100, 80)
    >>> space.free(250)
    79
    >>> space.release("h")
    >>> space.free(250)
    179
    """

    __slots__ = ("_clock", "_held", "_refused_bytes", "_refused_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, tuple[int, float]] = {}
        self._refused_bytes = 0
        self._refused_until = 0.0

    def take(self, handle: str, size: int, keep_s: float) -> None:
        """Count a result until it is released or lapses."""
        self._held[handle] = (size, self._clock.monotonic() + keep_s)

    def release(self, handle: str) -> None:
        """Count a result as given up."""
        self._held.pop(handle, None)

    def refuse(self, held_bytes: int, size: int) -> None:
        """Remember that a result of `size` found no room beside `held_bytes`."""
        self._refused_bytes = held_bytes + size
        self._refused_until = self._clock.monotonic() + _REFUSAL_KEPT_S

    def free(self, room_bytes: int) -> int:
        """Return the bytes that new results may take, of `room_bytes` in all."""
        if self._clock.monotonic() < self._refused_until:
            room_bytes = min(room_bytes, self._refused_bytes - 1)
        return room_bytes - self.used()

    def used(self) -> int:
        """Return the bytes that are taken up."""
        now = self._clock.monotonic()
        self._held = {h: held for h, held in self._held.items() if held[1] > now}
        return sum(size for size, _ in self._held.values())
