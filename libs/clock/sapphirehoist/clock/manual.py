"""Clock for tests that advances only on request."""

from __future__ import annotations

import heapq
from datetime import UTC, datetime, timedelta

import gevent
from gevent.event import Event

from sapphirehoist.clock.interface import Clock, Waitable

_START_TIME = datetime(2026, 1, 1, tzinfo=UTC)
# Each yield runs the ready greenlets, which may make further ones ready.
_SETTLE_YIELDS = 8


class ManualClock(Clock):
    """Simulated clock; sleeping greenlets wake in the order of their deadlines.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    __slots__ = ("_elapsed_s", "_timer_count", "_timers")

    def __init__(self) -> None:
        self._elapsed_s = 0.0
        self._timer_count = 0
        self._timers: list[tuple[float, int, Event]] = []

    def now(self) -> datetime:
        """Return the start of 2026 plus the time advanced so far."""
        return _START_TIME + timedelta(seconds=self._elapsed_s)

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet until the clock has advanced by `seconds`."""
        self._start_timer(seconds).wait()

    def wait(self, waitable: Waitable, seconds: float) -> bool:
        """Suspend up to `seconds` until `waitable` is ready; return whether it is."""
        gevent.wait([waitable, self._start_timer(seconds)], count=1)
        return waitable.ready()

    def advance(self, seconds: float) -> None:
        """Advance the time, waking each sleeping greenlet at its deadline.

        Parameters
        ----------
        seconds : float
            Time to advance by; greenlets that sleep again on the way are woken
            again within the same call.
        """
        end_s = self._elapsed_s + seconds
        self.settle()
        while self._timers and self._timers[0][0] <= end_s:
            fires_at_s, _, event = heapq.heappop(self._timers)
            self._elapsed_s = max(self._elapsed_s, fires_at_s)
            event.set()
            self.settle()
        self._elapsed_s = end_s
        self.settle()

    def _start_timer(self, seconds: float) -> Event:
        event = Event()
        self._timer_count += 1
        fires_at_s = self._elapsed_s + max(seconds, 0.0)
        heapq.heappush(self._timers, (fires_at_s, self._timer_count, event))
        return event

    def settle(self) -> None:
        """Run the ready greenlets without advancing the time."""
        for _ in range(_SETTLE_YIELDS):
            gevent.sleep(0)
