"""A lease under pauses, outages, lost answers and races."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.clock import HybridClock, ManualClock
from sapphirehoist.leases import Lease, LeaseTimings
from sapphirehoist.observability import Timeline
from sapphirehoist.storage import MemoryTableService
from sapphirehoist.testing import FaultyTable

TIMES = LeaseTimings(duration_s=6.0, margin_s=1.0, renewal_interval_s=1.5)


class LeaseCandidates:
    """Several candidates for one lease, refreshed by hand."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        rows = MemoryTableService()
        self.tables = [FaultyTable(self.clock, rows) for _ in range(count)]
        timeline = Timeline("vm", HybridClock(self.clock))
        self.leases = [
            Lease("duty", f"vm-{n}", table, self.clock, timeline, TIMES)
            for n, table in enumerate(self.tables)
        ]

    def run(self, duration_s: float, *refreshing: int) -> None:
        """Let time pass; only the candidates in `awake` refresh."""
        for _ in range(int(duration_s / 0.5)):
            for number in refreshing:
                self.leases[number].renew_or_acquire()
            self.clock.advance(0.5)

    def holders(self) -> list[int]:
        """Return the candidates that would act now."""
        return [n for n, lease in enumerate(self.leases) if lease.held() is not None]


def test_one_holds_it_and_keeps_it() -> None:
    holders = LeaseCandidates(3)
    holders.run(60, 0, 1, 2)
    assert holders.holders() == [0]


def test_a_holder_frozen_for_three_periods_does_not_act() -> None:
    holders = LeaseCandidates(2)
    holders.run(3, 0, 1)
    first = holders.leases[0].held()
    holders.run(18, 1)
    assert holders.holders() == [1]
    second = holders.leases[1].held()
    assert first is not None and second is not None
    assert second.fencing_token > first.fencing_token
    holders.run(3, 0, 1)  # it wakes up and refreshes
    assert holders.holders() == [1]


def test_a_table_outage_longer_than_the_lease_ends_it() -> None:
    holders = LeaseCandidates(2)
    holders.run(3, 0, 1)
    for table in holders.tables:
        table.is_down = True
    holders.run(6, 0, 1)
    assert holders.holders() == []
    for table in holders.tables:
        table.is_down = False
    holders.run(10, 0, 1)
    assert len(holders.holders()) == 1


def test_a_lost_answer_to_the_first_write_is_settled() -> None:
    holders = LeaseCandidates(2)
    holders.tables[0].lose_answers = 1
    holders.run(1, 0, 1)
    assert holders.holders() == [0]


def test_a_released_lease_is_taken_at_once() -> None:
    holders = LeaseCandidates(2)
    holders.run(3, 0, 1)
    holders.leases[0].release()
    holders.run(1, 1)
    assert holders.holders() == [1]


FAULTS = ["none", "none", "none", "down", "up", "lose_answers", "lose_writes"]
STEPS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 2), st.integers(0, 8)),
    min_size=4,
    max_size=40,
)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(STEPS)
def test_never_two_holders(steps: list[tuple[str, int, int]]) -> None:
    holders = LeaseCandidates(3)
    highest = 0
    for fault, number, half_seconds in steps:
        table = holders.tables[number]
        if fault in ("down", "up"):
            table.is_down = fault == "down"
        elif fault != "none":
            setattr(table, fault, 1)
        holders.leases[number].renew_or_acquire()
        holders.clock.advance(half_seconds / 2)
        holding = holders.holders()
        assert len(holding) <= 1, (fault, number, half_seconds)
        for holder in holding:
            held = holders.leases[holder].held()
            assert held is not None
            assert held.fencing_token >= highest
            highest = held.fencing_token
