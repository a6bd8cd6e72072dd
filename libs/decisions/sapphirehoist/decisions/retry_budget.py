"""Repeats of requests at endpoints: a budget that all nodes share without talking.

Load it answers: failing endpoints under high load, where repeats from every node at
once would keep the pool from recovering.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sapphirehoist.clock import Clock

# Part of the fleet's budget that is used; the rest covers nodes that are not known yet.
_USED_SHARE = 0.8


class _Window:
    """Counts events of the last `length_s` seconds."""

    __slots__ = ("_times", "length_s")

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and now - self._times[0] > self.length_s:
            self._times.popleft()
        return len(self._times)


class SharedRetryBudget:
    """Allows this node's part of the fleet's repeats for each service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request in a window.
    allowance : float
        Repeats allowed in a window beyond that, over all nodes.
    window_s : float
        Length of the sliding window.
    count_nodes : callable
        Number of nodes that share the allowance.
    clock : Clock
        Monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> budget = SharedRetryBudget(0.2, 10, 10, lambda: 4, ManualClock())
    >>> [budget.take("s") for _ in range(3)]
    [True, True, False]
    """

    __slots__ = (
        "_allowance",
        "_clock",
        "_count_nodes",
        "_length_s",
        "_ratio",
        "_repeats",
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
        self._length_s = window_s
        self._count_nodes = count_nodes
        self._clock = clock
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}

    def change(self, ratio: float, allowance: float, window_s: float) -> None:
        """Take over other bounds; what was counted stays counted."""
        self._ratio = ratio
        self._allowance = allowance
        self._length_s = window_s
        for window in (*self._requests.values(), *self._repeats.values()):
            window.length_s = window_s

    def count_request(self, service: str) -> None:
        """Count a request that a caller sent for `service`."""
        window = self._requests.setdefault(service, _Window(self._length_s))
        window.add(self._clock.monotonic())

    def take(self, service: str) -> bool:
        """Count a repeat at `service` if the budget allows it."""
        now = self._clock.monotonic()
        repeats = self._repeats.setdefault(service, _Window(self._length_s))
        if repeats.count(now) + 1 > self.limit(service):
            return False
        repeats.add(now)
        return True

    def limit(self, service: str) -> float:
        """Return the repeats that this node may make in a window."""
        now = self._clock.monotonic()
        requests = self._requests.get(service)
        own = requests.count(now) if requests is not None else 0
        nodes = max(1, self._count_nodes())
        return _USED_SHARE * (self._ratio * own + self._allowance / nodes)
