"""Turns between tasks whose input is there already, so that all others go on.

Cooperative tasks switch when they wait for input. A client that sends ahead, or sends
thousands of small parts in one block, never lets its task wait.
"""

from __future__ import annotations

import gevent
from gevent.lock import Semaphore

from sapphirehoist.clock import Clock

# Work between two turns should be shorter; a pause for it is never longer.
_MAX_PAUSE_S = 0.05


class WorkTurns:
    """Lets one task at a time go on with a short piece of work.

    While several tasks take turns, the work of each is followed by a pause of the same
    length, so that tasks which wait for input get half of the time.

    Parameters
    ----------
    clock : Clock
        Measures the work.
    """

    __slots__ = ("_began_at", "_clock", "_count", "_turn")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turn = Semaphore(1)
        self._began_at = 0.0
        self._count = 0

    def wait(self) -> None:
        """Wait until it is this task's turn and the event loop has run once."""
        self._count += 1
        try:
            with self._turn:
                is_alone = self._count == 1
                worked_s = self._clock.monotonic() - self._began_at
                gevent.sleep(0.0 if is_alone else min(worked_s, _MAX_PAUSE_S))
                self._began_at = self._clock.monotonic()
        finally:
            self._count -= 1
