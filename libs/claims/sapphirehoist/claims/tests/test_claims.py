"""Tests claims under lost responses, outages, races and process pauses."""

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
BODY_SHA256 = "a" * 64


class EntryVms:
    """Claim registries of several entry VMs that share one table."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.faulty_tables: list[FaultyTable] = []
        self.metrics = Metrics()
        self._ids = count(1)

    def add_registry(self) -> ClaimRegistry:
        """Create the registry of another entry VM."""
        table = FaultyTable(self.clock, self.table)
        self.faulty_tables.append(table)
        vm = f"entry-{len(self.faulty_tables)}"
        return ClaimRegistry(
            vm,
            table,
            self.objects,
            self.clock,
            lambda: f"attempt-{next(self._ids)}",
            self.metrics,
        )

    def create_sweeper(self) -> ClaimSweeper:
        """Create a sweeper of the shared table."""
        return ClaimSweeper(self.table, self.objects, self.clock, self.metrics)

    def run(self, function, timeout_s: float = 30.0):
        """Run `function` in a task while the clock advances, and return its value."""
        task = gevent.spawn(function)
        elapsed_s = 0.0
        while not task.ready() and elapsed_s < timeout_s:
            self.clock.advance(0.01)
            elapsed_s += 0.01
        return task.get(timeout=0)


@pytest.fixture
def entry_vms() -> EntryVms:
    return EntryVms()


def test_one_of_two_entry_vms_gets_the_claim(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 10))
    refused = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 10))
    assert isinstance(claim, Claim)
    assert refused == ClaimTaken(claim.stored)


def test_one_of_several_requests_on_one_vm_gets_the_claim(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    tasks = [gevent.spawn(registry.claim, KEY, BODY_SHA256, 10) for _ in range(5)]
    entry_vms.run(lambda: gevent.joinall(tasks))
    names = sorted(type(task.value).__name__ for task in tasks)
    assert names == ["Claim"] + 4 * ["ClaimTaken"]


def test_reusing_a_key_with_another_body_is_rejected(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    assert isinstance(
        entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10)), Claim
    )
    reused = entry_vms.run(lambda: registry.claim(KEY, "b" * 64, 10))
    assert reused == ClaimReused()


def test_teams_do_not_share_idempotency_keys(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    other = ClaimKey("depot", KEY.idempotency_key)
    assert isinstance(
        entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10)), Claim
    )
    assert isinstance(
        entry_vms.run(lambda: registry.claim(other, BODY_SHA256, 10)), Claim
    )


@pytest.mark.parametrize("lost_responses", [1, 2, 3])
def test_claim_succeeds_after_lost_responses(
    entry_vms: EntryVms, lost_responses: int
) -> None:
    registry = entry_vms.add_registry()
    entry_vms.faulty_tables[0].lose_answers = lost_responses
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert isinstance(claim, Claim)
    rows = entry_vms.table.read([KEY.row_key]).rows
    assert [row.revision for row in rows] == [claim.revision]


def test_claim_is_taken_after_lost_response(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 10))
    entry_vms.faulty_tables[1].lose_answers = 1
    assert isinstance(
        entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 10)), ClaimTaken
    )


def test_claim_is_unavailable_if_every_write_is_lost(
    entry_vms: EntryVms,
) -> None:
    registry = entry_vms.add_registry()
    entry_vms.faulty_tables[0].lose_writes = 1_000_000
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert isinstance(claim, ClaimUnavailable)


def test_undecided_insert_is_released_after_the_timeout(
    entry_vms: EntryVms,
) -> None:
    registry, other = entry_vms.add_registry(), entry_vms.add_registry()
    entry_vms.faulty_tables[0].lose_answers = 1_000_000
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert isinstance(claim, ClaimUnavailable)
    assert entry_vms.faulty_tables[0].rows_written
    entry_vms.faulty_tables[0].lose_answers = 0
    entry_vms.clock.advance(5)
    assert isinstance(entry_vms.run(lambda: other.claim(KEY, BODY_SHA256, 60)), Claim)


def test_unavailable_table_fails_the_claim_immediately(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    entry_vms.faulty_tables[0].is_down = True
    started = entry_vms.clock.monotonic()
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert isinstance(claim, ClaimUnavailable)
    assert entry_vms.clock.monotonic() - started <= 0.02


def test_call_is_not_sent_after_a_pause(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert registry.may_send(claim, 10)
    entry_vms.clock.advance(3.5)
    assert not registry.may_send(claim, 10)


def test_duplicate_request_waits_for_the_stored_outcome(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 10))
    taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 10))
    waiting = gevent.spawn(second.wait_for_outcome, KEY, taken.stored, 10)
    entry_vms.clock.advance(1)
    assert not waiting.ready()
    first.finish(claim, Done(b"booth 7"))
    entry_vms.clock.advance(2)
    assert waiting.get(timeout=0) == Done(b"booth 7", is_replayed=True)


@pytest.mark.parametrize(
    "outcome",
    [
        Failed(Reason.ENDPOINT_REFUSED, "taken"),
        Unknown(Reason.CONNECTION_LOST, "no answer"),
    ],
)
def test_failed_and_unknown_outcomes_are_stored_unchanged(
    entry_vms: EntryVms, outcome: Failed | Unknown
) -> None:
    registry = entry_vms.add_registry()
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    registry.finish(claim, outcome)
    entry_vms.clock.advance(1)
    taken = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    assert (
        entry_vms.run(lambda: registry.wait_for_outcome(KEY, taken.stored, 10))
        == outcome
    )


def test_duplicate_of_an_abandoned_claim_is_unknown(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 3))
    entry_vms.clock.advance(20)
    taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
    outcome = entry_vms.run(lambda: second.wait_for_outcome(KEY, taken.stored, 60))
    assert isinstance(outcome, Unknown)
    assert entry_vms.clock.monotonic() < 30


def test_key_can_be_reused_if_the_call_was_not_sent(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 10))
    first.finish(claim, NotRun(Reason.NO_ENDPOINT, "none"))
    entry_vms.clock.advance(1)
    assert isinstance(entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 10)), Claim)


def test_outcome_is_stored_after_a_table_outage(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    entry_vms.faulty_tables[0].is_down = True
    registry.finish(claim, Done(b"x"))
    entry_vms.clock.advance(5)
    entry_vms.faulty_tables[0].is_down = False
    entry_vms.faulty_tables[0].lose_answers = 1
    entry_vms.clock.advance(5)
    taken = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 60))
    outcome = entry_vms.run(lambda: registry.wait_for_outcome(KEY, taken.stored, 60))
    assert outcome == Done(b"x", is_replayed=True)


def test_concurrent_claims_share_transactions(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    entry_vms.faulty_tables[0].delay_s = 0.005
    keys = [ClaimKey("studio", f"booking-{n}") for n in range(200)]
    tasks = [gevent.spawn(registry.claim, key, BODY_SHA256, 10) for key in keys]
    entry_vms.run(lambda: gevent.joinall(tasks))
    assert all(isinstance(task.value, Claim) for task in tasks)
    assert entry_vms.faulty_tables[0].transactions == 4  # at most 64 claims in each


def test_conflicting_claim_does_not_fail_the_batch(entry_vms: EntryVms) -> None:
    registry = entry_vms.add_registry()
    entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
    keys = [KEY, *[ClaimKey("studio", f"booking-{n}") for n in range(10, 20)]]
    tasks = [gevent.spawn(registry.claim, key, BODY_SHA256, 10) for key in keys]
    entry_vms.run(lambda: gevent.joinall(tasks))
    types = [type(task.value) for task in tasks]
    assert types == [ClaimTaken] + 10 * [Claim]


def test_large_body_is_stored_as_an_object_and_swept(entry_vms: EntryVms) -> None:
    first, second = entry_vms.add_registry(), entry_vms.add_registry()
    claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 10))
    body = b"plan " * 100_000
    first.finish(claim, Done(body))
    entry_vms.clock.advance(1)
    assert len(entry_vms.table.read([KEY.row_key]).rows[0].value) < 1000
    taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
    outcome = entry_vms.run(lambda: second.wait_for_outcome(KEY, taken.stored, 60))
    assert outcome == Done(body, is_replayed=True)
    entry_vms.clock.advance((CLAIM_RETENTION_MINUTES + 10) * 60)
    sweeper = entry_vms.create_sweeper()
    assert sweeper.sweep() == 1
    assert entry_vms.objects.get(claim.stored.object_key) is None


class TestSweeper:
    def test_expired_claims_are_swept(self, entry_vms: EntryVms) -> None:
        registry = entry_vms.add_registry()
        entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
        sweeper = entry_vms.create_sweeper()
        entry_vms.clock.advance((CLAIM_RETENTION_MINUTES - 1) * 60)
        assert sweeper.sweep() == 0
        entry_vms.clock.advance(180)
        assert sweeper.sweep() == 1
        assert entry_vms.table.read_prefix("claim").rows == []

    def test_key_that_was_claimed_again_is_not_swept(self, entry_vms: EntryVms) -> None:
        registry = entry_vms.add_registry()
        claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10))
        entry_vms.faulty_tables[0].is_down = True
        registry.release(claim)
        entry_vms.clock.advance(60)
        entry_vms.faulty_tables[0].is_down = False
        # The release ran out of retries; an operator deletes the row instead.
        entry_vms.table.transact([], [Write(KEY.row_key, None)])
        entry_vms.clock.advance(CLAIM_RETENTION_MINUTES * 60)
        new_claim = entry_vms.run(lambda: registry.claim(KEY, BODY_SHA256, 10**6))
        assert isinstance(new_claim, Claim)
        sweeper = entry_vms.create_sweeper()
        sweeper.sweep()
        assert len(entry_vms.table.read([KEY.row_key]).rows) == 1


SETTLE_S = 6.0


class TestRestoredTable:
    """The table comes back from a copy that lacks acknowledged rows."""

    def test_lost_claim_is_written_again_and_not_made_again(
        self, entry_vms: EntryVms
    ) -> None:
        first, second = entry_vms.add_registry(), entry_vms.add_registry()
        copy = entry_vms.table.make_copy()
        claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        assert isinstance(claim, Claim)
        entry_vms.table.restore(copy)
        refused = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert isinstance(refused, ClaimUnavailable)
        # The first node notices the restore with its next call of the table.
        other_key = ClaimKey("studio", "booking-2")
        entry_vms.run(lambda: first.claim(other_key, BODY_SHA256, 60))
        entry_vms.clock.advance(SETTLE_S)
        taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert taken == ClaimTaken(claim.stored)

    @pytest.mark.parametrize("body", [b"booked", b"x" * 100_000])
    def test_lost_outcome_is_written_again(
        self, entry_vms: EntryVms, body: bytes
    ) -> None:
        first, second = entry_vms.add_registry(), entry_vms.add_registry()
        claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        assert isinstance(claim, Claim)
        copy = entry_vms.table.make_copy()
        first.finish(claim, Done(body))
        entry_vms.run(lambda: first.flush(5))
        entry_vms.table.restore(copy)
        for registry in (first, second):
            entry_vms.run(lambda r=registry: r.claim(KEY, BODY_SHA256, 60))  # type: ignore[misc]
        entry_vms.clock.advance(SETTLE_S)
        taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert isinstance(taken, ClaimTaken)
        outcome = entry_vms.run(lambda: second.wait_for_outcome(KEY, taken.stored, 60))
        assert outcome == Done(body, is_replayed=True)

    def test_call_that_ends_after_the_restore_stores_its_outcome(
        self, entry_vms: EntryVms
    ) -> None:
        first = entry_vms.add_registry()
        copy = entry_vms.table.make_copy()
        claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        assert isinstance(claim, Claim)
        entry_vms.table.restore(copy)
        first.finish(claim, Done(b"booked"))
        assert entry_vms.run(lambda: first.flush(20))
        second = entry_vms.add_registry()
        entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        entry_vms.clock.advance(SETTLE_S)
        taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert isinstance(taken, ClaimTaken)
        assert taken.stored.body == b"booked"

    def test_request_that_waits_for_a_lost_claim_is_not_told_that_it_did_not_run(
        self, entry_vms: EntryVms
    ) -> None:
        first, second = entry_vms.add_registry(), entry_vms.add_registry()
        entry_vms.run(lambda: first.claim(ClaimKey("a", "b"), BODY_SHA256, 60))
        copy = entry_vms.table.make_copy()
        claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        assert isinstance(claim, Claim)
        taken = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert isinstance(taken, ClaimTaken)
        entry_vms.faulty_tables[0].is_down = True
        waiting = gevent.spawn(second.wait_for_outcome, KEY, taken.stored, 8.0)
        entry_vms.clock.advance(0.5)
        entry_vms.table.restore(copy)
        outcome = entry_vms.run(waiting.get)
        assert isinstance(outcome, Unknown)

    def test_released_claim_does_not_block_its_key(self, entry_vms: EntryVms) -> None:
        first, second = entry_vms.add_registry(), entry_vms.add_registry()
        claim = entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        assert isinstance(claim, Claim)
        copy = entry_vms.table.make_copy()
        first.release(claim)
        entry_vms.run(lambda: first.flush(5))
        entry_vms.table.restore(copy)
        entry_vms.run(lambda: first.claim(ClaimKey("a", "b"), BODY_SHA256, 60))
        entry_vms.run(lambda: second.claim(ClaimKey("a", "b"), BODY_SHA256, 60))
        entry_vms.clock.advance(SETTLE_S)
        again = entry_vms.run(lambda: second.claim(KEY, BODY_SHA256, 60))
        assert isinstance(again, Claim)

    def test_node_that_starts_after_the_restore_waits_too(
        self, entry_vms: EntryVms
    ) -> None:
        first = entry_vms.add_registry()
        entry_vms.run(lambda: first.claim(KEY, BODY_SHA256, 60))
        entry_vms.table.restore(entry_vms.table.make_copy())
        started = entry_vms.add_registry()
        other_key = ClaimKey("studio", "booking-2")
        refused = entry_vms.run(lambda: started.claim(other_key, BODY_SHA256, 60))
        assert isinstance(refused, ClaimUnavailable)
        entry_vms.clock.advance(SETTLE_S)
        claim = entry_vms.run(lambda: started.claim(other_key, BODY_SHA256, 60))
        assert isinstance(claim, Claim)

    def test_claim_that_commits_after_the_restore_is_given_up(
        self, entry_vms: EntryVms
    ) -> None:
        registry = entry_vms.add_registry()
        other_key = ClaimKey("studio", "booking-2")
        entry_vms.run(lambda: registry.claim(other_key, BODY_SHA256, 60))
        entry_vms.faulty_tables[0].delay_s = 0.4
        attempt = gevent.spawn(registry.claim, KEY, BODY_SHA256, 60)
        entry_vms.clock.advance(0.2)
        entry_vms.table.restore(entry_vms.table.make_copy())
        assert isinstance(entry_vms.run(attempt.get), ClaimUnavailable)
        entry_vms.run(lambda: registry.flush(20))
        assert not entry_vms.table.read([KEY.row_key]).rows
