"""Pieces of a stage, their estimated waiting times, and the space of their results.

A piece is a unit of work that a stage computes for one request, with one result.
Results stay at the endpoint that produced them and are referred to by handles.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import AsyncResult

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import urgency_level
from sapphirehoist.gateway.codec import PieceRequest

# Reasons why a piece has no result. Endpoints report `room`, `gone` and `error`;
# `late` means past its deadline.
REASON_CANCELLED = "cancelled"
REASON_ENDPOINT_LOST = "lost"
REASON_EXPIRED = "late"
REASON_NO_SPACE = "room"
REASON_INPUTS_GONE = "gone"
# About half of the results held at the time of a refusal are released within this time.
_REFUSAL_TTL_S = 0.5


@dataclass(slots=True, eq=False)
class Piece:
    """A piece requested from an endpoint, with its scheduling state.

    Attributes
    ----------
    request : PieceRequest
        Identity and inputs of the piece.
    expires_at : float
        Monotonic time after which the result is of no use.
    latest_start_at : float
        Monotonic time by which the piece has to start for its request to meet its
        latency target.
    priority : int
        Priority of its request; 0 is the most urgent.
    result_bytes : int
        Approximate size of its result.
    is_committed : bool
        Whether the results of its request already occupy more than a small fraction of
        some endpoint's space.
    allowed_regions : frozenset of str or None
        Regions through which its request may be sent; None for any.
    group_id : int
        Identifies the pieces that one request submitted to one endpoint together.
    is_reserved : bool
        Whether space is reserved for its result.
    result : AsyncResult
        Set to `PieceComputed` or `PieceFailed`.
    send_count : int
        Number of calls that included the piece.
    is_cancelled : bool
        Whether its request no longer needs the result.
    is_late : bool
        Whether its request was admitted only behind those that meet their target.
    """

    request: PieceRequest
    expires_at: float
    latest_start_at: float
    priority: int
    result_bytes: int
    is_committed: bool = False
    allowed_regions: frozenset[str] | None = None
    group_id: int = 0
    is_reserved: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)
    send_count: int = 0
    is_cancelled: bool = False
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class Backlog:
    """Estimated wait before an endpoint starts a new piece.

    Attributes
    ----------
    wait_s_by_level : tuple of float
        Wait for a piece of each urgency level, the most urgent level first.

    Examples
    --------
    >>> backlog = Backlog((0.1, 0.5, 2.0))
    >>> backlog.on_time_s(0), backlog.past_target_s(0)
    (0.1, 0.5)
    """

    wait_s_by_level: tuple[float, ...]

    def on_time_s(self, priority: int) -> float:
        """Return the wait of a piece of a request that can meet its latency target."""
        return self._wait_s(urgency_level(priority, is_past_target=False))

    def past_target_s(self, priority: int) -> float:
        """Return the wait of a piece of a request that will miss its latency target."""
        return self._wait_s(urgency_level(priority, is_past_target=True))

    def reduced_by(self, elapsed_s: float) -> Backlog:
        """Return the backlog that remains after `elapsed_s`."""
        return Backlog(
            tuple(max(0.0, wait_s - elapsed_s) for wait_s in self.wait_s_by_level)
        )

    def _wait_s(self, level: int) -> float:
        return self.wait_s_by_level[min(level, len(self.wait_s_by_level) - 1)]


class ResultSpace:
    """This node's estimate of the space that results occupy at one endpoint.

    Result sizes are approximate. After the endpoint refuses a piece for lack of space,
    the assumed capacity stays below the total that did not fit for a short time, so
    that the endpoint is not called again before results have been released.

    Parameters
    ----------
    clock : Clock
        Monotonic time for the expiry of results.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> space = ResultSpace(ManualClock())
    >>> space.add("h", 100, 4.0)
    >>> space.free_bytes(250)
    150
    >>> space.record_refusal(100, 80)
    >>> space.free_bytes(250)
    79
    >>> space.remove("h")
    0.0
    >>> space.free_bytes(250)
    179
    """

    __slots__ = ("_clock", "_refused_bytes", "_refused_until", "_results")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Size in bytes, expiry time and start time of each result, by handle.
        self._results: dict[str, tuple[int, float, float]] = {}
        self._refused_bytes = 0
        self._refused_until = 0.0

    def add(self, handle: str, size_bytes: int, ttl_s: float) -> None:
        """Count a result of `size_bytes` until it is removed or expires."""
        now = self._clock.monotonic()
        self._results[handle] = (size_bytes, now + ttl_s, now)

    def remove(self, handle: str) -> float | None:
        """Stop counting a result that has been released; return for how long it was.

        None if the result is not known.
        """
        removed = self._results.pop(handle, None)
        return None if removed is None else self._clock.monotonic() - removed[2]

    def expected_releases(self, hold_s: float) -> list[tuple[float, int]]:
        """Return the time and size of each release, `hold_s` after the result."""
        return [
            (min(since + hold_s, expires_at), size_bytes)
            for size_bytes, expires_at, since in self._results.values()
        ]

    def record_refusal(self, used_bytes: int, size_bytes: int) -> None:
        """Record that `size_bytes` were refused while `used_bytes` were in use."""
        self._refused_bytes = used_bytes + size_bytes
        self._refused_until = self._clock.monotonic() + _REFUSAL_TTL_S

    def free_bytes(self, capacity_bytes: int) -> int:
        """Return the bytes available for new results out of `capacity_bytes`."""
        if self._clock.monotonic() < self._refused_until:
            capacity_bytes = min(capacity_bytes, self._refused_bytes - 1)
        return capacity_bytes - self.used_bytes()

    def used_bytes(self) -> int:
        """Return the bytes occupied by results that have not expired."""
        now = self._clock.monotonic()
        self._results = {
            handle: result
            for handle, result in self._results.items()
            if result[1] > now
        }
        return sum(size_bytes for size_bytes, _, _ in self._results.values())
