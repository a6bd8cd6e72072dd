"""Which responses are cut off when slow callers fill the memory of a VM."""

from __future__ import annotations

from random import Random

import pytest

from sapphirehoist.decisions import MemoryBudget, SelfSheddingBudget

CAPACITY_BYTES = 1_000_000
EVENT_BYTES = 1_000


def count_shed(budget: MemoryBudget, stopped: int, slow: int, seed: int) -> int:
    """Return how many responses are shed while some callers read nothing.

    Each slow caller reads one event later than its engine makes it.
    """
    random = Random(seed)
    live = set(range(stopped + slow))
    for _ in range(4_000):
        caller = random.choice(sorted(live))
        if caller >= stopped and budget.held_bytes(caller):
            budget.release(caller, EVENT_BYTES)
        while not budget.reserve(caller, EVENT_BYTES):
            victim = budget.largest(caller, EVENT_BYTES)
            assert isinstance(victim, int)
            budget.release(victim, budget.held_bytes(victim))
            live.discard(victim)
            if victim == caller:
                break
    return stopped + slow - len(live)


@pytest.mark.parametrize("seed", range(5))
def test_only_callers_that_stopped_reading_are_cut_off(seed: int) -> None:
    """Shedding whoever needs memory would cut off callers that still read."""
    shed = count_shed(MemoryBudget(CAPACITY_BYTES), 4, 16, seed)
    baseline_shed = count_shed(SelfSheddingBudget(CAPACITY_BYTES), 4, 16, seed)
    assert shed <= 2
    assert shed <= baseline_shed


def test_bodies_leave_memory_for_responses() -> None:
    budget = MemoryBudget(CAPACITY_BYTES)
    assert budget.reserve_request(700_000)
    assert not budget.reserve_request(100_000)
    assert budget.reserve("a", 300_000)
    assert not budget.reserve("b", 1)


def test_responses_leave_memory_for_requests() -> None:
    budget = MemoryBudget(CAPACITY_BYTES)
    assert budget.reserve("a", 900_000)
    assert not budget.reserve("b", 1)
    assert budget.reserve_request(50_000)


def test_shed_response_takes_its_memory_until_its_handler_has_let_go() -> None:
    budget = MemoryBudget(CAPACITY_BYTES)
    assert budget.reserve("a", 800_000)
    leaving_bytes = budget.begin_leaving("a")
    assert (leaving_bytes, budget.used_bytes) == (800_000, 0)
    assert not budget.reserve("b", 200_000)
    budget.end_leaving(leaving_bytes)
    assert budget.reserve("b", 200_000)
