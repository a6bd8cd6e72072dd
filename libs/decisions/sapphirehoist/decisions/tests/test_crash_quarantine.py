"""Which prompt parts are quarantined, and what callers get while engines crash."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    CrashQuarantine,
    EngineCrash,
    QuarantineState,
    request_trait,
)

HISTORY_S = 60.0
SPACING_S = 0.5
REQUEST = request_trait("5c1e")


def crash(number: int) -> EngineCrash:
    return EngineCrash(f"engine-{number}", 1)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def quarantine(clock: ManualClock) -> CrashQuarantine:
    quarantine = CrashQuarantine(clock, Random(1))
    clock.advance(HISTORY_S)
    return quarantine


def crash_under(
    quarantine: CrashQuarantine,
    clock: ManualClock,
    parts: Sequence[str],
    count: int = 3,
    first: int = 0,
) -> None:
    for number in range(first, first + count):
        quarantine.record_crash(crash(number), parts)
        clock.advance(SPACING_S)


class TestConviction:
    def test_two_crashes_are_not_enough(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"], 2)
        assert quarantine.check(["a"]) is None
        crash_under(quarantine, clock, ["a"], 1, first=2)
        assert quarantine.check(["a"]) is not None
        assert quarantine.check(["b"]) is None

    def test_part_that_was_cleared_in_between_is_not_quarantined(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        for number in range(10):
            crash_under(quarantine, clock, ["shared", "own"], 1, first=number)
            quarantine.record_start(["shared"])
        assert [state.trait for state in quarantine.states()] == ["own"]

    def test_reports_of_one_crash_by_several_nodes_count_once(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        for _ in range(9):
            crash_under(quarantine, clock, ["a"], 1)
        assert quarantine.check(["a"]) is None

    def test_echo_of_a_report_does_not_suspect_a_cleared_part_again(
        self, quarantine: CrashQuarantine
    ) -> None:
        quarantine.record_crash(crash(1), ["a"])
        quarantine.record_start(["a"])
        assert quarantine.unreported_traits(crash(1), ["a", "b"]) == ["b"]
        quarantine.record_crash(crash(1), ["a"])
        assert not quarantine.is_suspect("a")

    def test_loss_of_all_engines_at_once_quarantines_nothing(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        for number in range(9):
            quarantine.record_crash(crash(number), ["a"])
            clock.advance(0.01)
        assert quarantine.check(["a"]) is None

    def test_part_that_started_lately_needs_five_crashes(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        quarantine.record_start(["a"])
        crash_under(quarantine, clock, ["a"], 4)
        assert quarantine.check(["a"]) is None
        crash_under(quarantine, clock, ["a"], 1, first=4)
        assert quarantine.check(["a"]) is not None

    def test_node_that_has_just_started_needs_five_crashes(
        self, clock: ManualClock
    ) -> None:
        quarantine = CrashQuarantine(clock, Random(1))
        crash_under(quarantine, clock, ["a"], 4)
        assert quarantine.check(["a"]) is None
        crash_under(quarantine, clock, ["a"], 1, first=4)
        assert quarantine.check(["a"]) is not None

    def test_old_crashes_do_not_count(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        for number in range(6):
            crash_under(quarantine, clock, ["a"], 1, first=number)
            clock.advance(100.0)
            quarantine.remove_expired()
        assert quarantine.check(["a"]) is None

    def test_three_crashes_under_copies_of_a_request_count_though_close_together(
        self, clock: ManualClock
    ) -> None:
        quarantine = CrashQuarantine(clock, Random(1))
        for number in range(3):
            assert quarantine.check(["a", REQUEST]) is None
            quarantine.record_crash(crash(number), ["a", REQUEST])
            clock.advance(0.1)
        hold = quarantine.check(["a", REQUEST])
        assert hold is not None and hold.trait == REQUEST
        assert quarantine.check(["a", request_trait("other")]) is None

    def test_request_that_was_answered_in_between_is_not_quarantined(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        for number in range(10):
            crash_under(quarantine, clock, [REQUEST], 1, first=number)
            quarantine.record_start([REQUEST])
        assert quarantine.check([REQUEST]) is None
        assert quarantine.states() == []


class TestTrials:
    def test_single_trial_at_growing_intervals_while_trials_fail(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"])
        trials = 0
        for _ in range(1200):
            if quarantine.check(["a"]) is None:
                quarantine.begin_trial(["a"])
                assert quarantine.check(["a"]) is not None
                trials += 1
                quarantine.record_crash(crash(100 + trials), ["a"])
            clock.advance(0.1)
        # After 1, 6 and 36 s, and up to a quarter more.
        assert trials == 3

    def test_trial_of_which_no_crash_is_known_does_not_lengthen_the_interval(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"])
        for _ in range(5):
            clock.advance(1.25)
            assert quarantine.check(["a"]) is None
            quarantine.begin_trial(["a"])

    def test_crashes_of_requests_that_were_under_way_do_not_lengthen_the_interval(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"], 8)
        quarantine.begin_trial(["a"])
        clock.advance(1.25)
        assert quarantine.check(["a"]) is None

    def test_start_releases_the_part(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"])
        released = quarantine.record_start(["a"])
        assert [state.is_quarantined for state in released] == [False]
        assert quarantine.check(["a"]) is None
        crash_under(quarantine, clock, ["a"], 2, first=50)
        assert quarantine.check(["a"]) is None

    def test_request_with_two_quarantined_parts_is_no_early_trial(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a", "b"])
        clock.advance(10.0)
        assert quarantine.check(["a", "b"]) is not None
        assert quarantine.check(["b"]) is None
        clock.advance(30.0)
        assert quarantine.check(["a", "b"]) is None

    def test_request_has_two_trials(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, [REQUEST])
        trials = 0
        for _ in range(8_000):
            if quarantine.check([REQUEST]) is None:
                quarantine.begin_trial([REQUEST])
                trials += 1
                quarantine.record_crash(crash(100 + trials), [REQUEST])
            clock.advance(0.1)
            quarantine.remove_expired()
        assert trials == 2

    def test_untested_quarantine_ends(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        crash_under(quarantine, clock, ["a"])
        clock.advance(3600.0)
        released = quarantine.remove_expired()
        assert [state.is_quarantined for state in released] == [False]


class TestReplication:
    def test_few_nodes_begin_a_trial_at_the_same_time(self, clock: ManualClock) -> None:
        random = Random(1)
        nodes = [CrashQuarantine(clock, random) for _ in range(8)]
        for node in nodes:
            node.apply(QuarantineState("a", 1))
        latency_s = 0.02
        in_transit: list[tuple[float, QuarantineState]] = []
        sent = 0
        for _ in range(400):
            clock.advance(0.01)
            arrived = [s for at, s in in_transit if at <= clock.monotonic()]
            for node in nodes:
                for state in arrived:
                    node.apply(state)
                if node.check(["a"]) is None:
                    sent += 1
                    states = node.begin_trial(["a"])
                    states += node.record_crash(crash(sent), ["a"])
                    at = clock.monotonic() + latency_s
                    in_transit += [(at, state) for state in states]
        assert sent <= 3

    def test_nodes_that_exchange_states_agree(
        self, quarantine: CrashQuarantine, clock: ManualClock
    ) -> None:
        other = CrashQuarantine(clock, Random(1))
        crash_under(quarantine, clock, ["a"])
        for state in quarantine.states():
            assert other.apply(state)
            assert not other.apply(state)
        assert other.check(["a"]) is not None
        for state in other.record_start(["a"]):
            assert quarantine.apply(state)
        assert quarantine.check(["a"]) is None
        assert quarantine.states() == other.states()

    def test_older_state_is_ignored(self, quarantine: CrashQuarantine) -> None:
        quarantine.apply(QuarantineState("a", 2))
        assert not quarantine.apply(QuarantineState("a", 1, 9, 9))
        assert quarantine.check(["a"]) is None


class _Engines:
    """Engines that crash under one part and start again after some seconds."""

    def __init__(self, clock: ManualClock, count: int, restart_s: float) -> None:
        self._clock = clock
        self._up_at = [0.0] * count
        self._restart_s = restart_s
        self.crash_count = 0

    def crash(self, index: int) -> EngineCrash:
        self.crash_count += 1
        self._up_at[index] = self._clock.monotonic() + self._restart_s
        return EngineCrash(f"engine-{index}", self.crash_count)

    def running(self) -> list[int]:
        now = self._clock.monotonic()
        return [index for index, up_at in enumerate(self._up_at) if up_at <= now]


def play(seed: int, is_quarantine_used: bool) -> tuple[float, int]:
    """Return the fraction of sound requests that are served, and the crashes.

    At nine engines arrive 20 sound requests and one crashing request a second. A crash
    also loses the sound requests that the engine was sent in the last 0.3 s.
    """
    random, clock = Random(seed), ManualClock()
    quarantine, engines = CrashQuarantine(clock, Random(1)), _Engines(clock, 9, 4.0)
    clock.advance(HISTORY_S)
    end_at = clock.monotonic() + 30.0
    sent: list[tuple[float, int, list[str]]] = []
    served = lost = refused = 0
    while clock.monotonic() < end_at:
        clock.advance(random.expovariate(21.0))
        while sent and sent[0][0] <= clock.monotonic() - 0.3:
            quarantine.record_start(sent.pop(0)[2])
            served += 1
        is_crashing = random.random() < 1 / 21
        subject = "bad" if is_crashing else f"subject-{random.randrange(20)}"
        parts = ["shared", subject]
        running = engines.running()
        if is_quarantine_used and quarantine.check(parts) is not None:
            refused += not is_crashing
            continue
        if not running:
            refused += not is_crashing
            continue
        quarantine.begin_trial(parts)
        index = random.choice(running)
        if not is_crashing:
            sent.append((clock.monotonic(), index, parts))
            continue
        lost_parts = [p for at, i, ps in sent if i == index for p in ps]
        lost += sum(i == index for at, i, ps in sent)
        sent = [request for request in sent if request[1] != index]
        quarantine.record_crash(engines.crash(index), [*parts, *lost_parts])
    return served / (served + lost + refused), engines.crash_count


class TestLoadWithACrashingPart:
    @pytest.mark.parametrize("seed", range(10))
    def test_few_engines_crash_and_sound_requests_are_served(self, seed: int) -> None:
        served_before, crashes_before = play(seed, is_quarantine_used=False)
        served, crashes = play(seed, is_quarantine_used=True)
        # Five crashes until the part has to be known, and three after that.
        assert crashes <= 8 < crashes_before
        assert served > max(served_before, 0.95)


def play_copies(seed: int, is_quarantine_used: bool) -> tuple[float, int]:
    """Return the fraction of sound requests that are served, and the crashes.

    At three endpoints arrive 9 sound requests a second, and three copies of a request
    under which they crash after 0.1 s. A lost request is sent to one more endpoint. A
    crash also loses the sound requests of the last 0.02 s.
    """
    random, clock = Random(seed), ManualClock()
    quarantine, engines = CrashQuarantine(clock, Random(1)), _Engines(clock, 3, 4.0)
    end_at = clock.monotonic() + 40.0
    served = lost = copies = 0

    def is_allowed(trait: str) -> bool:
        return not is_quarantine_used or quarantine.check([trait]) is None

    while clock.monotonic() < end_at:
        clock.advance(random.expovariate(12.0))
        running = engines.running()
        if random.random() < 0.75:
            trait = request_trait(f"sound {random.random()}")
            if running and is_allowed(trait):
                quarantine.record_start([trait])
                served += 1
            else:
                lost += 1
            continue
        copies += 1
        tried: set[int] = set()
        while len(tried) < 2 and set(running) - tried and is_allowed(REQUEST):
            quarantine.begin_trial([REQUEST])
            index = random.choice(sorted(set(running) - tried))
            tried.add(index)
            clock.advance(0.1)
            bystanders = [request_trait(f"lost {random.random()}")] * (
                random.random() < 0.18
            )
            lost += len(bystanders)
            quarantine.record_crash(engines.crash(index), [REQUEST, *bystanders])
    assert copies > 50
    return served / (served + lost), engines.crash_count


class TestLoadWithARepeatedRequest:
    @pytest.mark.parametrize("seed", range(10))
    def test_few_endpoints_crash_and_sound_requests_are_served(self, seed: int) -> None:
        served_before, crashes_before = play_copies(seed, is_quarantine_used=False)
        served, crashes = play_copies(seed, is_quarantine_used=True)
        # Three crashes until the request has to be known, and three after that.
        assert crashes <= 6 < crashes_before
        assert served > served_before
