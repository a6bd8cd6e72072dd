"""Clock of the operating system."""

from __future__ import annotations

import time
from datetime import UTC, datetime

import gevent

from sapphirehoist.clock.interface import Clock, Waitable


class SystemClock(Clock):
    """Clock that reads the operating system's time and sleeps in gevent.

    Examples
    --------
    >>> clock = SystemClock()
    >>> clock.now().tzinfo is not None
    True
    """

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds of the system's monotonic clock."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for `seconds`."""
        gevent.sleep(seconds)

    def wait(self, waitable: Waitable, seconds: float) -> bool:
        """Suspend up to `seconds` until `waitable` is ready; return whether it is."""
        waitable.wait(max(seconds, 0.0))
        return waitable.ready()
