"""Batching, space, placement, budget and forecasts under the load they answer."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    BatchPolicy,
    CallerPatience,
    Distance,
    ForecastCorrection,
    GenerationPlacement,
    LeastLoadedPlacement,
    NearestStageEndpoint,
    OneByOne,
    Place,
    PredictedPlacement,
    PromptPart,
    QueuedPiece,
    SharedRetryBudget,
    SoonestStageEndpoint,
    StageEndpoint,
    UrgentFirst,
    Work,
)


def pieces(count: int, group: int, due_at: float, size: int = 1) -> list[QueuedPiece]:
    return [
        QueuedPiece(group * 100 + i, group, due_at, 0, size, is_reserved=True)
        for i in range(count)
    ]


class TestUrgentFirst:
    def test_calls_are_filled_where_the_baseline_sends_single_pieces(self) -> None:
        waiting = pieces(6, 1, 5.0) + pieces(6, 2, 4.0)
        assert len(UrgentFirst().fill(waiting, 7, 0.0)) == 7
        assert len(OneByOne().fill(waiting, 7, 0.0)) == 1

    def test_the_least_time_left_goes_first(self) -> None:
        chosen = UrgentFirst().fill(pieces(2, 1, 5.0) + pieces(2, 2, 4.0), 2, 0.0)
        assert chosen == (200, 201)

    def test_what_can_meet_its_target_goes_before_what_cannot(self) -> None:
        chosen = UrgentFirst().fill(pieces(1, 1, 1.0) + pieces(1, 2, 9.0), 1, 2.0)
        assert chosen == (200,)

    def test_the_more_urgent_route_goes_first_however_long_others_waited(self) -> None:
        urgent = QueuedPiece(1, 1, 9.0, 0, 1, is_reserved=True)
        patient = QueuedPiece(2, 2, 3.0, 1, 1, is_reserved=True)
        assert UrgentFirst().fill([patient, urgent], 1, 2.0) == (1,)

    def test_what_is_late_goes_with_the_next_rank(self) -> None:
        late = QueuedPiece(1, 1, 1.0, 0, 1, is_reserved=True)
        next_rank = QueuedPiece(2, 2, 9.0, 1, 1, is_reserved=True)
        last_rank = QueuedPiece(3, 3, 3.0, 2, 1, is_reserved=True)
        chosen = UrgentFirst().fill([last_rank, late, next_rank], 3, 2.0)
        assert chosen == (2, 1, 3)

    def test_a_request_that_holds_space_goes_first(self) -> None:
        holding = QueuedPiece(1, 1, 1.0, 2, 1, is_committed=True, is_reserved=True)
        chosen = UrgentFirst().fill([*pieces(1, 2, 9.0), holding], 1, 2.0)
        assert chosen == (1,)

    def test_a_group_gets_space_whole_or_not_at_all(self) -> None:
        chosen = UrgentFirst().reserve(pieces(3, 1, 5.0, 4), 8.0, 0.0)
        assert chosen == ()

    def test_later_groups_do_not_pass_a_large_one(self) -> None:
        waiting = pieces(3, 1, 4.0, 4) + pieces(1, 2, 5.0, 4)
        assert UrgentFirst().reserve(waiting, 8.0, 0.0) == ()

    def test_small_groups_pass(self) -> None:
        waiting = pieces(3, 1, 4.0, 400) + pieces(1, 2, 5.0, 1)
        assert UrgentFirst().reserve(waiting, 800.0, 0.0) == (200,)

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 6), st.integers(1, 9), st.floats(0, 9), st.booleans()
            ),
            max_size=12,
        ),
        st.integers(0, 60),
    )
    def test_space_is_never_given_twice(
        self, groups: list[tuple[int, int, float, bool]], room: int
    ) -> None:
        waiting = [
            QueuedPiece(g * 100 + i, g, due, 0, size, committed)
            for g, (count, size, due, committed) in enumerate(groups)
            for i in range(count)
        ]
        chosen = set(UrgentFirst().reserve(waiting, float(room), 4.0))
        assert sum(p.result_bytes for p in waiting if p.number in chosen) <= room
        for group in {p.group for p in waiting}:
            numbers = {p.number for p in waiting if p.group == group}
            assert numbers <= chosen or not numbers & chosen


class TestOverloadedPool:
    """One endpoint, offered more than it makes by a route that may wait.

    Requests of both routes need 6 pieces of a call of 7; a call takes 0.28 s, so that
    3.6 requests a second can be served.
    """

    CALL_S = 0.28
    URGENT_SLACK_S = 0.8
    PATIENT_SLACK_S = 1.6

    def begun_on_time(
        self, policy: BatchPolicy, urgent_per_s: float, patient_per_s: float
    ) -> tuple[float, float]:
        """Return the part of either route's requests that were begun by their time."""
        random = Random(5)
        waiting: list[QueuedPiece] = []
        asked, on_time = [0, 0], [0, 0]
        group, now = 0, 0.0
        while now < 120.0:
            rates = ((urgent_per_s, self.URGENT_SLACK_S, 0),)
            rates += ((patient_per_s, self.PATIENT_SLACK_S, 1),)
            for rate, slack_s, priority in rates:
                for _ in range(int(rate * self.CALL_S + random.random())):
                    group += 1
                    asked[priority] += 1
                    due_at = now + slack_s
                    waiting += [
                        QueuedPiece(
                            group * 10 + i, group, due_at, priority, is_reserved=True
                        )
                        for i in range(6)
                    ]
            chosen = set(policy.fill(waiting, 7, now))
            for piece in waiting:
                if piece.number in chosen and piece.number % 10 == 5:
                    on_time[piece.priority] += piece.due_at >= now
            waiting = [piece for piece in waiting if piece.number not in chosen]
            now += self.CALL_S
        return on_time[0] / asked[0], on_time[1] / asked[1]

    def test_what_is_urgent_keeps_its_target_and_the_rest_gets_what_is_left(
        self,
    ) -> None:
        urgent, patient = self.begun_on_time(UrgentFirst(), 2.0, 3.0)
        assert urgent >= 0.95
        # 3.6 a second less 2 are left for 3.
        assert patient >= 0.9 * 1.6 / 3.0
        assert self.begun_on_time(OneByOne(), 2.0, 3.0)[0] < 0.1


