"""Follows one table of the platform's store: a full read, then its change feed.

The nodes of a group may share their reads: one of them reads and passes on the changes;
the others read only while they hear of no recent read.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.discovery.read_sharing import ReadSharing, SharedRead
from sapphirehoist.discovery.row_changes import RowChanges
from sapphirehoist.discovery.table import (
    HistoryExpired,
    ReadFailed,
    ReadOutcome,
    TableListener,
    TableRows,
    TableSource,
)
from sapphirehoist.observability import Metrics

# Changes are batched for at least this long, so that a busy table costs few reads.
_MIN_READ_INTERVAL_S = 0.5
# As fractions of the propagation bound: the time between reads of a node that reads for
# others, the long-poll timeout of shared reads, and the age of the last read after
# which a node that relies on others reads itself.
_SHARED_READ_INTERVAL_FRACTION = 0.3
_POLL_TIMEOUT_FRACTION = 0.25
_MAX_SHARED_AGE_FRACTION = 0.5
# A node that does not hear of any read shares the load of the store with all others.
# With this many reads of a table per second over all nodes, a change is 20 ms old on
# average when the first node reads it.
_FLEET_READS_PER_S = 45.0
# Upper limit of the read interval, as a fraction of the propagation bound, so that even
# a node without peers applies changes within the bound.
_MAX_READ_INTERVAL_FRACTION = 0.5
# Long-poll timeout of the change feed for a node that reads for itself only.
FEED_POLL_TIMEOUT_S = 1.0
# Interval at which a node that relies on the reads of another one checks their age.
_AGE_CHECK_INTERVAL_S = 0.25
_RETRY_MIN_DELAY_S = 0.2
_RETRY_MAX_DELAY_S = 1.0
# Entries may have expired during a longer gap between reads, whether the store was
# unreachable or this process was paused.
_OUTAGE_THRESHOLD_S = 1.5
# Reads in this period after such a gap are reported with `is_after_outage`.
_POST_OUTAGE_S = 3.0
# A shared read reaches the other nodes of a region within this time.
_MAX_DELIVERY_S = 0.1
# Periodic full reads repair what the change feed has missed. The interval grows with
# the table, so that full reads cost no more than this rate.
_FULL_READ_INTERVAL_S = 20.0
_FULL_READ_MAX_BYTES_PER_S = 500.0

_logger = logging.getLogger(__name__)


class TableFollower:
    """Keeps a listener up to date with one table.

    Parameters
    ----------
    name : str
        Label in logs and counters.
    source : TableSource
        Reads the table.
    listener : TableListener
        Receives the rows.
    changes : RowChanges
        Tells which rows are passed on to other nodes.
    sharing : ReadSharing
        Decides whether this node reads, and passes its reads on.
    clock : Clock
        Times reads and retries.
    metrics : Metrics
        Receives ``store_reads_total`` and ``store_lost_total``.
    count_nodes : callable
        Returns the number of nodes that follow the table.
    get_propagation_bound_s : callable
        Returns the time, in seconds, within which every node has to apply a change.

    Attributes
    ----------
    last_read_at : float or None
        Monotonic time of the last successful read that this node knows the changes of,
        its own or a shared one, in seconds.
    """

    __slots__ = (
        "_changes",
        "_clock",
        "_count_nodes",
        "_era",
        "_full_read_at",
        "_get_propagation_bound_s",
        "_is_full_read_needed",
        "_is_store_unreachable",
        "_listener",
        "_metrics",
        "_name",
        "_outage_ended_at",
        "_outage_started_at",
        "_read_listeners",
        "_retry_delay_s",
        "_revision",
        "_sharing",
        "_source",
        "_table_bytes",
        "last_read_at",
    )

    def __init__(
        self,
        name: str,
        source: TableSource,
        listener: TableListener,
        changes: RowChanges,
        sharing: ReadSharing,
        clock: Clock,
        metrics: Metrics,
        count_nodes: Callable[[], int],
        get_propagation_bound_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._get_propagation_bound_s = get_propagation_bound_s
        self._count_nodes = count_nodes
        self._source = source
        self._listener = listener
        self._changes = changes
        self._sharing = sharing
        self._clock = clock
        self._metrics = metrics
        self._revision: int | None = None
        # Set after a gap between reads: deletions cannot be told from expiries.
        self._is_full_read_needed = False
        self._era: int | None = None
        self._is_store_unreachable = False
        self._outage_started_at = 0.0
        self._outage_ended_at = -_POST_OUTAGE_S
        self._retry_delay_s = _RETRY_MIN_DELAY_S
        self._full_read_at = 0.0
        self._table_bytes = 0
        self.last_read_at: float | None = None
        self._read_listeners: list[Callable[[float, float], None]] = []

    def on_read(self, listener: Callable[[float, float], None]) -> None:
        """Call `listener` after each read was applied, an own or a shared one.

        It receives the monotonic times between which the store has answered.
        """
        self._read_listeners.append(listener)

    def run(self) -> None:
        """Read in a loop until the greenlet is killed."""
        while True:
            if self._must_read():
                self._clock.sleep(self.read_once())
            else:
                self._clock.sleep(_AGE_CHECK_INTERVAL_S)

    def read_once(self) -> float:
        """Read once; return the seconds to wait before the next read."""
        started_at = self._clock.monotonic()
        revision = None if self._is_full_read_due() else self._revision
        if revision is None:
            outcome: ReadOutcome = self._source.read_all()
        else:
            outcome = self._source.read_changes(revision, self._poll_timeout_s())
        self._metrics.count("store_reads_total", table=self._name)
        if isinstance(outcome, ReadFailed):
            return self._handle_read_failure(outcome.detail)
        if isinstance(outcome, HistoryExpired):
            _logger.info(
                "change history expired; reading the full table",
                extra={"table": self._name},
            )
            self._is_full_read_needed = True
            return 0.0
        self._handle_read_success()
        is_restored = self._era is not None and outcome.era != self._era
        if is_restored and revision is not None:
            # The changes between the copy and this revision are not in the response.
            self._is_full_read_needed = True
            return 0.0
        if is_restored:
            _logger.info(
                "read the table of a restored store",
                extra={"table": self._name, "era": outcome.era},
            )
            self._outage_ended_at = self._clock.monotonic()
            self._revision = None
            self._listener.on_restore(outcome)
        self._apply(outcome, started_at, is_full_read=revision is None)
        self._publish_read(started_at)
        interval_s = self._read_interval_s()
        if self._sharing.is_reader():
            interval_s -= self._clock.monotonic() - started_at
        return max(0.0, interval_s)

    def apply_shared_read(self, read: SharedRead) -> None:
        """Apply a read of another node, unless it leaves a gap to what is known."""
        if (
            self._revision is None
            or read.era != self._era
            or read.base_revision > self._revision
        ):
            return
        self._handle_read_success()
        # The changes up to this read are known without a gap, also after failed reads.
        self._is_full_read_needed = False
        self._full_read_at = self._clock.monotonic()
        began_at = self._full_read_at - read.duration_s - _MAX_DELIVERY_S
        if read.revision > self._revision:
            self._revision = read.revision
            self._changes.apply(read.rows)
            if read.rows:
                is_after_outage = read.is_after_outage or self._is_after_outage()
                rows = TableRows(read.rows, read.revision, read.era)
                self._listener.on_changes(rows, is_after_outage)
        self._publish_read(began_at)

    def _publish_read(self, began_at: float) -> None:
        """Tell the listeners of a read that was applied."""
        if self.last_read_at is not None:
            for listener in self._read_listeners:
                listener(began_at, self.last_read_at)

    def _apply(self, outcome: TableRows, started_at: float, is_full_read: bool) -> None:
        """Deliver a read to the listener, and pass it on if other nodes rely on it."""
        is_after_outage = self._is_after_outage()
        if is_full_read:
            self._is_full_read_needed = False
            self._full_read_at = self._clock.monotonic()
            self._table_bytes = sum(
                len(row.key) + len(row.value or b"") for row in outcome.rows
            )
            changed_rows = self._changes.apply_full_read(outcome.rows)
            self._listener.on_full_read(outcome, is_after_outage)
        else:
            changed_rows = self._changes.apply(outcome.rows)
            if outcome.rows:
                self._listener.on_changes(outcome, is_after_outage)
        # Without a state of this era, nodes with an older one have to read once.
        base_revision = outcome.revision if self._revision is None else self._revision
        self._revision, self._era = outcome.revision, outcome.era
        if self._sharing.is_reader():
            self._sharing.publish(
                SharedRead(
                    outcome.era,
                    base_revision,
                    outcome.revision,
                    changed_rows,
                    is_after_outage,
                    self._clock.monotonic() - started_at,
                )
            )

    def _must_read(self) -> bool:
        """Return whether this node reads the table itself now."""
        if self._revision is None or self.last_read_at is None:
            return True
        if self._sharing.is_reader():
            return True
        max_age_s = self._get_propagation_bound_s() * _MAX_SHARED_AGE_FRACTION
        return self._clock.monotonic() - self.last_read_at > max_age_s

    def _poll_timeout_s(self) -> float:
        if not self._sharing.has_other_nodes():
            return FEED_POLL_TIMEOUT_S
        if self._sharing.is_reader():
            # It polls all the time, so that it has a change even if the store becomes
            # unreachable right after it.
            return self._read_interval_s()
        return self._get_propagation_bound_s() * _POLL_TIMEOUT_FRACTION

    def _read_interval_s(self) -> float:
        """Return the time between reads, which grows with the size of the fleet.

        A node that reads for others reads at a fixed pace.
        """
        bound_s = self._get_propagation_bound_s()
        if self._sharing.is_reader():
            return max(_MIN_READ_INTERVAL_S, bound_s * _SHARED_READ_INTERVAL_FRACTION)
        fleet_interval_s = self._count_nodes() / _FLEET_READS_PER_S
        max_interval_s = bound_s * _MAX_READ_INTERVAL_FRACTION
        return min(max(_MIN_READ_INTERVAL_S, fleet_interval_s), max_interval_s)

    def _is_full_read_due(self) -> bool:
        if self._is_full_read_needed:
            return True
        age_s = self._clock.monotonic() - self._full_read_at
        size_based_interval_s = self._table_bytes / _FULL_READ_MAX_BYTES_PER_S
        return age_s > max(_FULL_READ_INTERVAL_S, size_based_interval_s)

    def _handle_read_failure(self, detail: str) -> float:
        now = self._clock.monotonic()
        self._sharing.report_failure()
        if not self._is_store_unreachable:
            self._is_store_unreachable = True
            self._outage_started_at = (
                now if self.last_read_at is None else self.last_read_at
            )
            self._retry_delay_s = _RETRY_MIN_DELAY_S
            self._metrics.count("store_lost_total", table=self._name)
            _logger.warning(
                "store unreachable; retrying",
                extra={
                    "table": self._name,
                    "detail": detail,
                    "revision": self._revision,
                    "seen_s_ago": round(now - self._outage_started_at, 3),
                },
            )
        delay_s, self._retry_delay_s = (
            self._retry_delay_s,
            min(self._retry_delay_s * 2, self._max_retry_delay_s()),
        )
        # An interrupted feed cannot tell deleted entries from expired ones, so the next
        # read is a full one.
        self._is_full_read_needed = True
        return delay_s

    def _max_retry_delay_s(self) -> float:
        if not self._sharing.has_other_nodes() or self._sharing.is_reader():
            return _RETRY_MAX_DELAY_S
        # The nodes that read for others find out when the store is back.
        bound_s = self._get_propagation_bound_s()
        return max(_RETRY_MAX_DELAY_S, bound_s * _MAX_SHARED_AGE_FRACTION)

    def _handle_read_success(self) -> None:
        now = self._clock.monotonic()
        gap_s = 0.0 if self.last_read_at is None else now - self.last_read_at
        expected_gap_s = self._poll_timeout_s() + self._read_interval_s()
        if self._is_store_unreachable or gap_s > expected_gap_s + _OUTAGE_THRESHOLD_S:
            if gap_s > _OUTAGE_THRESHOLD_S:
                self._outage_ended_at = now
            if self._is_store_unreachable:
                _logger.info(
                    "store reachable again",
                    extra={"table": self._name, "outage_s": round(gap_s, 3)},
                )
            self._is_store_unreachable = False
        self.last_read_at = now

    def _is_after_outage(self) -> bool:
        return self._clock.monotonic() - self._outage_ended_at < _POST_OUTAGE_S
