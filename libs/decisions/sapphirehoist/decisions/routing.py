"""Policies that choose the endpoint for an attempt of a call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from sapphirehoist.decisions.subset import rendezvous_score

_SAMPLE_SIZE = 3
_MAX_AFFINITY_SLOWDOWN = 1.25


@dataclass(frozen=True, slots=True)
class RoutingCandidate:
    """An endpoint that is eligible for the attempt.

    Attributes
    ----------
    name, region : str
        Name and region of the endpoint.
    is_local : bool
        Whether the endpoint is in this node's region.
    capacity : int
        Number of calls that the endpoint runs concurrently without queueing.
    load : float
        Estimated number of calls of all nodes at the endpoint.
    in_flight : int
        Calls of this node in progress at the endpoint.
    seconds_per_unit : float
        Smoothed time for one unit of work, in seconds; 0 if unknown.
    """

    name: str
    region: str
    is_local: bool
    capacity: int
    load: float
    in_flight: int
    seconds_per_unit: float

    def predicted_s(self, units: float, preceding_fraction: float = 1.0) -> float:
        """Return the predicted time of a call, including queueing.

        Parameters
        ----------
        units : float
            Work of the call, in work units.
        preceding_fraction : float
            Fraction of the load that is served before the call, in 0 to 1.

        Returns
        -------
        float
            Predicted time in seconds.
        """
        queueing_factor = max(
            1.0, (self.load * preceding_fraction + 1.0) / self.capacity
        )
        return self.seconds_per_unit * units * queueing_factor

    @property
    def has_capacity(self) -> bool:
        """Return whether a call would start without queueing."""
        return self.load + 1.0 <= self.capacity


@dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """Requirements of an attempt.

    Attributes
    ----------
    units : float
        Expected work, in work units.
    slack_s : float
        Time in seconds within which the stage must finish for the request to meet the
        target of its class of work.
    prefix : str
        Key of a shared prefix, or empty. Requests with the same key run faster on the
        same endpoint.
    """

    units: float = 1.0
    slack_s: float = 1.0
    prefix: str = ""


class RoutingPolicy(ABC):
    """Chooses one of the candidates from state that is local to this node."""

    @abstractmethod
    def choose(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        """Return one of `candidates`, which is not empty."""


class RandomRouting(RoutingPolicy):
    """Baseline: chooses a candidate uniformly at random."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        """Return a random candidate."""
        return self._random.choice(candidates)


class RoundRobinRouting(RoutingPolicy):
    """Baseline: chooses the candidates in turn."""

    __slots__ = ("_choice_count",)

    def __init__(self) -> None:
        self._choice_count = 0

    def choose(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        """Return the next candidate in the order of names."""
        self._choice_count += 1
        ordered = sorted(candidates, key=lambda candidate: candidate.name)
        return ordered[self._choice_count % len(ordered)]


class LeastInFlightRouting(RoutingPolicy):
    """Baseline: chooses the candidate with the fewest calls of this node."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        """Return a candidate with the fewest calls; ties are broken at random."""
        min_in_flight = min(candidate.in_flight for candidate in candidates)
        least_busy = [c for c in candidates if c.in_flight == min_in_flight]
        return self._random.choice(least_busy)


class LatencyTargetRouting(RoutingPolicy):
    """Prefers the local region, a short predicted time and prefix affinity.

    The predicted times of a small random sample are compared, which prevents nodes with
    the same outdated load reports from all choosing the same endpoint. Another region
    is used only if the local prediction exceeds the slack and the remote one does not.
    """

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        """Return the best local candidate, or a remote one if only that meets slack."""
        local = [c for c in candidates if c.is_local]
        if not local:
            return self._choose_by_prediction(requirements, candidates)
        best_local = self._choose_by_prediction(requirements, local)
        if best_local.predicted_s(requirements.units) <= requirements.slack_s:
            return best_local
        remote = [c for c in candidates if not c.is_local]
        if not remote:
            return best_local
        best_remote = self._choose_by_prediction(requirements, remote)
        if best_remote.predicted_s(requirements.units) <= requirements.slack_s:
            return best_remote
        return best_local

    def _choose_by_prediction(
        self, requirements: AttemptRequirements, candidates: Sequence[RoutingCandidate]
    ) -> RoutingCandidate:
        sampled = self._random.sample(candidates, min(_SAMPLE_SIZE, len(candidates)))
        best = min(
            sampled,
            key=lambda c: (c.predicted_s(requirements.units), c.load / c.capacity),
        )
        if not requirements.prefix:
            return best
        affinity_candidate = max(
            candidates, key=lambda c: rendezvous_score(requirements.prefix, c.name)
        )
        max_affinity_s = _MAX_AFFINITY_SLOWDOWN * best.predicted_s(requirements.units)
        if (
            affinity_candidate.has_capacity
            and affinity_candidate.predicted_s(requirements.units) <= max_affinity_s
        ):
            return affinity_candidate
        return best
