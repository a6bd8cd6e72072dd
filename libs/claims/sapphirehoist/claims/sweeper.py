"""Deletes claims that are past their retention period."""

from __future__ import annotations

from sapphirehoist.claims.claim import StoredClaim
from sapphirehoist.claims.registry import AGE_INDEX_PREFIX, age_index_key
from sapphirehoist.clock import Clock
from sapphirehoist.messages import decode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.storage import (
    Committed,
    Condition,
    ObjectStore,
    Row,
    TableService,
    Unavailable,
    Write,
)

CLAIM_RETENTION_MINUTES = 24 * 60
# A new sweeper starts this long before the retention cutoff.
_INITIAL_LOOKBACK_MINUTES = 2 * 60
_INDEX_ROWS_PER_TRANSACTION = 100


class ClaimSweeper:
    """Deletes claims older than `CLAIM_RETENTION_MINUTES`.

    Callers must not retry a request after that time. Only the holder of a lease runs
    the sweeper.

    Parameters
    ----------
    table, objects : TableService, ObjectStore
        The platform's table, and its store of large response bodies.
    clock : Clock
        Wall time.
    metrics : Metrics
        Receives ``claims_swept_total``.
    """

    __slots__ = ("_clock", "_metrics", "_next_minute", "_objects", "_table")

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._metrics = metrics
        self._next_minute = self._retention_cutoff_minute() - _INITIAL_LOOKBACK_MINUTES

    def sweep(self) -> int:
        """Delete a batch of expired claims; return how many were deleted.

        The batch belongs to the earliest minute not yet swept that has index rows.
        """
        while self._next_minute < self._retention_cutoff_minute():
            rows = self._table.read_prefix(f"{AGE_INDEX_PREFIX}{self._next_minute}/")
            if isinstance(rows, Unavailable):
                return 0
            if rows.rows:
                return self._delete_claims(rows.rows[:_INDEX_ROWS_PER_TRANSACTION])
            self._next_minute += 1
        return 0

    def _retention_cutoff_minute(self) -> int:
        return int(self._clock.now().timestamp()) // 60 - CLAIM_RETENTION_MINUTES

    def _delete_claims(self, index_rows: list[Row]) -> int:
        """Delete the claims that `index_rows` refer to, and these index rows.

        A key that was claimed again later has a newer index row, and is kept.
        """
        index_row_by_claim_key = {_claim_row_key(row): row for row in index_rows}
        claim_rows = self._table.read(list(index_row_by_claim_key))
        if isinstance(claim_rows, Unavailable):
            return 0
        conditions = []
        writes = [Write(row.key, None) for row in index_rows]
        for row in claim_rows.rows:
            stored = decode_json(row.value, StoredClaim)
            if not isinstance(stored, StoredClaim):
                continue
            if (
                age_index_key(row.key, stored.claimed_at_ms)
                == index_row_by_claim_key[row.key].key
            ):
                conditions.append(Condition(row.key, row.revision))
                writes.append(Write(row.key, None))
                if stored.is_body_apart:
                    self._objects.delete(stored.object_key)
        outcome = self._table.transact(conditions, writes)
        if not isinstance(outcome, Committed):
            return 0
        self._metrics.count("claims_swept_total", len(conditions))
        return len(conditions)


def _claim_row_key(index_row: Row) -> str:
    return index_row.key.removeprefix(AGE_INDEX_PREFIX).split("/", 1)[1]