class TestStageEndpoints:
    def test_an_idle_endpoint_far_away_relieves_a_busy_one(self) -> None:
        near = StageEndpoint("near", Distance.SAME_ZONE, 0.6)
        far = StageEndpoint("far", Distance.OTHER_REGION, 0.0, 50_000)
        assert SoonestStageEndpoint().choose([near, far]).name == "far"
        assert NearestStageEndpoint().choose([near, far]).name == "near"

    def test_large_results_stay(self) -> None:
        near = StageEndpoint("near", Distance.SAME_ZONE, 0.2)
        far = StageEndpoint("far", Distance.OTHER_REGION, 0.0, 9_000_000)
        assert SoonestStageEndpoint().choose([near, far]).name == "near"


def engine(name: str, distance: Distance, **more: float) -> Place:
    return Place(
        name, distance, 48, more.pop("load", 0.0), memory_tokens=400_000, **more
    )  # type: ignore[arg-type]


PROMPT = Work(parts=(PromptPart("shared", 13_000), PromptPart("own", 3_000)))


class TestGenerationPlacement:
    def test_a_prompt_returns_to_the_engine_that_holds_it(self) -> None:
        placement = GenerationPlacement(ManualClock())
        near = engine("near", Distance.SAME_ZONE)
        far = engine("far", Distance.OTHER_REGION)
        assert placement.choose(PROMPT, [near, far]).name == "near"
        placement.learn("shared", "far")
        assert placement.choose(PROMPT, [near, far]).name == "far"

    def test_what_was_sent_long_ago_is_forgotten(self) -> None:
        clock = ManualClock()
        placement = GenerationPlacement(clock)
        placement.learn("shared", "far")
        clock.advance(10.0)
        places = [
            engine("near", Distance.SAME_ZONE),
            engine("far", Distance.OTHER_REGION),
        ]
        assert placement.choose(PROMPT, places).name == "near"

    def test_prompts_that_wait_to_be_read_send_the_next_one_elsewhere(self) -> None:
        places = [
            engine("near", Distance.SAME_ZONE, unread_tokens=60_000.0),
            engine("far", Distance.OTHER_REGION),
        ]
        placement = GenerationPlacement(ManualClock())
        assert placement.choose(PROMPT, places).name == "far"

    def test_a_full_memory_is_avoided(self) -> None:
        places = [
            engine("near", Distance.SAME_ZONE, held_tokens=390_000.0),
            engine("far", Distance.OTHER_REGION),
        ]
        assert GenerationPlacement(ManualClock()).choose(PROMPT, places).name == "far"


