"""Hybrid logical clock: timestamps near wall time that respect causal order."""

from __future__ import annotations

from typing import NamedTuple

from sapphirehoist.clock.interface import Clock


class Timestamp(NamedTuple):
    """Hybrid logical timestamp.

    Attributes
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch, not less than in any observed timestamp.
    logical : int
        Counter that orders events with equal `wall_ms`.
    """

    wall_ms: int
    logical: int


class HybridClock:
    """Issues timestamps greater than every timestamp issued or observed.

    Parameters
    ----------
    clock : Clock
        Source of wall time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> hybrid = HybridClock(ManualClock())
    >>> hybrid.tick() < hybrid.tick()
    True
    """

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Timestamp(0, 0)

    def tick(self) -> Timestamp:
        """Return the timestamp of a local event."""
        wall_ms = int(self._clock.now().timestamp() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = Timestamp(wall_ms, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.logical + 1)
        return self._last

    def observe(self, received: Timestamp) -> None:
        """Make later timestamps greater than that of a received message."""
        self._last = max(self._last, received)
