"""Requests that arrive at a node which is about to end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pytest

from sapphirehoist.decisions import ResponseTimes

# Requests are taken for the first part of the stop; the process ends at END_S.
TAKEN_S = 3.0
END_S = 7.0
# Responses of a kind take this much longer or shorter.
SPREAD = 0.2
MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives after SIGTERM, and the time that its response takes."""

    route: str
    at: float
    duration_s: float
    typical_s: float
    size: int
    is_repeatable: bool

    @property
    def is_answered(self) -> bool:
        """Return whether its response ends before the process."""
        return self.at + self.duration_s <= END_S

    @property
    def is_surely_answered(self) -> bool:
        """Return whether any response of its kind would."""
        return self.at + self.typical_s * (1 + SPREAD) + MARGIN_S <= END_S


Decision = Callable[[Arrival], bool]


def accept_all(arrival: Arrival) -> bool:
    """Take every request: the baseline."""
    return True


def draw(random: Random, at: float) -> Arrival:
    route, second_s, is_repeatable = random.choice(
        [
            ("look-up", 0.2, True),
            ("report", 5.0, True),
            ("booking", 2.0, False),
            ("order", 4.5, False),
            ("stream", 0.01, True),
            ("speech", 0.01, False),
        ]
    )
    is_stream = route in ("stream", "speech")
    size = random.choice([40, 300, 600]) if is_stream else 0
    typical_s = second_s * (size or 1)
    duration_s = typical_s * random.uniform(1 - SPREAD, 1 + SPREAD)
    return Arrival(route, at, duration_s, typical_s, size, is_repeatable)


def play(decide: Decision, arrivals: list[Arrival]) -> Counter[str]:
    """Count what callers get, and the requests that are refused in vain."""
    results: Counter[str] = Counter()
    for arrival in arrivals:
        if not decide(arrival):
            results["refused"] += 1
            results["refused in vain"] += arrival.is_surely_answered
        else:
            results["answered" if arrival.is_answered else "cut"] += 1
    return results


@pytest.fixture(params=range(5))
def random(request: pytest.FixtureRequest) -> Random:
    return Random(request.param)


@pytest.fixture
def late(random: Random) -> list[Arrival]:
    return [draw(random, random.uniform(0.0, TAKEN_S)) for _ in range(400)]


def after_load(random: Random) -> Decision:
    """Return the decision of a node that has served all kinds of requests."""
    times = ResponseTimes()
    for _ in range(2000):
        served = draw(random, 0.0)
        times.record(served.route, "s", served.duration_s, served.size)
    return lambda arrival: times.is_in_time(
        arrival.route, "s", END_S - arrival.at, arrival.size, arrival.is_repeatable
    )


def test_accepting_all_cuts_requests_off(late: list[Arrival]) -> None:
    assert play(accept_all, late)["cut"] > 0


def test_late_requests_are_answered_or_refused(
    random: Random, late: list[Arrival]
) -> None:
    """Guards against requests that the end of the process cuts off."""
    results = play(after_load(random), late)
    assert results["cut"] == 0
    assert results["answered"] > results["refused"] > 0


def test_requests_that_end_in_time_are_served(
    random: Random, late: list[Arrival]
) -> None:
    """Guards against a stop that turns away what it could serve."""
    assert play(after_load(random), late)["refused in vain"] == 0


def test_unknown_request_is_taken_only_if_it_may_be_repeated() -> None:
    """Guards against a booking that is taken though it cannot surely be answered."""
    times = ResponseTimes()
    for count in range(8):
        assert not times.is_in_time("r", "s", 6.0)
        assert times.is_in_time("r", "s", 6.0, is_repeatable=True)
        assert times.is_in_time("r", "s", 0.5, is_repeatable=True) == (count == 0)
        times.record("r", "s", 1.0)
    assert times.is_in_time("r", "s", 6.0)


def test_response_of_an_unknown_size_counts_as_the_longest() -> None:
    """Guards against a long stream that is taken because short ones ended in time."""
    times = ResponseTimes()
    for _ in range(8):
        times.record("r", "s", 0.4, size=40)
    times.record("r", "s", 6.0, size=600)
    assert times.is_in_time("r", "s", 1.0, size=40)
    assert not times.is_in_time("r", "s", 1.0, size=200)
    assert not times.is_in_time("r", "s", 5.0, size=600)


def test_recent_responses_replace_older_ones() -> None:
    """Guards against a slow hour that lets a node refuse requests for ever."""
    times = ResponseTimes()
    times.record("r", "s", 9.0)
    for _ in range(256):
        times.record("r", "s", 1.0)
    assert times.is_in_time("r", "s", 2.0)
