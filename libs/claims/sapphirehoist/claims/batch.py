"""Groups writes that arrive together into one transaction.

While one transaction is under way, further writes wait and leave together in the next
one, so the transactions per second are bounded by the table's answer time. A write
whose condition fails does not hold up the others.
"""

from __future__ import annotations

from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult, Event

from sapphirehoist.observability import Metrics
from sapphirehoist.storage import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableService,
    Unavailable,
    Undecided,
    Write,
)

_MAX_ROWS = 64


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The condition of this write failed; `row` is the current row."""

    row: Row


@dataclass(frozen=True, slots=True)
class _Entry:
    condition: Condition
    writes: tuple[Write, ...]
    result: AsyncResult


class TableBatch:
    """Writes single rows, several in one transaction.

    Parameters
    ----------
    table : TableService
        The platform's table.
    metrics : Metrics
        Takes ``table_transactions_total`` and ``table_rows_total``.
    """

    __slots__ = ("_metrics", "_pending", "_table", "_task", "_wakeup")

    def __init__(self, table: TableService, metrics: Metrics) -> None:
        self._table = table
        self._metrics = metrics
        self._pending: list[_Entry] = []
        self._wakeup = Event()
        self._task: gevent.Greenlet | None = None

    def write(
        self, condition: Condition, *writes: Write
    ) -> Committed | RowConflict | Unavailable | Undecided:
        """Apply `writes` if `condition` holds, and wait for the answer."""
        entry = _Entry(condition, writes, AsyncResult())
        self._pending.append(entry)
        if self._task is None or self._task.dead:
            self._task = gevent.spawn(self._run)
        return entry.result.get()

    def _run(self) -> None:
        # Writers that are ready at this instant join the first transaction.
        gevent.sleep(0)
        while self._pending:
            self._send(self._take())

    def _take(self) -> list[_Entry]:
        """Return the next entries, at most one for each row."""
        taken: dict[str, _Entry] = {}
        left = []
        for entry in self._pending:
            if entry.condition.key in taken or len(taken) >= _MAX_ROWS:
                left.append(entry)
            else:
                taken[entry.condition.key] = entry
        self._pending = left
        return list(taken.values())

    def _send(self, entries: list[_Entry]) -> None:
        conditions = [entry.condition for entry in entries]
        writes = [write for entry in entries for write in entry.writes]
        self._metrics.count("table_transactions_total")
        self._metrics.count("table_rows_total", len(writes))
        outcome = self._table.transact(conditions, writes)
        if not isinstance(outcome, Conflict):
            for entry in entries:
                entry.result.set(outcome)
            return
        failed = {row.key: row for row in outcome.rows}
        for entry in entries:
            row = failed.get(entry.condition.key)
            if row is None:
                self._pending.append(entry)
            else:
                entry.result.set(RowConflict(row))
