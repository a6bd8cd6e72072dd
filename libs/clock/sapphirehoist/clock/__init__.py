"""Injectable clocks and hybrid logical timestamps."""

from __future__ import annotations

from sapphirehoist.clock.hybrid import HybridClock, Timestamp
from sapphirehoist.clock.interface import Clock, Waitable
from sapphirehoist.clock.manual import ManualClock
from sapphirehoist.clock.system import SystemClock

__all__ = [
    "Clock",
    "HybridClock",
    "ManualClock",
    "SystemClock",
    "Timestamp",
    "Waitable",
]
