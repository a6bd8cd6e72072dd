"""A seeded open-loop load and what became of it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.testing import Answer, Caller

TEAM_PARTS = {"north": 0.5, "south": 0.2, "east": 0.15, "west": 0.1, "tiny": 0.05}
TARGET_MS = {"quick": 1200, "long": 4000}
_QUICK_PART = 0.7
_QUICK_TOKENS = (8, 24)
_LONG_TOKENS_LEAST = 40
_LONG_TOKENS_MOST = 160
_LONG_SHAPE = 1.8


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load: when, whose, which class, how long an answer."""

    at_s: float
    team: str
    work: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Ended:
    """How one request ended."""

    arrival: Arrival
    status: int
    seconds: float

    @property
    def is_met(self) -> bool:
        """Return whether the whole answer came within the class's target."""
        return self.status == 200 and self.seconds * 1000 <= TARGET_MS[self.work]

    @property
    def work(self) -> str:
        """Return the class of work."""
        return self.arrival.work

    @property
    def is_refused(self) -> bool:
        """Return whether the request was refused as not run."""
        return self.status in (429, 503)


def make_load(
    seed: int,
    seconds: float,
    rate: Callable[[float], float],
    parts: dict[str, float] | None = None,
) -> list[Arrival]:
    """Return Poisson arrivals at ``rate(t)`` requests a second.

    Parameters
    ----------
    seed : int
        Seeds every choice.
    seconds : float
        Length of the load.
    rate : callable
        Rate at a time.
    parts : dict of str to float, optional
        Each team's part of the requests.
    """
    random = Random(seed)
    chosen = parts or TEAM_PARTS
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += random.expovariate(rate(at_s))
        if at_s >= seconds:
            return arrivals
        team = random.choices(list(chosen), list(chosen.values()))[0]
        if random.random() < _QUICK_PART:
            arrivals.append(
                Arrival(at_s, team, "quick", random.randint(*_QUICK_TOKENS))
            )
        else:
            tokens = int(_LONG_TOKENS_LEAST * random.paretovariate(_LONG_SHAPE))
            tokens = min(tokens, _LONG_TOKENS_MOST)
            arrivals.append(Arrival(at_s, team, "long", tokens))


def mean_tokens() -> float:
    """Return the mean tokens of a request, by a long draw of the same load."""
    drawn = make_load(0, 500.0, lambda at_s: 20.0)
    return sum(arrival.tokens for arrival in drawn) / len(drawn)


def run_load(arrivals: Sequence[Arrival], entries: Sequence[str]) -> list[Ended]:
    """Submit every request at its time, whatever became of the others."""
    callers = [
        {team: Caller(url, f"token-of-{team}") for team in TEAM_PARTS}
        for url in entries
    ]
    ended: list[Ended] = []
    started = time.monotonic()

    def submit(number: int, arrival: Arrival) -> None:
        caller = callers[number % len(callers)][arrival.team]
        text = f"request {number} tokens={arrival.tokens}"
        sent = time.monotonic()
        answer: Answer = caller.submit(
            arrival.work, text, expected_bytes=arrival.tokens * 8
        )
        ended.append(Ended(arrival, answer.status, time.monotonic() - sent))

    tasks = []
    for number, arrival in enumerate(arrivals):
        gevent.sleep(max(0.0, started + arrival.at_s - time.monotonic()))
        tasks.append(gevent.spawn(submit, number, arrival))
    gevent.joinall(tasks)
    return ended
