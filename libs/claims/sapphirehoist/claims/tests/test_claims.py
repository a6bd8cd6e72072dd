"""Claims under lost answers, outages, races and pauses."""

from __future__ import annotations

from itertools import count

import gevent
import pytest

from sapphirehoist.claims import (
    Claim,
    ClaimKey,
    ClaimRegistry,
    ClaimReused,
    ClaimSweeper,
    ClaimTaken,
    ClaimUnavailable,
)
from sapphirehoist.claims.sweeper import CLAIM_RETENTION_MINUTES
from sapphirehoist.clock import ManualClock
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Reason, Unknown
from sapphirehoist.storage import MemoryObjectStore, MemoryTableService, Write
from sapphirehoist.testing import FaultyTable

KEY = ClaimKey("studio", "booking-1")
BODY = "a" * 64


class EntryVms:
    """Registries of several entry VMs on one table."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.tables: list[FaultyTable] = []
        self.metrics = Metrics()
        self._ids = count(1)

    def add_registry(self) -> ClaimRegistry:
        """Return the registry of another entry VM."""
        table = FaultyTable(self.clock, self.table)
        self.tables.append(table)
        vm = f"entry-{len(self.tables)}"
        return ClaimRegistry(
            vm,
            table,
            self.objects,
            self.clock,
            lambda: f"attempt-{next(self._ids)}",
            self.metrics,
        )

    def sweeper(self) -> ClaimSweeper:
        """Return a sweeper of the shared table."""
        return ClaimSweeper(self.table, self.objects, self.clock, self.metrics)

    def run(self, function, timeout_s: float = 30.0):
        """Run `act` in a task, letting time pass, and return its value."""
        task = gevent.spawn(function)
        elapsed_s = 0.0
        while not task.ready() and elapsed_s < timeout_s:
            self.clock.advance(0.01)
            elapsed_s += 0.01
        return task.get(timeout=0)


@pytest.fixture
def entries() -> EntryVms:
    return EntryVms()


def test_one_of_two_entries_wins(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    won = entries.run(lambda: first.claim(KEY, BODY, 10))
    lost = entries.run(lambda: second.claim(KEY, BODY, 10))
    assert isinstance(won, Claim)
    assert lost == ClaimTaken(won.stored)


def test_two_requests_at_one_entry_win_once(entries: EntryVms) -> None:
    registry = entries.add_registry()
    tasks = [gevent.spawn(registry.claim, KEY, BODY, 10) for _ in range(5)]
    entries.run(lambda: gevent.joinall(tasks))
    kinds = sorted(type(task.value).__name__ for task in tasks)
    assert kinds == ["Claim"] + 4 * ["ClaimTaken"]


def test_a_key_admits_no_other_body(entries: EntryVms) -> None:
    registry = entries.add_registry()
    assert isinstance(entries.run(lambda: registry.claim(KEY, BODY, 10)), Claim)
    reused = entries.run(lambda: registry.claim(KEY, "b" * 64, 10))
    assert reused == ClaimReused()


def test_equal_keys_of_two_teams_are_apart(entries: EntryVms) -> None:
    registry = entries.add_registry()
    other = ClaimKey("depot", KEY.idempotency_key)
    assert isinstance(entries.run(lambda: registry.claim(KEY, BODY, 10)), Claim)
    assert isinstance(entries.run(lambda: registry.claim(other, BODY, 10)), Claim)


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_lost_answer_is_settled(entries: EntryVms, lost: int) -> None:
    registry = entries.add_registry()
    entries.tables[0].lose_answers = lost
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert isinstance(claim, Claim)
    stored = entries.table.read([KEY.row_key]).rows
    assert [row.revision for row in stored] == [claim.revision]


def test_a_lost_answer_to_the_loser_is_settled(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    entries.run(lambda: first.claim(KEY, BODY, 10))
    entries.tables[1].lose_answers = 1
    assert isinstance(entries.run(lambda: second.claim(KEY, BODY, 10)), ClaimTaken)


def test_a_lost_write_that_never_settles_does_not_allow_the_call(
    entries: EntryVms,
) -> None:
    registry = entries.add_registry()
    entries.tables[0].lose_writes = 1_000_000
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert isinstance(claim, ClaimUnavailable)


def test_an_insert_that_lands_after_it_was_given_up_is_released(
    entries: EntryVms,
) -> None:
    registry, other = entries.add_registry(), entries.add_registry()
    entries.tables[0].lose_answers = 1_000_000
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert isinstance(claim, ClaimUnavailable)
    assert entries.tables[0].rows_written
    entries.tables[0].lose_answers = 0
    entries.clock.advance(5)
    assert isinstance(entries.run(lambda: other.claim(KEY, BODY, 60)), Claim)


def test_a_table_that_is_down_refuses_at_once(entries: EntryVms) -> None:
    registry = entries.add_registry()
    entries.tables[0].is_down = True
    started = entries.clock.monotonic()
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert isinstance(claim, ClaimUnavailable)
    assert entries.clock.monotonic() - started <= 0.02


def test_a_paused_claimer_does_not_send(entries: EntryVms) -> None:
    registry = entries.add_registry()
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert registry.may_send(claim, 10)
    entries.clock.advance(3.5)
    assert not registry.may_send(claim, 10)


def test_a_duplicate_waits_for_the_stored_end(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    claim = entries.run(lambda: first.claim(KEY, BODY, 10))
    taken = entries.run(lambda: second.claim(KEY, BODY, 10))
    waiting = gevent.spawn(second.wait_for_end, KEY, taken.stored, 10)
    entries.clock.advance(1)
    assert not waiting.ready()
    first.finish(claim, Done(b"booth 7"))
    entries.clock.advance(2)
    assert waiting.get(timeout=0) == Done(b"booth 7", replayed=True)


@pytest.mark.parametrize(
    "end",
    [
        Failed(Reason.ENDPOINT_REFUSED, "taken"),
        Unknown(Reason.CONNECTION_LOST, "no answer"),
    ],
)
def test_ends_that_are_not_done_are_stored_as_they_are(
    entries: EntryVms, end: Failed | Unknown
) -> None:
    registry = entries.add_registry()
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    registry.finish(claim, end)
    entries.clock.advance(1)
    taken = entries.run(lambda: registry.claim(KEY, BODY, 10))
    assert entries.run(lambda: registry.wait_for_end(KEY, taken.stored, 10)) == end


def test_a_duplicate_of_a_dead_claimer_is_unknown(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    entries.run(lambda: first.claim(KEY, BODY, 3))
    entries.clock.advance(20)
    taken = entries.run(lambda: second.claim(KEY, BODY, 60))
    end = entries.run(lambda: second.wait_for_end(KEY, taken.stored, 60))
    assert isinstance(end, Unknown)
    assert entries.clock.monotonic() < 30


def test_a_key_whose_call_never_left_can_be_used_again(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    claim = entries.run(lambda: first.claim(KEY, BODY, 10))
    first.finish(claim, NotRun(Reason.NO_ENDPOINT, "none"))
    entries.clock.advance(1)
    assert isinstance(entries.run(lambda: second.claim(KEY, BODY, 10)), Claim)


def test_an_end_is_stored_after_an_outage(entries: EntryVms) -> None:
    registry = entries.add_registry()
    claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
    entries.tables[0].is_down = True
    registry.finish(claim, Done(b"x"))
    entries.clock.advance(5)
    entries.tables[0].is_down = False
    entries.tables[0].lose_answers = 1
    entries.clock.advance(5)
    taken = entries.run(lambda: registry.claim(KEY, BODY, 60))
    end = entries.run(lambda: registry.wait_for_end(KEY, taken.stored, 60))
    assert end == Done(b"x", replayed=True)


def test_claims_that_arrive_together_share_transactions(entries: EntryVms) -> None:
    registry = entries.add_registry()
    entries.tables[0].delay_s = 0.005
    keys = [ClaimKey("studio", f"booking-{n}") for n in range(200)]
    tasks = [gevent.spawn(registry.claim, key, BODY, 10) for key in keys]
    entries.run(lambda: gevent.joinall(tasks))
    assert all(isinstance(task.value, Claim) for task in tasks)
    assert entries.tables[0].transactions == 4  # at most 64 claims in each


def test_a_conflict_does_not_hold_up_the_others(entries: EntryVms) -> None:
    registry = entries.add_registry()
    entries.run(lambda: registry.claim(KEY, BODY, 10))
    keys = [KEY, *[ClaimKey("studio", f"booking-{n}") for n in range(10, 20)]]
    tasks = [gevent.spawn(registry.claim, key, BODY, 10) for key in keys]
    entries.run(lambda: gevent.joinall(tasks))
    kinds = [type(task.value) for task in tasks]
    assert kinds == [ClaimTaken] + 10 * [Claim]


def test_a_large_answer_is_stored_apart_and_swept(entries: EntryVms) -> None:
    first, second = entries.add_registry(), entries.add_registry()
    claim = entries.run(lambda: first.claim(KEY, BODY, 10))
    large = b"plan " * 100_000
    first.finish(claim, Done(large))
    entries.clock.advance(1)
    assert len(entries.table.read([KEY.row_key]).rows[0].value) < 1000
    taken = entries.run(lambda: second.claim(KEY, BODY, 60))
    end = entries.run(lambda: second.wait_for_end(KEY, taken.stored, 60))
    assert end == Done(large, replayed=True)
    entries.clock.advance((CLAIM_RETENTION_MINUTES + 10) * 60)
    sweeper = entries.sweeper()
    assert sweeper.sweep() == 1
    assert entries.objects.get(claim.stored.object_key) is None


class TestSweeper:
    def test_old_claims_are_swept(self, entries: EntryVms) -> None:
        registry = entries.add_registry()
        entries.run(lambda: registry.claim(KEY, BODY, 10))
        sweeper = entries.sweeper()
        entries.clock.advance((CLAIM_RETENTION_MINUTES - 1) * 60)
        assert sweeper.sweep() == 0
        entries.clock.advance(180)
        assert sweeper.sweep() == 1
        assert entries.table.read_prefix("claim").rows == []

    def test_a_key_that_was_claimed_again_is_kept(self, entries: EntryVms) -> None:
        registry = entries.add_registry()
        claim = entries.run(lambda: registry.claim(KEY, BODY, 10))
        entries.tables[0].is_down = True
        registry.release(claim)
        entries.clock.advance(60)
        entries.tables[0].is_down = False
        # The release was given up; the row is removed as an operator would.
        entries.table.transact([], [Write(KEY.row_key, None)])
        entries.clock.advance(CLAIM_RETENTION_MINUTES * 60)
        again = entries.run(lambda: registry.claim(KEY, BODY, 10**6))
        assert isinstance(again, Claim)
        sweeper = entries.sweeper()
        sweeper.sweep()
        assert len(entries.table.read([KEY.row_key]).rows) == 1
