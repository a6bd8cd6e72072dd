"""Clock interface that time-dependent components depend on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from datetime import datetime
from typing import Protocol


class Waitable(Protocol):
    """gevent event or result that becomes ready once."""

    def ready(self) -> bool:
        """Return whether the event or result is ready."""

    def wait(self, timeout: float | None = None) -> object:
        """Block until ready, at most `timeout` seconds of real time."""


class Clock(ABC):
    """Source of wall time, monotonic time and sleep.

    See Also
    --------
    SystemClock : reads the operating system's clocks.
    ManualClock : advances only when a test calls `advance`.
    """

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never decreases."""

    @abstractmethod
    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for `seconds`."""

    @abstractmethod
    def wait(self, waitable: Waitable, seconds: float) -> bool:
        """Suspend up to `seconds` until `waitable` is ready; return whether it is."""
