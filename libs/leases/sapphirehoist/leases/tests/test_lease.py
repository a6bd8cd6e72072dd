"""Tests a lease under process pauses, outages, lost responses and races."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.clock import HybridClock, ManualClock
from sapphirehoist.leases import Lease, LeaseTimings
from sapphirehoist.observability import Timeline
from sapphirehoist.storage import MemoryTableService
from sapphirehoist.testing import FaultyTable

TIMINGS = LeaseTimings(duration_s=6.0, margin_s=1.0, renewal_interval_s=1.5)


class LeaseCandidates:
    """Several candidates for one lease, run by the tests instead of by tasks."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.rows = MemoryTableService()
        self.tables = [FaultyTable(self.clock, self.rows) for _ in range(count)]
        timeline = Timeline("vm", HybridClock(self.clock))
        self.leases = [
            Lease("duty", f"vm-{n}", table, self.clock, timeline, TIMINGS)
            for n, table in enumerate(self.tables)
        ]

    def run(self, duration_s: float, *active: int) -> None:
        """Advance the clock; only the candidates in `active` renew or acquire."""
        for _ in range(int(duration_s / 0.5)):
            for index in active:
                self.leases[index].renew_or_acquire()
            self.clock.advance(0.5)

    def holders(self) -> list[int]:
        """Return the indices of the candidates that hold the lease now."""
        return [n for n, lease in enumerate(self.leases) if lease.held() is not None]


def test_first_holder_keeps_the_lease() -> None:
    candidates = LeaseCandidates(3)
    candidates.run(60, 0, 1, 2)
    assert candidates.holders() == [0]


def test_holder_paused_for_three_lease_durations_does_not_act() -> None:
    candidates = LeaseCandidates(2)
    candidates.run(3, 0, 1)
    first = candidates.leases[0].held()
    candidates.run(18, 1)
    assert candidates.holders() == [1]
    second = candidates.leases[1].held()
    assert first is not None and second is not None
    assert second.fencing_token > first.fencing_token
    candidates.run(3, 0, 1)  # the paused holder resumes and tries to renew
    assert candidates.holders() == [1]


def test_lease_expires_in_a_long_table_outage() -> None:
    candidates = LeaseCandidates(2)
    candidates.run(3, 0, 1)
    for table in candidates.tables:
        table.is_down = True
    candidates.run(6, 0, 1)
    assert candidates.holders() == []
    for table in candidates.tables:
        table.is_down = False
    candidates.run(10, 0, 1)
    assert len(candidates.holders()) == 1


def test_lease_is_held_after_a_lost_response_to_the_first_write() -> None:
    candidates = LeaseCandidates(2)
    candidates.tables[0].lose_answers = 1
    candidates.run(1, 0, 1)
    assert candidates.holders() == [0]


def test_released_lease_is_acquired_immediately() -> None:
    candidates = LeaseCandidates(2)
    candidates.run(3, 0, 1)
    candidates.leases[0].release()
    candidates.run(1, 1)
    assert candidates.holders() == [1]


def test_holder_in_a_restored_copy_does_not_act_beside_the_last_one() -> None:
    """The copy names the first holder, though the second one has the lease."""
    candidates = LeaseCandidates(3)
    candidates.run(3, 0, 1)
    copy = candidates.rows.make_copy()
    candidates.run(18, 1)
    last = candidates.leases[1].held()
    assert last is not None
    candidates.rows.restore(copy)
    # The last holder is cut off and acts until its lease ends.
    candidates.tables[1].is_down = True
    for _ in range(40):
        candidates.run(0.5, 0, 2)
        assert len(candidates.holders()) <= 1
    assert candidates.holders() in ([0], [2])
    held = candidates.leases[candidates.holders()[0]].held()
    assert held is not None
    assert held.fencing_token > last.fencing_token


def test_released_lease_in_a_restored_copy_is_not_acquired_at_once() -> None:
    candidates = LeaseCandidates(2)
    candidates.run(3, 0)
    candidates.leases[0].release()
    copy = candidates.rows.make_copy()
    candidates.run(1, 1)
    assert candidates.holders() == [1]
    candidates.rows.restore(copy)
    candidates.tables[1].is_down = True
    candidates.run(1, 0)
    assert candidates.holders() == [1]
    candidates.run(12, 0)
    assert candidates.holders() == [0]


FAULTS = [
    *("none", "none", "none", "down", "up", "lose_answers", "lose_writes"),
    *("copy", "restore"),
]
STEPS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 2), st.integers(0, 8)),
    min_size=4,
    max_size=40,
)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(STEPS)
def test_at_most_one_holder_at_any_time(steps: list[tuple[str, int, int]]) -> None:
    candidates = LeaseCandidates(3)
    highest_token = 0
    copy = candidates.rows.make_copy()
    for fault, index, half_seconds in steps:
        table = candidates.tables[index]
        if fault in ("down", "up"):
            table.is_down = fault == "down"
        elif fault == "copy":
            copy = candidates.rows.make_copy()
        elif fault == "restore":
            candidates.rows.restore(copy)
        elif fault != "none":
            setattr(table, fault, 1)
        candidates.leases[index].renew_or_acquire()
        candidates.clock.advance(half_seconds / 2)
        holders = candidates.holders()
        assert len(holders) <= 1, (fault, index, half_seconds)
        for holder in holders:
            held = candidates.leases[holder].held()
            assert held is not None
            assert held.fencing_token >= highest_token
            highest_token = held.fencing_token
