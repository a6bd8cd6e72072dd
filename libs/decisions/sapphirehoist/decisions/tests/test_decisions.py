"""Decisions as functions of what a node knows; counts only, no timings."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    Action,
    AdmissionQuery,
    Admitted,
    BudgetedRetry,
    Candidate,
    ClassTargets,
    Failure,
    LoadBook,
    NotAdmitted,
    Route,
    TargetAdmission,
    TargetRouting,
    TeamShares,
    endpoint_subset,
)
from sapphirehoist.decisions.limits import max_min_shares

POOL = [f"engine-{n}" for n in range(10)]


def candidate(name: str, load: float = 0.0, is_local: bool = True) -> Candidate:
    region = "vest" if is_local else "ost"
    return Candidate(name, region, is_local, 4, load, 0, 0.01)


class TestRouting:
    def test_stays_local_while_the_target_can_be_met(self) -> None:
        routing = TargetRouting(Random(1))
        candidates = [candidate("a", load=6), candidate("b", is_local=False)]
        for _ in range(50):
            assert routing.choose(Route(50, slack_s=1.0), candidates).name == "a"

    def test_leaves_when_only_another_region_can_meet_it(self) -> None:
        routing = TargetRouting(Random(1))
        candidates = [candidate("a", load=20), candidate("b", is_local=False)]
        assert routing.choose(Route(50, slack_s=1.0), candidates).name == "b"

    def test_does_not_leave_for_a_region_that_misses_it_too(self) -> None:
        routing = TargetRouting(Random(1))
        candidates = [candidate("a", load=20), candidate("b", 20, is_local=False)]
        assert routing.choose(Route(50, slack_s=1.0), candidates).name == "a"

    def test_nodes_with_the_same_reports_do_not_herd(self) -> None:
        candidates = [candidate(name, load=n % 5) for n, name in enumerate(POOL)]
        chosen = Counter(
            TargetRouting(Random(seed)).choose(Route(), candidates).name
            for seed in range(400)
        )
        assert max(chosen.values()) < 0.5 * 400

    def test_requests_with_one_prefix_meet_until_it_is_full(self) -> None:
        routing = TargetRouting(Random(1))
        route = Route(prefix="studio/abc")
        idle = [candidate(name) for name in POOL]
        favourite = routing.choose(route, idle).name
        assert {routing.choose(route, idle).name for _ in range(50)} == {favourite}
        full = [candidate(n, load=4.0 if n == favourite else 0.0) for n in POOL]
        assert routing.choose(route, full).name != favourite


class TestSubset:
    def test_few_endpoints_move_when_one_is_added(self) -> None:
        before = endpoint_subset("vm-1", [f"e{n}" for n in range(184)], 16)
        after = endpoint_subset("vm-1", [f"e{n}" for n in range(185)], 16)
        assert len(set(before) - set(after)) <= 1

    def test_nodes_cover_a_pool_evenly(self) -> None:
        names = [f"e{n}" for n in range(184)]
        uses = Counter(
            name for vm in range(370) for name in endpoint_subset(f"vm-{vm}", names, 16)
        )
        assert len(uses) == 184
        assert max(uses.values()) < 2 * 370 * 16 / 184


class TestLoadBook:
    @pytest.fixture
    def book(self) -> LoadBook:
        self.clock = ManualClock()
        return LoadBook(self.clock)

    def test_a_report_is_corrected_by_own_calls_and_fades(self, book: LoadBook) -> None:
        book.begin("a")
        for _ in range(50):
            self.clock.advance(0.5)
            book.report("a", 5)
        assert book.estimated_load("a") == pytest.approx(5)
        book.begin("a")
        assert book.estimated_load("a") == pytest.approx(6)
        book.end("a")
        book.end("a")
        self.clock.advance(5)
        assert book.estimated_load("a") == pytest.approx(2)

    def test_a_dead_endpoint_is_ejected_probed_and_ejected_longer(
        self, book: LoadBook
    ) -> None:
        assert [book.fail("engine-0", POOL) for _ in range(3)] == [False, False, True]
        assert book.is_ejected("engine-0")
        self.clock.advance(2.1)
        assert book.is_probing("engine-0")
        for _ in range(3):
            book.fail("engine-0", POOL)
        self.clock.advance(2.1)
        assert book.is_ejected("engine-0")
        self.clock.advance(2)
        book.succeed("engine-0", 0.1, 1)
        assert not book.is_probing("engine-0")

    def test_no_more_than_half_of_a_pool_is_ejected(self, book: LoadBook) -> None:
        for name in POOL:
            for _ in range(3):
                book.fail(name, POOL)
        assert sum(book.is_ejected(name) for name in POOL) == 5

    def test_a_slow_endpoint_is_ejected_by_its_answers(self, book: LoadBook) -> None:
        for _ in range(10):
            for name in POOL:
                book.succeed(name, 5.0 if name == "engine-3" else 1.0, 10)
        slow = [name for name in POOL if book.eject_if_slow(name, POOL)]
        assert slow == ["engine-3"]


class TestAdmission:
    def query(self, predicted_s: float, **changes: object) -> AdmissionQuery:
        values: dict = {
            "class_name": "quick",
            "predicted_s": predicted_s,
            "unloaded_s": 0.2,
            "target_s": 1.0,
            "deadline_s": 2.0,
            "granted_part": 1.0,
        }
        return AdmissionQuery(**{**values, **changes})

    def test_what_would_miss_its_target_is_refused_with_a_time(self) -> None:
        admission = TargetAdmission(ClassTargets())
        assert admission.decide(self.query(0.9)) == Admitted()
        refused = admission.decide(self.query(1.5))
        assert isinstance(refused, NotAdmitted)
        assert refused.retry_after_s == pytest.approx(0.55)

    def test_a_team_over_its_share_is_refused_first(self) -> None:
        admission = TargetAdmission(ClassTargets())
        assert admission.decide(self.query(0.8)) == Admitted()
        refused = admission.decide(self.query(0.8, granted_part=0.5))
        assert isinstance(refused, NotAdmitted)
        assert refused.is_team_limit

    def test_what_cannot_meet_its_target_at_all_is_judged_by_its_deadline(self) -> None:
        admission = TargetAdmission(ClassTargets())
        assert admission.decide(self.query(1.6, unloaded_s=1.5)) == Admitted()

    def test_the_margin_follows_attainment_within_bounds(self) -> None:
        targets = ClassTargets()
        for _ in range(2000):
            targets.observe("quick", False, 0.95)
        assert targets.margin("quick") == pytest.approx(0.6)
        for _ in range(2000):
            targets.observe("quick", True, 0.95)
        assert targets.margin("quick") == pytest.approx(0.95)


class TestRetries:
    def test_never_more_than_the_budget(self) -> None:
        retry = BudgetedRetry()
        retries = 0
        for number in range(2000):
            if number % 3:
                retry.count_success()
            elif retry.decide(Failure.LOST, 1) is Action.RETRY_ELSEWHERE:
                retries += 1
        assert retries <= 0.1 * 2000

    def test_a_call_at_fault_is_not_repeated(self) -> None:
        assert BudgetedRetry().decide(Failure.REJECTED, 1) is Action.GIVE_UP


def test_max_min_lends_what_is_not_used() -> None:
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    shares = max_min_shares({"a": 1, "b": 10, "c": 10}, weights, 13)
    assert shares == {"a": 1, "b": 4.0, "c": 8.0}
    assert max_min_shares({"a": 1, "b": 2, "c": 3}, weights, 13) == {
        "a": 1,
        "b": 2,
        "c": 3,
    }


def test_a_lone_team_is_never_over_its_share() -> None:
    shares = TeamShares(ManualClock())
    for _ in range(100):
        shares.ask("large", 1.0)
        shares.take("large", 1.0)
    assert shares.granted_part("large", {"large": 1.0, "small": 1.0}) == 1.0


def test_a_lone_team_is_not_held_to_what_a_starting_node_took() -> None:
    shares = TeamShares(ManualClock())
    shares.take("only", 0.01)
    for _ in range(6):
        shares.ask("only", 1.0)
    assert shares.granted_part("only", {}) == 1.0


def test_a_burst_fades_and_is_forgiven() -> None:
    clock = ManualClock()
    shares = TeamShares(clock)
    for _ in range(100):
        shares.ask("large", 1.0)
        shares.ask("small", 0.1)
        shares.take("small", 0.1)
        shares.take("large", 0.3)
    assert shares.granted_part("large", {}) < 1.0
    assert shares.granted_part("small", {}) == 1.0
    clock.advance(60)
    shares.ask("large", 1.0)
    shares.take("large", 1.0)
    assert shares.granted_part("large", {}) == 1.0