class TestPlainPlacement:
    def test_a_full_endpoint_nearby_gives_way(self) -> None:
        near = Place("near", Distance.SAME_ZONE, 6, 30.0, 0.05)
        far = Place("far", Distance.OTHER_REGION, 6, 0.0, 0.05)
        assert PredictedPlacement().choose(Work(), [near, far]).name == "far"

    def test_a_slow_endpoint_is_avoided_where_the_baseline_takes_it(self) -> None:
        slow = Place("slow", Distance.SAME_ZONE, 6, 0.0, 0.5)
        quick = Place("quick", Distance.SAME_ZONE, 6, 1.0, 0.05)
        assert PredictedPlacement().choose(Work(), [slow, quick]).name == "quick"
        assert LeastLoadedPlacement().choose(Work(), [slow, quick]).name == "slow"


class TestSharedRetryBudget:
    @settings(derandomize=True)
    @given(
        st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200),
        st.integers(1, 8),
    )
    def test_all_nodes_together_stay_within_the_budget(
        self, steps: list[tuple[float, bool]], nodes: int
    ) -> None:
        clock = ManualClock()
        budgets = [
            SharedRetryBudget(0.2, 20.0, 10.0, lambda: nodes, clock)
            for _ in range(nodes)
        ]
        requests: list[float] = []
        repeats: list[float] = []
        for pause_s, is_request in steps:
            clock.advance(pause_s)
            now = clock.monotonic()
            for budget in budgets:
                if is_request:
                    budget.count_request("s")
                    requests.append(now)
                elif budget.take("s"):
                    repeats.append(now)
            recent = [t for t in repeats if now - t <= 10.0]
            # Requests count in the window or in the one before it.
            known = [t for t in requests if now - t <= 20.0]
            assert len(recent) <= 0.2 * len(known) + 20.0

    def test_changed_bounds_hold_at_once_and_keep_the_count(self) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(0.0, 10.0, 10.0, lambda: 1, clock)
        assert [budget.take("s") for _ in range(8)] == [True] * 8
        budget.change(0.0, 5.0, 20.0)
        clock.advance(15.0)
        assert not budget.take("s")
        clock.advance(6.0)
        assert [budget.take("s") for _ in range(5)] == [True] * 4 + [False]


class TestForecast:
    def test_a_second_attempt_is_known_by_its_shorter_deadline(self) -> None:
        patience = CallerPatience()
        assert patience.elapsed_s("r", 8.0) == 0.0
        assert patience.elapsed_s("r", 7.99) == 0.0
        assert patience.elapsed_s("r", 5.0) == 3.0
        assert patience.elapsed_s("other", 5.0) == 0.0

    def test_one_slow_request_does_not_stop_admission(self) -> None:
        correction = ForecastCorrection()
        correction.observe("r", 0.1, 100.0)
        assert correction.factor("r") <= 1.2


class TestHomes:
    """Many nodes that do not tell each other send prompts with shared parts."""

    @staticmethod
    def read_again(has_homes: bool) -> float:
        """Return the part of the shared tokens' reads that were not the first."""
        random = Random(7)
        nodes = [
            GenerationPlacement(ManualClock(), lambda: has_homes) for _ in range(60)
        ]
        names = [f"engine-{number}" for number in range(45)]
        held: set[tuple[str, str]] = set()
        read = again = 0
        for number in range(2_000):
            shared = f"shared-{random.randrange(40)}"
            parts = (PromptPart(shared, 13_300), PromptPart(f"own-{number}", 3_700))
            places = [
                Place(name, Distance.SAME_REGION, 48, random.randrange(12))
                for name in names
            ]
            work = Work(parts=parts)
            node = random.choice(nodes)
            chosen = node.choose(work, places)
            node.placed(work, chosen)
            if (shared, chosen.name) not in held:
                read += 1
                again += any(part == shared for part, _ in held)
                held.add((shared, chosen.name))
        return again / 2_000

    def test_a_shared_part_is_seldom_read_again(self) -> None:
        """One request in twenty may read a part that some engine holds."""
        assert self.read_again(has_homes=True) <= 0.05
        assert self.read_again(has_homes=False) > 0.3

    def test_a_home_that_is_overloaded_is_passed_by(self) -> None:
        work = Work(parts=(PromptPart("shared", 13_300), PromptPart("own", 3_700)))
        placement = GenerationPlacement(ManualClock(), lambda: True)
        idle = [Place(f"e-{n}", Distance.SAME_ZONE, 48, 0) for n in range(9)]
        home = placement.choose(work, idle).name
        loaded = [
            replace(place, load=90) if place.name == home else place for place in idle
        ]
        assert placement.choose(work, loaded).name != home
