"""Which endpoint an attempt goes to."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from sapphirehoist.decisions.subset import rendezvous_score

_CHOICES = 3
_AFFINITY_SLACK = 1.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take the attempt.

    Attributes
    ----------
    name, region : str
        The endpoint and its region.
    is_local : bool
        Whether it is in this node's region.
    capacity : int
        Calls that it runs at once without queueing.
    load : float
        Estimated calls from all nodes.
    in_flight : int
        This node's own calls.
    seconds_per_unit : float
        Smoothed time for one unit of work; 0 where nothing is known.
    """

    name: str
    region: str
    is_local: bool
    capacity: int
    load: float
    in_flight: int
    seconds_per_unit: float

    def predicted_s(self, units: float, urgent_share: float = 1.0) -> float:
        """Return the predicted time of a call of `units` of work, with queueing.

        `urgent_share` is the part of the load that is served before the call.
        """
        rounds = max(1.0, (self.load * urgent_share + 1.0) / self.capacity)
        return self.seconds_per_unit * units * rounds

    @property
    def has_room(self) -> bool:
        """Return whether a call would run at once."""
        return self.load + 1.0 <= self.capacity


@dataclass(frozen=True, slots=True)
class Route:
    """What the attempt needs.

    Attributes
    ----------
    units : float
        Expected work.
    slack_s : float
        What the stage may take so that the class still meets its target.
    prefix : str
        Requests with the same prefix gain from the same endpoint; empty for none.
    """

    units: float = 1.0
    slack_s: float = 1.0
    prefix: str = ""


class RoutingPolicy(ABC):
    """Chooses one of the candidates; sees only this node's knowledge."""

    @abstractmethod
    def choose(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of `candidates`, of which there is at least one."""


class RandomRouting(RoutingPolicy):
    """Baseline: any candidate, with equal chance."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate."""
        return self._random.choice(candidates)


class RoundRobinRouting(RoutingPolicy):
    """Baseline: candidates in turn."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate by name."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda candidate: candidate.name)
        return ordered[self._turn % len(ordered)]


class LeastInFlightRouting(RoutingPolicy):
    """Baseline: the candidate with the fewest of this node's own calls."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        """Return a candidate with the fewest calls, ties broken at random."""
        fewest = min(candidate.in_flight for candidate in candidates)
        least = [c for c in candidates if c.in_flight == fewest]
        return self._random.choice(least)


class TargetRouting(RoutingPolicy):
    """Local first, by predicted time among a few at random, with prefix affinity.

    A few random candidates keep nodes with the same old reports from all choosing the
    same endpoint. Another region is used only where the local prediction exceeds the
    slack and the other region's does not.
    """

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the best prediction that the target affords."""
        local = [c for c in candidates if c.is_local]
        if not local:
            return self._choose_among(route, candidates)
        chosen = self._choose_among(route, local)
        if chosen.predicted_s(route.units) <= route.slack_s:
            return chosen
        remote = [c for c in candidates if not c.is_local]
        if not remote:
            return chosen
        other = self._choose_among(route, remote)
        if other.predicted_s(route.units) <= route.slack_s:
            return other
        return chosen

    def _choose_among(self, route: Route, candidates: Sequence[Candidate]) -> Candidate:
        few = self._random.sample(candidates, min(_CHOICES, len(candidates)))
        best = min(few, key=lambda c: (c.predicted_s(route.units), c.load / c.capacity))
        if not route.prefix:
            return best
        favourite = max(
            candidates, key=lambda c: rendezvous_score(route.prefix, c.name)
        )
        bound_s = _AFFINITY_SLACK * best.predicted_s(route.units)
        if favourite.has_room and favourite.predicted_s(route.units) <= bound_s:
            return favourite
        return best
