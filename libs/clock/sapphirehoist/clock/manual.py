"""A clock that moves only when it is told to."""

from __future__ import annotations

import heapq
from datetime import UTC, datetime, timedelta

import gevent
from gevent.event import Event

from sapphirehoist.clock.interface import Clock, Waitable

_START = datetime(2026, 1, 1, tzinfo=UTC)
_SETTLE_ROUNDS = 8


class ManualClock(Clock):
    """Clock for tests; sleeping tasks wake in the order of their deadlines.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    __slots__ = ("_elapsed", "_order", "_sleepers")

    def __init__(self) -> None:
        self._elapsed = 0.0
        self._order = 0
        self._sleepers: list[tuple[float, int, Event]] = []

    def now(self) -> datetime:
        """Return the start of 2026 plus the time advanced so far."""
        return _START + timedelta(seconds=self._elapsed)

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet until the clock was advanced far enough."""
        self._alarm(seconds).wait()

    def wait(self, waitable: Waitable, seconds: float) -> bool:
        """Suspend until `waitable` is ready; return False after `seconds`."""
        gevent.wait([waitable, self._alarm(seconds)], count=1)
        return waitable.ready()

    def advance(self, seconds: float) -> None:
        """Move time forward, waking each sleeper at its own instant.

        Parameters
        ----------
        seconds : float
            How far to move; tasks woken on the way may sleep again and are
            woken again within the same call.
        """
        end = self._elapsed + seconds
        self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            wake_at, _, event = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, wake_at)
            event.set()
            self.settle()
        self._elapsed = end
        self.settle()

    def _alarm(self, seconds: float) -> Event:
        event = Event()
        self._order += 1
        wake_at = self._elapsed + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (wake_at, self._order, event))
        return event

    def settle(self) -> None:
        """Run every task that is ready, without moving time."""
        for _ in range(_SETTLE_ROUNDS):
            gevent.sleep(0)
