"""Turns between tasks whose input is there already, so that all others go on.

Cooperative tasks switch when they wait for input. A client that sends ahead, or sends
thousands of small parts in one block, never lets its task wait.
"""

from __future__ import annotations

from time import monotonic

import gevent
from gevent.lock import Semaphore

# Work between two turns should be shorter; a pause for it is never longer.
_MAX_PAUSE_S = 0.05


class WorkTurns:
    """Lets one task at a time go on with a short piece of work.

    While several tasks take turns, the work of each is followed by a pause of the same
    length, so that tasks which wait for input get half of the time.
    """

    __slots__ = ("_began_at", "_count", "_turn")

    def __init__(self) -> None:
        self._turn = Semaphore(1)
        self._began_at = 0.0
        self._count = 0

    def wait(self) -> None:
        """Wait until it is this task's turn and the event loop has run once."""
        self._count += 1
        try:
            with self._turn:
                is_alone = self._count == 1
                worked_s = min(monotonic() - self._began_at, _MAX_PAUSE_S)
                gevent.sleep(0.0 if is_alone else worked_s)
                self._began_at = monotonic()
        finally:
            self._count -= 1
