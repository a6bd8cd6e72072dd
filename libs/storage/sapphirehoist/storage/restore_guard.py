"""Holds back what rests on the table until lost rows were written again.

After a restore of the table from a copy, every node writes again what it knows to be
lost. Until all have had time for that, an absent row does not show that it was never
written.
"""

from __future__ import annotations

from gevent.lock import BoundedSemaphore

from sapphirehoist.clock import Clock
from sapphirehoist.messages import decode_json, encode_json
from sapphirehoist.storage.era import StoreEra
from sapphirehoist.storage.interface import (
    Committed,
    Condition,
    Conflict,
    Row,
    Rows,
    TableService,
    Write,
)

_SETTLED_ERA_KEY = "restore/settled-era"
_DEFAULT_SETTLE_S = 5.0


class RestoreGuard:
    """Tells whether the rows that a restore has lost were written again.

    A row names the latest era that has settled, so that a node that starts after the
    restore knows of it too.

    Parameters
    ----------
    table : TableService
        The platform's table.
    clock : Clock
        Monotonic time.
    settle_s : float
        Time that nodes have to write lost rows again, in seconds.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> from sapphirehoist.storage import MemoryTableService
    >>> clock, table = ManualClock(), MemoryTableService()
    >>> guard = RestoreGuard(table, clock)
    >>> guard.is_settled()
    True
    >>> table.restore(table.make_copy())
    >>> guard.is_settled()
    False
    >>> clock.advance(5.0)
    >>> guard.is_settled()
    True
    """

    __slots__ = (
        "_clock",
        "_read_lock",
        "_settle_s",
        "_settled_at",
        "_settled_era",
        "_table",
    )

    def __init__(
        self, table: TableService, clock: Clock, settle_s: float = _DEFAULT_SETTLE_S
    ) -> None:
        self._table = table
        self._clock = clock
        self._settle_s = settle_s
        # None while this node does not know of a restore that has not settled.
        self._settled_at: float | None = None
        self._settled_era: int | None = None
        self._read_lock = BoundedSemaphore()
        table.era.on_restore(self._handle_restore)

    @property
    def era(self) -> StoreEra:
        """Return the era of the table."""
        return self._table.era

    def is_settled(self) -> bool:
        """Return whether an absent row was never written, or was deleted.

        Reads the table once in each era, and is False while that fails.
        """
        if self._settled_at is not None:
            if self._clock.monotonic() < self._settled_at:
                return False
            self._settled_at = None
            self._record_settled()
        if not self._is_settled_in_this_era():
            with self._read_lock:
                if not self._is_settled_in_this_era():
                    self._read_settled_era()
        return self._is_settled_in_this_era()

    def _is_settled_in_this_era(self) -> bool:
        return self._settled_era == (self._table.era.value or 0)

    def _handle_restore(self, era: int) -> None:
        self._settled_at = self._clock.monotonic() + self._settle_s

    def _read_settled_era(self) -> None:
        rows = self._table.read([_SETTLED_ERA_KEY])
        if not isinstance(rows, Rows) or self._settled_at is not None:
            return
        era = self._table.era.value or 0
        # The first era does not begin with a restore, and needs no row.
        settled_era = _decode_era(rows.rows[0]) if rows.rows else 0
        if settled_era < era:
            self._handle_restore(era)
        else:
            self._settled_era = era

    def _record_settled(self) -> None:
        era = self._table.era.value or 0
        rows = self._table.read([_SETTLED_ERA_KEY])
        if not isinstance(rows, Rows):
            return
        row = rows.rows[0] if rows.rows else None
        is_recorded = row is not None and _decode_era(row) >= era
        if is_recorded or self._write_settled_era(era, row):
            self._settled_era = era

    def _write_settled_era(self, era: int, previous: Row | None) -> bool:
        """Write the row; return whether it contains `era` now."""
        condition = Condition(_SETTLED_ERA_KEY, previous.revision if previous else 0)
        outcome = self._table.transact(
            [condition], [Write(_SETTLED_ERA_KEY, encode_json(era))]
        )
        if isinstance(outcome, Conflict):
            return any(_decode_era(row) >= era for row in outcome.rows)
        return isinstance(outcome, Committed)


def _decode_era(row: Row) -> int:
    era = decode_json(row.value, int)
    return era if isinstance(era, int) else 0
