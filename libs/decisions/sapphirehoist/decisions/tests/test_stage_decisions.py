"""Tests of batching, placement, retry budget and forecasts under their design load."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    BatchingPolicy,
    CallerTimeouts,
    Distance,
    EarliestStartPolicy,
    ForecastCorrection,
    GenerationPlacement,
    LeastLoadedPlacement,
    NearestStageEndpointPolicy,
    PlacementCandidate,
    PlacementRequest,
    PredictedPlacement,
    PromptPart,
    QueuedPiece,
    SharedRetryBudget,
    SinglePieceBatching,
    StageEndpointCandidate,
    UrgentFirstBatching,
)


def make_pieces(
    count: int, group: int, latest_start_at: float, result_bytes: int = 1
) -> list[QueuedPiece]:
    return [
        QueuedPiece(
            group * 100 + i, group, latest_start_at, 0, result_bytes, is_reserved=True
        )
        for i in range(count)
    ]


class TestPieceBatching:
    def test_call_is_filled_where_baseline_sends_single_pieces(self) -> None:
        waiting = make_pieces(6, 1, 5.0) + make_pieces(6, 2, 4.0)
        assert len(UrgentFirstBatching().select_batch(waiting, 7, 0.0)) == 7
        assert len(SinglePieceBatching().select_batch(waiting, 7, 0.0)) == 1

    def test_pieces_are_ordered_by_latest_start(self) -> None:
        chosen = UrgentFirstBatching().select_batch(
            make_pieces(2, 1, 5.0) + make_pieces(2, 2, 4.0), 2, 0.0
        )
        assert chosen == (200, 201)

    def test_piece_past_its_target_goes_after_others(self) -> None:
        chosen = UrgentFirstBatching().select_batch(
            make_pieces(1, 1, 1.0) + make_pieces(1, 2, 9.0), 1, 2.0
        )
        assert chosen == (200,)

    def test_higher_priority_goes_before_earlier_latest_start(self) -> None:
        urgent = QueuedPiece(1, 1, 9.0, 0, 1, is_reserved=True)
        less_urgent = QueuedPiece(2, 2, 3.0, 1, 1, is_reserved=True)
        assert UrgentFirstBatching().select_batch([less_urgent, urgent], 1, 2.0) == (1,)

    def test_piece_past_its_target_goes_with_next_priority(self) -> None:
        past_target = QueuedPiece(1, 1, 1.0, 0, 1, is_reserved=True)
        next_priority = QueuedPiece(2, 2, 9.0, 1, 1, is_reserved=True)
        last_priority = QueuedPiece(3, 3, 3.0, 2, 1, is_reserved=True)
        chosen = UrgentFirstBatching().select_batch(
            [last_priority, past_target, next_priority], 3, 2.0
        )
        assert chosen == (2, 1, 3)

    def test_committed_request_goes_first(self) -> None:
        committed = QueuedPiece(1, 1, 1.0, 2, 1, is_committed=True, is_reserved=True)
        chosen = UrgentFirstBatching().select_batch(
            [*make_pieces(1, 2, 9.0), committed], 1, 2.0
        )
        assert chosen == (1,)

    def test_group_gets_all_of_its_space_or_none(self) -> None:
        chosen = UrgentFirstBatching().reserve(make_pieces(3, 1, 5.0, 4), 8.0, 0.0)
        assert chosen == ()

    def test_later_groups_do_not_pass_a_large_one_that_waits(self) -> None:
        waiting = make_pieces(3, 1, 4.0, 4) + make_pieces(1, 2, 5.0, 4)
        assert UrgentFirstBatching().reserve(waiting, 8.0, 0.0) == ()

    def test_small_groups_pass_a_large_one_that_waits(self) -> None:
        waiting = make_pieces(3, 1, 4.0, 400) + make_pieces(1, 2, 5.0, 1)
        assert UrgentFirstBatching().reserve(waiting, 800.0, 0.0) == (200,)

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
    def test_reserved_space_never_exceeds_free_space(
        self, groups: list[tuple[int, int, float, bool]], free_bytes: int
    ) -> None:
        waiting = [
            QueuedPiece(g * 100 + i, g, latest_start_at, 0, size, committed)
            for g, (count, size, latest_start_at, committed) in enumerate(groups)
            for i in range(count)
        ]
        chosen = set(UrgentFirstBatching().reserve(waiting, float(free_bytes), 4.0))
        assert (
            sum(p.result_bytes for p in waiting if p.piece_id in chosen) <= free_bytes
        )
        for group in {p.group_id for p in waiting}:
            piece_ids = {p.piece_id for p in waiting if p.group_id == group}
            assert piece_ids <= chosen or not piece_ids & chosen


class TestOverloadedEndpoint:
    """One endpoint whose capacity is exceeded by the load of a less urgent route.

    A request of either route needs 6 pieces. A call computes at most 7 pieces in
    0.28 s and so completes one whole request, which makes 3.6 requests per second.
    """

    CALL_S = 0.28
    URGENT_SLACK_S = 0.8
    LESS_URGENT_SLACK_S = 1.6

    def measure_started_in_time(
        self, policy: BatchingPolicy, urgent_per_s: float, less_urgent_per_s: float
    ) -> tuple[float, float]:
        """Return, for each route, the fraction of requests that start in time."""
        random = Random(5)
        waiting: list[QueuedPiece] = []
        offered, started_in_time = [0, 0], [0, 0]
        group, now = 0, 0.0
        while now < 120.0:
            rates = ((urgent_per_s, self.URGENT_SLACK_S, 0),)
            rates += ((less_urgent_per_s, self.LESS_URGENT_SLACK_S, 1),)
            for rate, slack_s, priority in rates:
                for _ in range(int(rate * self.CALL_S + random.random())):
                    group += 1
                    offered[priority] += 1
                    latest_start_at = now + slack_s
                    waiting += [
                        QueuedPiece(
                            group * 10 + i,
                            group,
                            latest_start_at,
                            priority,
                            is_reserved=True,
                        )
                        for i in range(6)
                    ]
            chosen = set(policy.select_batch(waiting, 7, now))
            for piece in waiting:
                if piece.piece_id in chosen and piece.piece_id % 10 == 5:
                    started_in_time[piece.priority] += piece.latest_start_at >= now
            waiting = [piece for piece in waiting if piece.piece_id not in chosen]
            now += self.CALL_S
        return started_in_time[0] / offered[0], started_in_time[1] / offered[1]

    def test_urgent_route_meets_target_and_other_gets_remaining_capacity(
        self,
    ) -> None:
        urgent_fraction, less_urgent_fraction = self.measure_started_in_time(
            UrgentFirstBatching(), 2.0, 3.0
        )
        assert urgent_fraction >= 0.95
        # Of 3.6 requests per second, the 2 urgent ones leave capacity for 1.6 of 3.
        assert less_urgent_fraction >= 0.9 * 1.6 / 3.0
        assert self.measure_started_in_time(SinglePieceBatching(), 2.0, 3.0)[0] < 0.1


class TestStageEndpoints:
    def test_idle_remote_endpoint_is_preferred_to_busy_local_one(self) -> None:
        near = StageEndpointCandidate("near", Distance.SAME_ZONE, 0.6)
        far = StageEndpointCandidate("far", Distance.OTHER_REGION, 0.0, 50_000)
        assert EarliestStartPolicy().choose([near, far]).name == "far"
        assert NearestStageEndpointPolicy().choose([near, far]).name == "near"

    def test_large_results_stay_in_zone(self) -> None:
        near = StageEndpointCandidate("near", Distance.SAME_ZONE, 0.2)
        far = StageEndpointCandidate("far", Distance.OTHER_REGION, 0.0, 9_000_000)
        assert EarliestStartPolicy().choose([near, far]).name == "near"


def make_engine(name: str, distance: Distance, **options: float) -> PlacementCandidate:
    return PlacementCandidate(
        name,
        distance,
        48,
        options.pop("load", 0.0),
        kv_capacity_tokens=400_000,
        **options,
    )  # type: ignore[arg-type]


PROMPT_REQUEST = PlacementRequest(
    prompt_parts=(PromptPart("shared", 13_000), PromptPart("own", 3_000))
)


class TestGenerationPlacement:
    def test_engine_with_cached_prompt_is_preferred(self) -> None:
        placement = GenerationPlacement(ManualClock())
        near = make_engine("near", Distance.SAME_ZONE)
        far = make_engine("far", Distance.OTHER_REGION)
        assert placement.choose(PROMPT_REQUEST, [near, far]).name == "near"
        placement.record_prompt_part("shared", "far")
        assert placement.choose(PROMPT_REQUEST, [near, far]).name == "far"

    def test_cached_prompt_expires(self) -> None:
        clock = ManualClock()
        placement = GenerationPlacement(clock)
        placement.record_prompt_part("shared", "far")
        clock.advance(10.0)
        engines = [
            make_engine("near", Distance.SAME_ZONE),
            make_engine("far", Distance.OTHER_REGION),
        ]
        assert placement.choose(PROMPT_REQUEST, engines).name == "near"

    def test_engine_with_pending_prefill_is_avoided(self) -> None:
        engines = [
            make_engine("near", Distance.SAME_ZONE, pending_prefill_tokens=60_000.0),
            make_engine("far", Distance.OTHER_REGION),
        ]
        placement = GenerationPlacement(ManualClock())
        assert placement.choose(PROMPT_REQUEST, engines).name == "far"

    def test_engine_with_full_kv_cache_is_avoided(self) -> None:
        engines = [
            make_engine("near", Distance.SAME_ZONE, kv_used_tokens=390_000.0),
            make_engine("far", Distance.OTHER_REGION),
        ]
        assert (
            GenerationPlacement(ManualClock()).choose(PROMPT_REQUEST, engines).name
            == "far"
        )


class TestPredictedPlacement:
    def test_full_local_endpoint_is_avoided(self) -> None:
        near = PlacementCandidate("near", Distance.SAME_ZONE, 6, 30.0, 0.05)
        far = PlacementCandidate("far", Distance.OTHER_REGION, 6, 0.0, 0.05)
        assert (
            PredictedPlacement().choose(PlacementRequest(), [near, far]).name == "far"
        )

    def test_slow_endpoint_is_avoided_where_baseline_chooses_it(self) -> None:
        slow = PlacementCandidate("slow", Distance.SAME_ZONE, 6, 0.0, 0.5)
        fast = PlacementCandidate("quick", Distance.SAME_ZONE, 6, 1.0, 0.05)
        assert (
            PredictedPlacement().choose(PlacementRequest(), [slow, fast]).name
            == "quick"
        )
        assert (
            LeastLoadedPlacement().choose(PlacementRequest(), [slow, fast]).name
            == "slow"
        )


class TestSharedRetryBudget:
    @settings(derandomize=True)
    @given(
        st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200),
        st.integers(1, 8),
    )
    def test_retries_of_all_nodes_stay_within_budget(
        self, steps: list[tuple[float, bool]], node_count: int
    ) -> None:
        clock = ManualClock()
        budgets = [
            SharedRetryBudget(0.2, 20.0, 10.0, lambda: node_count, clock)
            for _ in range(node_count)
        ]
        requests: list[float] = []
        retries: list[float] = []
        for pause_s, is_request in steps:
            clock.advance(pause_s)
            now = clock.monotonic()
            for budget in budgets:
                if is_request:
                    budget.record_request("s")
                    requests.append(now)
                elif budget.try_acquire("s"):
                    retries.append(now)
            recent_retries = [t for t in retries if now - t <= 10.0]
            # A retry in the window may be covered by a request of the preceding window.
            recent_requests = [t for t in requests if now - t <= 20.0]
            assert len(recent_retries) <= 0.2 * len(recent_requests) + 20.0

    def test_changed_limits_apply_immediately_and_keep_counts(self) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(0.0, 10.0, 10.0, lambda: 1, clock)
        assert [budget.try_acquire("s") for _ in range(8)] == [True] * 8
        budget.set_limits(0.0, 5.0, 20.0)
        clock.advance(15.0)
        assert not budget.try_acquire("s")
        clock.advance(6.0)
        assert [budget.try_acquire("s") for _ in range(5)] == [True] * 4 + [False]


class TestForecast:
    def test_retry_is_detected_by_shorter_deadline(self) -> None:
        timeouts = CallerTimeouts()
        assert timeouts.elapsed_s("r", 8.0) == 0.0
        assert timeouts.elapsed_s("r", 7.99) == 0.0
        assert timeouts.elapsed_s("r", 5.0) == 3.0
        assert timeouts.elapsed_s("other", 5.0) == 0.0

    def test_single_slow_request_changes_factor_little(self) -> None:
        correction = ForecastCorrection()
        correction.record_times("r", 0.1, 100.0)
        assert correction.factor("r") <= 1.2


class TestHomeEngines:
    """Nodes send prompts with shared parts without broadcasting them to each other."""

    @staticmethod
    def measure_recomputed_fraction(has_home_engines: bool) -> float:
        """Return the fraction of requests that recompute a part cached elsewhere."""
        random = Random(7)
        nodes = [
            GenerationPlacement(ManualClock(), lambda: has_home_engines)
            for _ in range(60)
        ]
        engine_names = [f"engine-{number}" for number in range(45)]
        cached: set[tuple[str, str]] = set()
        prefills = recomputations = 0
        for number in range(2_000):
            shared_part = f"shared-{random.randrange(40)}"
            parts = (
                PromptPart(shared_part, 13_300),
                PromptPart(f"own-{number}", 3_700),
            )
            engines = [
                PlacementCandidate(name, Distance.SAME_REGION, 48, random.randrange(12))
                for name in engine_names
            ]
            request = PlacementRequest(prompt_parts=parts)
            node = random.choice(nodes)
            chosen = node.choose(request, engines)
            node.record_placement(request, chosen)
            if (shared_part, chosen.name) not in cached:
                prefills += 1
                recomputations += any(part == shared_part for part, _ in cached)
                cached.add((shared_part, chosen.name))
        return recomputations / 2_000

    def test_shared_part_is_rarely_recomputed(self) -> None:
        """At most one request in twenty recomputes a part that an engine has cached."""
        assert self.measure_recomputed_fraction(has_home_engines=True) <= 0.05
        assert self.measure_recomputed_fraction(has_home_engines=False) > 0.3

    def test_overloaded_home_engine_is_avoided(self) -> None:
        request = PlacementRequest(
            prompt_parts=(PromptPart("shared", 13_300), PromptPart("own", 3_700))
        )
        placement = GenerationPlacement(ManualClock(), lambda: True)
        idle = [
            PlacementCandidate(f"e-{n}", Distance.SAME_ZONE, 48, 0) for n in range(9)
        ]
        home_engine = placement.choose(request, idle).name
        loaded = [
            replace(candidate, load=90) if candidate.name == home_engine else candidate
            for candidate in idle
        ]
        assert placement.choose(request, loaded).name != home_engine
