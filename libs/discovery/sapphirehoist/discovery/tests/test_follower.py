"""Tests of the table follower (read rate, outages, full reads) and the directory."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.clock import ManualClock
from sapphirehoist.discovery import (
    Departure,
    EndpointDirectory,
    EndpointPhase,
    EndpointRecord,
    HistoryExpired,
    ReadAlone,
    ReadFailed,
    ReadOutcome,
    ReadSharing,
    RowChanges,
    SharedRead,
    TableFollower,
    TableListener,
    TableRow,
    TableRows,
    TableSource,
)
from sapphirehoist.observability import Metrics

ROWS = TableRows((TableRow("a", b"1"),), 5)
NO_CHANGES = TableRows((), 5)


@dataclass(slots=True)
class FakeSource(TableSource):
    """Returns the read outcomes that a test sets."""

    full_read: TableRows | ReadFailed = ROWS
    change_read: ReadOutcome = NO_CHANGES
    reads: list[str] = field(default_factory=list)

    def read_all(self) -> TableRows | ReadFailed:
        self.reads.append("full")
        return self.full_read

    def read_changes(self, after: int, wait_s: float) -> ReadOutcome:
        self.reads.append("changes")
        return self.change_read


@dataclass(slots=True)
class RecordingListener(TableListener):
    """Records the kind of each delivery and its `is_after_outage`."""

    deliveries: list[tuple[str, bool]] = field(default_factory=list)
    rows: list[TableRows] = field(default_factory=list)

    def on_restore(self, rows: TableRows) -> None:
        self.deliveries.append(("restore", True))

    def on_full_read(self, rows: TableRows, is_after_outage: bool) -> None:
        self.deliveries.append(("full", is_after_outage))
        self.rows.append(rows)

    def on_changes(self, rows: TableRows, is_after_outage: bool) -> None:
        self.deliveries.append(("changes", is_after_outage))
        self.rows.append(rows)


class FollowerHarness:
    def __init__(self, sharing: ReadSharing | None = None) -> None:
        self.clock = ManualClock()
        self.source, self.listener = FakeSource(), RecordingListener()
        self.sharing: ReadSharing = sharing or ReadAlone()
        self.node_count = 6
        self.propagation_bound_s = 2.5
        self.follower = TableFollower(
            "t",
            self.source,
            self.listener,
            RowChanges(lambda value: value),
            self.sharing,
            self.clock,
            Metrics(),
            lambda: self.node_count,
            lambda: self.propagation_bound_s,
        )

    def step(self) -> None:
        self.clock.advance(self.follower.read_once())


@pytest.fixture
def harness() -> FollowerHarness:
    return FollowerHarness()


class TestFollower:
    @pytest.mark.parametrize("node_count", [6, 86, 370])
    def test_reads_stay_within_the_read_rate_of_the_store(
        self, harness: FollowerHarness, node_count: int
    ) -> None:
        """Two busy tables use at most half of the store's limit of 2,000 reads/s."""
        harness.node_count = node_count
        started_at = harness.clock.monotonic()
        for _ in range(100):
            harness.step()
        reads_per_s = len(harness.source.reads) / (
            harness.clock.monotonic() - started_at
        )
        assert 2 * node_count * reads_per_s <= 2_000 / 2

    @pytest.mark.parametrize("bound_s", [2.5, 4.0])
    def test_read_interval_stays_within_half_the_propagation_bound(
        self, harness: FollowerHarness, bound_s: float
    ) -> None:
        harness.node_count = 10_000
        harness.propagation_bound_s = bound_s
        harness.step()
        assert harness.follower.read_once() <= bound_s / 2

    def test_a_long_read_interval_is_not_an_outage(
        self, harness: FollowerHarness
    ) -> None:
        harness.node_count, harness.propagation_bound_s = 370, 11.0
        for _ in range(3):
            harness.source.change_read = ROWS
            harness.step()
        assert harness.listener.deliveries[-1] == ("changes", False)

    def test_a_large_fleet_limits_reads_per_node(
        self, harness: FollowerHarness
    ) -> None:
        """With two tables, each of 86 nodes reads fewer than 1.2 times per second."""
        harness.node_count, harness.propagation_bound_s = 86, 4.0
        started_at = harness.clock.monotonic()
        for _ in range(50):
            harness.step()
        reads_per_s = len(harness.source.reads) / (
            harness.clock.monotonic() - started_at
        )
        assert 2 * reads_per_s < 1.2

    def test_reads_the_full_table_then_changes(self, harness: FollowerHarness) -> None:
        for _ in range(3):
            harness.step()
        assert harness.source.reads == ["full", "changes", "changes"]
        assert harness.listener.deliveries == [("full", False)]

    def test_reads_the_full_table_again_when_history_is_gone(
        self, harness: FollowerHarness
    ) -> None:
        harness.step()
        harness.source.change_read = HistoryExpired()
        harness.step()
        harness.step()
        assert harness.source.reads == ["full", "changes", "full"]

    def test_reads_after_an_outage_are_flagged(self, harness: FollowerHarness) -> None:
        harness.step()
        harness.source.change_read = harness.source.full_read = ReadFailed("down")
        for _ in range(8):
            harness.step()
        harness.source.full_read = ROWS
        harness.step()
        assert harness.listener.deliveries[-1] == ("full", True)
        harness.source.change_read = NO_CHANGES
        for _ in range(12):
            harness.step()
        harness.source.change_read = ROWS
        harness.step()
        assert harness.listener.deliveries[-1] == ("changes", False)

    def test_a_pause_of_this_node_counts_as_an_outage(
        self, harness: FollowerHarness
    ) -> None:
        harness.step()
        harness.clock.advance(4.0)
        harness.source.change_read = ROWS
        harness.step()
        assert harness.listener.deliveries[-1] == ("changes", True)

    def test_one_failed_read_is_not_an_outage(self, harness: FollowerHarness) -> None:
        harness.step()
        harness.source.change_read = ReadFailed("refused")
        harness.step()
        harness.source.change_read = NO_CHANGES
        harness.step()
        assert harness.listener.deliveries[-1] == ("full", False)

    def test_changes_of_a_restored_store_are_read_as_a_full_table(
        self, harness: FollowerHarness
    ) -> None:
        """Revisions are given out again, so changes since an old one are incomplete."""
        harness.step()
        harness.source.change_read = TableRows((TableRow("b", b"2"),), 6, era=1)
        harness.source.full_read = TableRows((TableRow("a", b"1"),), 6, era=1)
        harness.step()
        harness.step()
        assert harness.source.reads == ["full", "changes", "full"]
        assert harness.listener.deliveries == [
            ("full", False),
            ("restore", True),
            ("full", True),
        ]

    def test_history_that_a_restored_store_lacks_is_read_as_a_full_table(
        self, harness: FollowerHarness
    ) -> None:
        harness.step()
        harness.source.change_read = HistoryExpired()
        harness.source.full_read = TableRows((), 3, era=1)
        harness.step()
        harness.step()
        assert harness.listener.deliveries[1:] == [("restore", True), ("full", True)]

    def test_the_first_era_is_not_a_restore(self, harness: FollowerHarness) -> None:
        harness.source.full_read = TableRows((), 3, era=7)
        harness.step()
        assert harness.listener.deliveries == [("full", False)]

    def test_a_large_table_delays_the_next_full_read(
        self, harness: FollowerHarness
    ) -> None:
        rows = tuple(TableRow(f"k{i}", b"x" * 330) for i in range(6_800))
        harness.source.full_read = TableRows(rows, 5)
        harness.step()
        harness.clock.advance(60.0)
        harness.step()
        assert harness.source.reads[-1] == "changes"


