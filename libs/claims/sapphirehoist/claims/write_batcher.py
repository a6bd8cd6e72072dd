"""Batches concurrent conditional writes into transactions of the table.

While one transaction is in flight, further writes wait for the next one, so the
table's response time bounds the number of transactions per second. A write whose
condition fails is dropped from the batch, and the others are sent again.
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

_MAX_CONDITIONS_PER_TRANSACTION = 64


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The condition of the write failed; `row` is the current row."""

    row: Row


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    condition: Condition
    writes: tuple[Write, ...]
    result: AsyncResult


class WriteBatcher:
    """Applies conditional writes, several in one transaction.

    Parameters
    ----------
    table : TableService
        The platform's table.
    metrics : Metrics
        Receives ``table_transactions_total`` and ``table_rows_total``.
    """

    __slots__ = ("_metrics", "_pending", "_sender", "_table", "_wakeup")

    def __init__(self, table: TableService, metrics: Metrics) -> None:
        self._table = table
        self._metrics = metrics
        self._pending: list[_PendingWrite] = []
        self._wakeup = Event()
        self._sender: gevent.Greenlet | None = None

    def write(
        self, condition: Condition, *writes: Write
    ) -> Committed | RowConflict | Unavailable | Undecided:
        """Apply `writes` if `condition` holds, and wait for the outcome."""
        pending_write = _PendingWrite(condition, writes, AsyncResult())
        self._pending.append(pending_write)
        if self._sender is None or self._sender.dead:
            self._sender = gevent.spawn(self._run)
        return pending_write.result.get()

    def _run(self) -> None:
        # Lets other greenlets that are ready to write join the first transaction.
        gevent.sleep(0)
        while self._pending:
            self._commit(self._take_batch())

    def _take_batch(self) -> list[_PendingWrite]:
        """Remove and return the next writes, at most one for each condition key."""
        batch: dict[str, _PendingWrite] = {}
        remaining = []
        for pending_write in self._pending:
            if (
                pending_write.condition.key in batch
                or len(batch) >= _MAX_CONDITIONS_PER_TRANSACTION
            ):
                remaining.append(pending_write)
            else:
                batch[pending_write.condition.key] = pending_write
        self._pending = remaining
        return list(batch.values())

    def _commit(self, batch: list[_PendingWrite]) -> None:
        conditions = [pending_write.condition for pending_write in batch]
        writes = [write for pending_write in batch for write in pending_write.writes]
        self._metrics.count("table_transactions_total")
        self._metrics.count("table_rows_total", len(writes))
        outcome = self._table.transact(conditions, writes)
        if not isinstance(outcome, Conflict):
            for pending_write in batch:
                pending_write.result.set(outcome)
            return
        conflicting_rows = {row.key: row for row in outcome.rows}
        for pending_write in batch:
            row = conflicting_rows.get(pending_write.condition.key)
            if row is None:
                self._pending.append(pending_write)
            else:
                pending_write.result.set(RowConflict(row))
