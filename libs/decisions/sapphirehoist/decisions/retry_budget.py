"""A retry budget that the nodes of a fleet share without coordination.

It is designed for endpoints that fail under high load, where simultaneous retries from
every node would prevent the pool from recovering.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sapphirehoist.clock import Clock

# Fraction of the fleet's budget that the known nodes use; the rest is left for nodes
# that are not discovered yet.
_USED_FRACTION = 0.8


class _SlidingWindow:
    """Counts the events of the last `duration_s` seconds."""

    __slots__ = ("_times", "duration_s")

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and now - self._times[0] > self.duration_s:
            self._times.popleft()
        return len(self._times)


class SharedRetryBudget:
    """Limits this node's retries for each service to its part of the fleet's budget.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of this node in a window.
    allowance : float
        Additional retries allowed in a window for all nodes together.
    window_s : float
        Duration of the sliding window, in seconds.
    count_nodes : callable
        Returns the number of nodes that share the allowance.
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> budget = SharedRetryBudget(0.2, 10, 10, lambda: 4, ManualClock())
    >>> [budget.try_acquire("s") for _ in range(3)]
    [True, True, False]
    """

    __slots__ = (
        "_allowance",
        "_clock",
        "_count_nodes",
        "_window_s",
        "_ratio",
        "_retries",
        "_requests",
    )

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        count_nodes: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._count_nodes = count_nodes
        self._clock = clock
        self._requests: dict[str, _SlidingWindow] = {}
        self._retries: dict[str, _SlidingWindow] = {}

    def set_limits(self, ratio: float, allowance: float, window_s: float) -> None:
        """Replace the limits; events counted so far stay counted."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        for window in (*self._requests.values(), *self._retries.values()):
            window.duration_s = window_s

    def record_request(self, service: str) -> None:
        """Count a request from a caller to `service`."""
        window = self._requests.setdefault(service, _SlidingWindow(self._window_s))
        window.add(self._clock.monotonic())

    def try_acquire(self, service: str) -> bool:
        """Return whether the budget allows a retry at `service`, and count it if so."""
        if not self.is_available(service):
            return False
        self._retries[service].add(self._clock.monotonic())
        return True

    def is_available(self, service: str) -> bool:
        """Return whether the budget allows a retry at `service` now."""
        retries = self._retries.setdefault(service, _SlidingWindow(self._window_s))
        used = retries.count(self._clock.monotonic())
        return used + 1 <= self.retry_limit(service)

    def retry_limit(self, service: str) -> float:
        """Return the number of retries that this node may send in a window."""
        now = self._clock.monotonic()
        requests = self._requests.get(service)
        own_requests = requests.count(now) if requests is not None else 0
        node_count = max(1, self._count_nodes())
        return _USED_FRACTION * (
            self._ratio * own_requests + self._allowance / node_count
        )
