"""The clock interface that every coordination part takes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from datetime import datetime
from typing import Protocol


class Waitable(Protocol):
    """An event or a result of gevent that becomes ready once."""

    def ready(self) -> bool:
        """Return whether it is ready."""

    def wait(self, timeout: float | None = None) -> object:
        """Wait until it is ready, at most `timeout` seconds of real time."""


class Clock(ABC):
    """Source of wall time, monotonic time and sleep.

    See Also
    --------
    SystemClock : reads the operating system's clocks.
    ManualClock : moves only when a test moves it.
    """

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""

    @abstractmethod
    def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""

    @abstractmethod
    def wait(self, waitable: Waitable, seconds: float) -> bool:
        """Suspend until `waitable` is ready; return False after `seconds`."""
