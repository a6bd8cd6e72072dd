"""One lease in the platform's table.

No wall clock is compared between nodes. The holder measures from before it sent its
last renewal, on its monotonic clock, and stops a margin before the duration is over. A
candidate takes the lease only after it has seen the row unchanged, on its own monotonic
clock, for the duration and the margin.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.messages import decode_json, encode_json
from sapphirehoist.observability import Timeline
from sapphirehoist.storage import (
    Committed,
    Condition,
    Row,
    Rows,
    TableService,
    Undecided,
    Write,
)

_POLL_INTERVAL_PER_CANDIDATE_S = 0.3


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations of a lease, in seconds."""

    duration_s: float = 6.0
    margin_s: float = 1.0
    renewal_interval_s: float = 1.5


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease is held until `valid_until` on the monotonic clock.

    Attributes
    ----------
    fencing : int
        Grows with each new holder; endpoints that check it refuse older numbers.
    valid_until : float
        Monotonic time after which the holder must not act.
    """

    fencing_token: int
    valid_until: float


class LeaseRow(msgspec.Struct, frozen=True):
    """The row of a lease; `renewal` changes with each renewal."""

    holder: str
    fencing: int
    renewal: int


class Lease:
    """One node's handle on one lease.

    Parameters
    ----------
    name : str
        Name of the duty.
    holder : str
        Identity of this process, unique over restarts.
    table : TableService
        The platform's table.
    clock : Clock
        Monotonic time.
    timeline : Timeline
        Takes an event for each change of holder that this node makes.
    times : LeaseTimes
        Durations.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_holder",
        "_key",
        "_observed_row",
        "_observed_at",
        "_table",
        "_timeline",
        "_timings",
    )

    def __init__(
        self,
        name: str,
        holder: str,
        table: TableService,
        clock: Clock,
        timeline: Timeline,
        timings: LeaseTimings | None = None,
    ) -> None:
        self._key = f"lease/{name}"
        self._holder = holder
        self._table = table
        self._clock = clock
        self._timeline = timeline
        self._timings = timings or LeaseTimings()
        self._held: HeldLease | None = None
        self._observed_row: Row | None = None
        self._observed_at = 0.0

    def held(self) -> HeldLease | None:
        """Return the lease if it may be acted on at this instant."""
        if self._held is None or self._clock.monotonic() >= self._held.valid_until:
            return None
        return self._held

    def renew_or_acquire(self) -> HeldLease | None:
        """Renew the lease, or take it if its holder has let it lapse."""
        rows = self._table.read([self._key])
        if not isinstance(rows, Rows):
            return self.held()
        row = rows.rows[0] if rows.rows else None
        current = decode_json(row.value, LeaseRow) if row else None
        if row is None:
            self._write(0, LeaseRow(self._holder, 1, 0))
        elif isinstance(current, LeaseRow) and current.holder == self._holder:
            renewed = LeaseRow(self._holder, current.fencing, current.renewal + 1)
            self._write(row.revision, renewed)
        elif isinstance(current, LeaseRow) and self._has_expired(row):
            self._write(row.revision, LeaseRow(self._holder, current.fencing + 1, 0))
        return self.held()

    def release(self) -> None:
        """Give the lease up, so that another node need not wait for it to lapse."""
        held = self._held
        self._held = None
        if held is None:
            return
        rows = self._table.read([self._key])
        if not isinstance(rows, Rows) or not rows.rows:
            return
        row = rows.rows[0]
        current = decode_json(row.value, LeaseRow)
        if isinstance(current, LeaseRow) and current.holder == self._holder:
            released = encode_json(LeaseRow("", current.fencing, current.renewal))
            self._table.transact(
                [Condition(self._key, row.revision)], [Write(self._key, released)]
            )
            self._timeline.record("lease_released", self._key)

    def run(self, candidate_count: Callable[[], int]) -> None:
        """Refresh the lease until killed.

        Parameters
        ----------
        candidates : callable
            Returns the number of nodes that run this. Those that do not hold the lease
            look at it less often the more they are, so that their reads stay flat.
        """
        while True:
            interval_s = self._timings.renewal_interval_s
            if self.renew_or_acquire() is None:
                interval_s = max(
                    interval_s, _POLL_INTERVAL_PER_CANDIDATE_S * candidate_count()
                )
            self._clock.sleep(interval_s)

    def _has_expired(self, row: Row) -> bool:
        current = decode_json(row.value, LeaseRow)
        if isinstance(current, LeaseRow) and not current.holder:
            return True
        now = self._clock.monotonic()
        if self._observed_row is None or self._observed_row.revision != row.revision:
            self._observed_row = row
            self._observed_at = now
        return (
            now - self._observed_at >= self._timings.duration_s + self._timings.margin_s
        )

    def _write(self, revision: int, row: LeaseRow) -> None:
        sent_at = self._clock.monotonic()
        value = encode_json(row)
        outcome = self._table.transact(
            [Condition(self._key, revision)], [Write(self._key, value)]
        )
        if isinstance(outcome, Undecided):
            outcome = self._resolve_undecided(value, outcome)
        if not isinstance(outcome, Committed):
            return
        if self._held is None or self._held.fencing_token != row.fencing:
            self._timeline.record("lease_taken", self._key, f"fencing {row.fencing}")
        valid_for_s = self._timings.duration_s - self._timings.margin_s
        self._held = HeldLease(row.fencing, sent_at + valid_for_s)

    def _resolve_undecided(
        self, value: bytes, undecided: Undecided
    ) -> Committed | Undecided:
        rows = self._table.read([self._key])
        if isinstance(rows, Rows) and rows.rows and rows.rows[0].value == value:
            return Committed(rows.rows[0].revision)
        return undecided
