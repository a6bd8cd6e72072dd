"""A seeded open-loop load generator and the results of its requests."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.testing import Caller, Response

TEAM_FRACTIONS = {"north": 0.5, "south": 0.2, "east": 0.15, "west": 0.1, "tiny": 0.05}
TARGET_MS = {"quick": 1200, "long": 4000}
_QUICK_FRACTION = 0.7
_QUICK_TOKENS = (8, 24)
_MIN_LONG_TOKENS = 40
_MAX_LONG_TOKENS = 160
_LONG_TOKENS_PARETO_SHAPE = 1.8


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load.

    Attributes
    ----------
    at_s : float
        Time since the start of the load, in seconds.
    team, class_name : str
        Team and class of work.
    tokens : int
        Number of tokens in the answer.
    """

    at_s: float
    team: str
    class_name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """HTTP status and elapsed time in seconds of one request."""

    arrival: Arrival
    status: int
    elapsed_s: float

    @property
    def is_target_met(self) -> bool:
        """Return whether the complete answer arrived within the target of its class."""
        return (
            self.status == 200 and self.elapsed_s * 1000 <= TARGET_MS[self.class_name]
        )

    @property
    def class_name(self) -> str:
        """Return the class of work of the request."""
        return self.arrival.class_name

    @property
    def is_refused(self) -> bool:
        """Return whether the request was refused without being run."""
        return self.status in (429, 503)


def make_load(
    seed: int,
    duration_s: float,
    rate_at: Callable[[float], float],
    team_fractions: dict[str, float] | None = None,
) -> list[Arrival]:
    """Return Poisson arrivals at ``rate_at(t)`` requests per second.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    duration_s : float
        Duration of the load, in seconds.
    rate_at : callable
        Returns the rate in requests per second at a time in seconds.
    team_fractions : dict of str to float, optional
        Fraction of the requests of each team; `TEAM_FRACTIONS` by default.

    Returns
    -------
    list of Arrival
        Arrivals in order of time.
    """
    random = Random(seed)
    fractions = team_fractions or TEAM_FRACTIONS
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += random.expovariate(rate_at(at_s))
        if at_s >= duration_s:
            return arrivals
        team = random.choices(list(fractions), list(fractions.values()))[0]
        if random.random() < _QUICK_FRACTION:
            arrivals.append(
                Arrival(at_s, team, "quick", random.randint(*_QUICK_TOKENS))
            )
        else:
            tokens = int(
                _MIN_LONG_TOKENS * random.paretovariate(_LONG_TOKENS_PARETO_SHAPE)
            )
            tokens = min(tokens, _MAX_LONG_TOKENS)
            arrivals.append(Arrival(at_s, team, "long", tokens))


def mean_tokens() -> float:
    """Return the mean number of tokens of a request, from a large sample."""
    sample = make_load(0, 500.0, lambda at_s: 20.0)
    return sum(arrival.tokens for arrival in sample) / len(sample)


def run_load(
    arrivals: Sequence[Arrival], entry_urls: Sequence[str]
) -> list[CompletedRequest]:
    """Submit every request at its arrival time, regardless of earlier requests."""
    callers = [
        {team: Caller(url, f"token-of-{team}") for team in TEAM_FRACTIONS}
        for url in entry_urls
    ]
    completed: list[CompletedRequest] = []
    started_at = time.monotonic()

    def submit(number: int, arrival: Arrival) -> None:
        caller = callers[number % len(callers)][arrival.team]
        text = f"request {number} tokens={arrival.tokens}"
        sent_at = time.monotonic()
        response: Response = caller.submit(
            arrival.class_name, text, expected_bytes=arrival.tokens * 8
        )
        completed.append(
            CompletedRequest(arrival, response.status, time.monotonic() - sent_at)
        )

    tasks = []
    for number, arrival in enumerate(arrivals):
        gevent.sleep(max(0.0, started_at + arrival.at_s - time.monotonic()))
        tasks.append(gevent.spawn(submit, number, arrival))
    gevent.joinall(tasks)
    return completed