@dataclass(slots=True)
class FakeSharing(ReadSharing):
    """Sharing whose roles a test sets; delivers publications to `receivers`."""

    is_reading: bool = False
    publications: list[SharedRead] = field(default_factory=list)
    failure_count: int = 0
    receivers: list[TableFollower] = field(default_factory=list)

    def is_reader(self) -> bool:
        return self.is_reading

    def has_other_nodes(self) -> bool:
        return True

    def publish(self, read: SharedRead) -> None:
        self.publications.append(read)
        for follower in self.receivers:
            follower.apply_shared_read(read)

    def report_failure(self) -> None:
        self.failure_count += 1


BOUND_S = 5.0


class TestSharedReads:
    """One node reads for others, which apply what it has read."""

    def new_harness(self, is_reading: bool) -> FollowerHarness:
        harness = FollowerHarness(FakeSharing(is_reading))
        harness.propagation_bound_s = BOUND_S
        return harness

    @pytest.fixture
    def reader(self) -> FollowerHarness:
        return self.new_harness(is_reading=True)

    @pytest.fixture
    def other(self) -> FollowerHarness:
        return self.new_harness(is_reading=False)

    def connect(self, reader: FollowerHarness, other: FollowerHarness) -> None:
        other.follower.read_once()
        reader.follower.read_once()
        assert isinstance(reader.sharing, FakeSharing)
        reader.sharing.receivers.append(other.follower)

    def run_follower(self, harness: FollowerHarness, seconds: float) -> None:
        task = gevent.spawn(harness.follower.run)
        harness.clock.settle()
        for _ in range(int(seconds / 0.05)):
            harness.clock.advance(0.05)
        task.kill()

    def test_node_that_hears_of_reads_does_not_read(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        for _ in range(40):
            reader.follower.read_once()
            self.run_follower(other, 1.0)
        assert other.source.reads == ["full"]

    def test_changes_reach_the_other_node(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        reader.source.change_read = TableRows((TableRow("b", b"2"),), 6)
        reader.follower.read_once()
        assert other.listener.deliveries[-1] == ("changes", False)
        assert other.listener.rows[-1].rows == (TableRow("b", b"2"),)

    def test_unchanged_content_is_not_passed_on(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        reader.source.change_read = TableRows((TableRow("a", b"1"),), 6)
        reader.follower.read_once()
        assert reader.listener.deliveries[-1] == ("changes", False)
        assert other.listener.deliveries == [("full", False)]

    def test_removal_seen_in_a_full_read_after_an_outage_is_passed_on(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        reader.source.change_read = reader.source.full_read = ReadFailed("down")
        for _ in range(6):
            reader.step()
        reader.source.full_read = TableRows((), 9)
        reader.step()
        assert other.listener.rows[-1].rows == (TableRow("a", None),)
        assert other.listener.deliveries[-1] == ("changes", True)

    def test_node_reads_itself_within_half_the_bound_when_it_hears_nothing(
        self, other: FollowerHarness
    ) -> None:
        other.follower.read_once()
        self.run_follower(other, BOUND_S / 2)
        assert other.source.reads == ["full"]
        self.run_follower(other, 0.5)
        assert other.source.reads == ["full", "changes"]

    def test_read_that_leaves_a_gap_is_not_applied(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        assert isinstance(reader.sharing, FakeSharing)
        reader.sharing.receivers.clear()
        reader.source.change_read = TableRows((TableRow("b", b"2"),), 6)
        reader.follower.read_once()
        reader.sharing.receivers.append(other.follower)
        reader.source.change_read = TableRows((TableRow("c", b"3"),), 7)
        reader.follower.read_once()
        assert other.listener.deliveries == [("full", False)]
        self.run_follower(other, BOUND_S)
        assert "changes" in other.source.reads

    def test_read_of_a_restored_store_is_not_applied(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        restored = TableRows((TableRow("b", b"2"),), 5, era=1)
        reader.source.full_read = reader.source.change_read = restored
        reader.follower.read_once()
        reader.follower.read_once()
        assert reader.listener.deliveries[-1] == ("full", True)
        assert other.listener.deliveries == [("full", False)]

    def test_older_read_does_not_revert(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        other.source.change_read = TableRows((TableRow("a", b"9"),), 8)
        other.follower.read_once()
        reader.source.change_read = TableRows((TableRow("a", b"2"),), 6)
        reader.follower.read_once()
        assert other.listener.rows[-1].rows == (TableRow("a", b"9"),)

    def test_node_that_the_store_rejects_lives_on_the_reads_of_others(
        self, reader: FollowerHarness, other: FollowerHarness
    ) -> None:
        self.connect(reader, other)
        other.source.change_read = other.source.full_read = ReadFailed("rejected")
        other.clock.advance(BOUND_S)
        other.follower.read_once()
        reader.source.change_read = TableRows((TableRow("b", b"2"),), 6)
        reader.follower.read_once()
        assert other.listener.rows[-1].rows == (TableRow("b", b"2"),)
        assert isinstance(other.sharing, FakeSharing)
        assert other.sharing.failure_count == 1

    @pytest.mark.parametrize("node_count", [8, 195, 370])
    def test_calls_of_the_store_do_not_grow_with_the_fleet(
        self, reader: FollowerHarness, other: FollowerHarness, node_count: int
    ) -> None:
        """A table that changes all the time costs four reads within the bound."""
        reader.node_count = other.node_count = node_count
        self.connect(reader, other)
        reads_before = len(reader.source.reads)
        for number in range(50):
            row = TableRow("a", str(number).encode())
            reader.source.change_read = TableRows((row,), 6 + number)
            delay_s = reader.follower.read_once()
            reader.clock.advance(delay_s)
            other.clock.advance(delay_s)
        reads_per_s = (len(reader.source.reads) - reads_before) / (
            reader.clock.monotonic()
        )
        assert reads_per_s <= 4 / BOUND_S
        assert other.source.reads == ["full"]


RECORD = EndpointRecord("e", "s", "10.0.0.1:80", "z", 4, sequence=3, born_ms=10)


class TestDirectory:
    def new_directory(self) -> tuple[EndpointDirectory, ManualClock]:
        clock = ManualClock()
        return EndpointDirectory(clock, Metrics()), clock

    def test_an_older_entry_does_not_revert_draining(self) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(replace(RECORD, phase=EndpointPhase.DRAINING, sequence=4))
        directory.apply_entry(RECORD)
        assert directory.list_in_service("s") == []

    def test_a_restart_under_the_same_name_is_in_service(self) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(replace(RECORD, phase=EndpointPhase.DRAINING))
        directory.apply_entry(replace(RECORD, born_ms=20, sequence=1))
        assert [r.born_ms for r in directory.list_in_service("s")] == [20]

    def test_a_departure_from_a_peer_overrides_the_table(self) -> None:
        directory, _ = self.new_directory()
        assert directory.apply_departure(
            Departure("e", 10, EndpointPhase.DRAINING), "vm-2"
        )
        directory.apply_entry(RECORD)
        assert directory.list_in_service("s") == []
        assert directory.apply_departure(Departure("e", 10, EndpointPhase.GONE), "vm-2")
        directory.apply_entry(RECORD)
        assert directory.get("e") is None

    def test_versions_are_recent_for_two_minutes_after_they_left(self) -> None:
        directory, clock = self.new_directory()
        directory.apply_entry(replace(RECORD, software_version="v1"))
        directory.apply_entry(replace(RECORD, software_version="v2", born_ms=20))
        assert directory.recent_versions("s") == {"v1", "v2"}
        directory.apply_deletion("e", False, "entry removed")
        clock.advance(110.0)
        directory.remove_expired()
        assert directory.recent_versions("s") == {"v1", "v2"}
        assert directory.recent_versions("other") == set()
        clock.advance(20.0)
        directory.remove_expired()
        assert directory.recent_versions("s") == set()

    def test_a_missing_entry_is_kept_for_the_grace_period_only(self) -> None:
        directory, clock = self.new_directory()
        directory.apply_entry(RECORD)
        directory.apply_full_read([], is_after_outage=True)
        clock.advance(2.0)
        directory.remove_expired()
        assert directory.list_in_service("s")
        clock.advance(0.5)
        directory.remove_expired()
        assert directory.get("e") is None

    def test_a_missing_entry_that_is_rewritten_stays(self) -> None:
        directory, clock = self.new_directory()
        directory.apply_entry(RECORD)
        directory.apply_full_read([], is_after_outage=True)
        directory.apply_entry(replace(RECORD, sequence=4))
        clock.advance(9.0)
        directory.remove_expired()
        assert directory.list_in_service("s")

    def test_an_endpoint_returns_after_a_peer_reported_its_entry_as_removed(
        self,
    ) -> None:
        """An endpoint that was cut off from the store registers again once it heals.

        One node reads the removal first and tells the others, which read it later.
        """
        directory, _ = self.new_directory()
        directory.apply_entry(RECORD)
        gone = Departure("e", 10, EndpointPhase.GONE, RECORD.sequence)
        assert directory.apply_departure(gone, "vm-2")
        directory.apply_entry(RECORD)
        assert directory.get("e") is None
        directory.apply_deletion("e", False, "entry removed")
        directory.apply_entry(RECORD)
        assert directory.list_in_service("s")

    def test_an_entry_written_after_the_removal_returns_without_reading_the_removal(
        self,
    ) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(RECORD)
        gone = Departure("e", 10, EndpointPhase.GONE, RECORD.sequence)
        directory.apply_departure(gone, "vm-2")
        directory.apply_full_read([replace(RECORD, sequence=4)], False)
        assert directory.list_in_service("s")

    def test_a_late_report_does_not_remove_an_endpoint_that_registered_again(
        self,
    ) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(replace(RECORD, sequence=4))
        assert not directory.apply_departure(
            Departure("e", 10, EndpointPhase.GONE, 3), "vm-2"
        )
        assert directory.list_in_service("s")

    def test_a_restored_store_does_not_bring_back_what_has_left(self) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(RECORD)
        directory.apply_deletion("e", False, "entry removed")
        copy = [replace(RECORD, sequence=9)]
        directory.distrust_entries(copy)
        directory.apply_full_read(copy, is_after_outage=True)
        assert directory.get("e") is None
        directory.apply_entry(replace(RECORD, sequence=10))
        assert directory.list_in_service("s")

    def test_a_restored_store_does_not_revert_draining(self) -> None:
        directory, _ = self.new_directory()
        directory.apply_entry(replace(RECORD, phase=EndpointPhase.DRAINING, sequence=4))
        directory.distrust_entries([RECORD])
        directory.apply_full_read([RECORD], is_after_outage=True)
        assert directory.list_in_service("s") == []

    def test_draining_is_remembered_while_the_endpoint_is_known(self) -> None:
        directory, clock = self.new_directory()
        directory.apply_entry(RECORD)
        directory.apply_departure(Departure("e", 10, EndpointPhase.DRAINING), "vm-2")
        clock.advance(3_600.0)
        directory.remove_expired()
        directory.apply_entry(replace(RECORD, sequence=99))
        assert directory.list_in_service("s") == []

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["in", "drain", "drop", "peer"]),
                st.integers(1, 3),
                st.integers(1, 5),
            ),
            max_size=20,
        )
    )
    def test_an_incarnation_never_returns_from_draining(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        directory, _ = self.new_directory()
        drained_born_ms: set[int] = set()
        for action, born_ms, sequence in actions:
            record = replace(RECORD, born_ms=born_ms, sequence=sequence)
            known = directory.get("e")
            if action == "in":
                directory.apply_entry(record)
            elif action == "drain":
                directory.apply_entry(replace(record, phase=EndpointPhase.DRAINING))
                applied = directory.get("e")
                if applied is not None and applied.phase is EndpointPhase.DRAINING:
                    drained_born_ms.add(applied.born_ms)
            elif action == "peer":
                directory.apply_departure(
                    Departure("e", born_ms, EndpointPhase.DRAINING), "vm-2"
                )
                drained_born_ms.add(born_ms)
            elif known is not None:
                directory.apply_deletion("e", False, "removed")
            for serving in directory.list_in_service("s"):
                assert serving.born_ms not in drained_born_ms
