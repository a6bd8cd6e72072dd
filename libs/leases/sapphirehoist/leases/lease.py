"""Leases in the platform's table, safe without synchronised clocks.

Wall clocks of different nodes are never compared. On its own monotonic clock, the
holder counts the lease's duration from before it sent the last renewal, and stops
acting a safety margin before the duration ends. A candidate acquires the lease only
after it has observed an unchanged row for the duration and the margin, on its own
monotonic clock.

If the table is restored from an older copy, the row may name an earlier holder, or
none, while the last one still acts. No row of an earlier era is renewed, and a
candidate waits as long as for an expired lease. Fencing tokens begin higher in each
era.
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
    Rows,
    TableService,
    Undecided,
    Write,
)

_POLL_INTERVAL_PER_CANDIDATE_S = 0.3
_FENCING_TOKENS_PER_ERA = 2**32


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Timings of a lease, in seconds.

    Attributes
    ----------
    duration_s : float
        Time from a renewal to the expiry of the lease.
    margin_s : float
        Safety margin by which a holder stops early and a candidate waits longer.
    renewal_interval_s : float
        Time between two renewals.
    """

    duration_s: float = 6.0
    margin_s: float = 1.0
    renewal_interval_s: float = 1.5


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this node holds.

    Attributes
    ----------
    fencing_token : int
        Number that grows with each new holder. Endpoints that check it refuse calls
        with an older one.
    valid_until : float
        Monotonic time from which the holder must not act, in seconds.
    """

    fencing_token: int
    valid_until: float


class LeaseRow(msgspec.Struct, frozen=True):
    """Row of a lease in the table.

    Attributes
    ----------
    holder : str
        Identity of the holder; empty if the lease is released.
    fencing : int
        Fencing token of the holder.
    renewal : int
        Number of renewals by the holder, so that each renewal changes the row.
    """

    holder: str
    fencing: int
    renewal: int


class Lease:
    """Acquires, renews and releases one lease on behalf of this node.

    Parameters
    ----------
    duty : str
        Name of the duty that only the holder performs.
    holder : str
        Identity of this process, different after each restart.
    table : TableService
        The platform's table.
    clock : Clock
        Monotonic time.
    timeline : Timeline
        Receives an event each time this node acquires or releases the lease.
    timings : LeaseTimings
        Duration, safety margin and renewal interval.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_holder",
        "_key",
        "_observed_at",
        "_observed_revision",
        "_table",
        "_timeline",
        "_timings",
    )

    def __init__(
        self,
        duty: str,
        holder: str,
        table: TableService,
        clock: Clock,
        timeline: Timeline,
        timings: LeaseTimings | None = None,
    ) -> None:
        self._key = f"lease/{duty}"
        self._holder = holder
        self._table = table
        self._clock = clock
        self._timeline = timeline
        self._timings = timings or LeaseTimings()
        self._held: HeldLease | None = None
        # Revision of the row that was observed last, 0 for none, and since when.
        self._observed_revision: int | None = None
        self._observed_at = 0.0
        table.era.on_restore(self._handle_restore)

    def held(self) -> HeldLease | None:
        """Return the lease if this node holds it and may act on it now."""
        if self._held is None or self._clock.monotonic() >= self._held.valid_until:
            return None
        return self._held

    def renew_or_acquire(self) -> HeldLease | None:
        """Renew the lease, or acquire it if it is released or expired.

        Returns
        -------
        HeldLease or None
            The lease if this node holds it and may act on it now.
        """
        rows = self._table.read([self._key])
        if not isinstance(rows, Rows):
            return self.held()
        row = rows.rows[0] if rows.rows else None
        current = decode_json(row.value, LeaseRow) if row else LeaseRow("", 0, 0)
        if not isinstance(current, LeaseRow):
            return self.held()
        revision = row.revision if row else 0
        era = self._table.era.value or 0
        era_base = era * _FENCING_TOKENS_PER_ERA
        is_of_this_era = current.fencing >= era_base
        if is_of_this_era and current.holder == self._holder:
            renewed = LeaseRow(self._holder, current.fencing, current.renewal + 1)
            self._write_row(revision, renewed)
        elif self._is_available(revision, is_of_this_era and not current.holder):
            fencing_token = max(current.fencing, era_base) + 1
            self._write_row(revision, LeaseRow(self._holder, fencing_token, 0))
        return self.held()

    def release(self) -> None:
        """Release the lease, so that another node can acquire it before it expires."""
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
        """Renew the lease, or try to acquire it, until the task is killed.

        Parameters
        ----------
        candidate_count : callable
            Returns the number of nodes that run this method. The poll interval of nodes
            that do not hold the lease grows with this number, so that their total read
            rate stays constant.
        """
        while True:
            interval_s = self._timings.renewal_interval_s
            if self.renew_or_acquire() is None:
                interval_s = max(
                    interval_s, _POLL_INTERVAL_PER_CANDIDATE_S * candidate_count()
                )
            self._clock.sleep(interval_s)

    def _handle_restore(self, era: int) -> None:
        if self._held is not None:
            self._timeline.record("lease_lost", self._key, f"store era {era}")
        self._held = None
        self._observed_revision = None

    def _is_available(self, revision: int, is_released: bool) -> bool:
        """Observe the row's revision; return whether the lease is released or expired.

        It is expired once this node has observed the row unchanged for the duration and
        the margin.
        """
        if is_released:
            return True
        now = self._clock.monotonic()
        if self._observed_revision != revision:
            self._observed_revision = revision
            self._observed_at = now
        return (
            now - self._observed_at >= self._timings.duration_s + self._timings.margin_s
        )

    def _write_row(self, expected_revision: int, lease_row: LeaseRow) -> None:
        sent_at = self._clock.monotonic()
        era = self._table.era.value
        value = encode_json(lease_row)
        outcome = self._table.transact(
            [Condition(self._key, expected_revision)], [Write(self._key, value)]
        )
        if isinstance(outcome, Undecided):
            outcome = self._resolve_undecided(value, outcome)
        if not isinstance(outcome, Committed) or self._table.era.value != era:
            return
        if self._held is None or self._held.fencing_token != lease_row.fencing:
            self._timeline.record(
                "lease_taken", self._key, f"fencing {lease_row.fencing}"
            )
        valid_for_s = self._timings.duration_s - self._timings.margin_s
        self._held = HeldLease(lease_row.fencing, sent_at + valid_for_s)

    def _resolve_undecided(
        self, value: bytes, undecided: Undecided
    ) -> Committed | Undecided:
        """Read the row back to check whether an undecided write took effect."""
        rows = self._table.read([self._key])
        if isinstance(rows, Rows) and rows.rows and rows.rows[0].value == value:
            return Committed(rows.rows[0].revision)
        return undecided
