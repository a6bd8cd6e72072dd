"""Choice among endpoints whose predicted times are known to a node only roughly.

It is designed for large fleets, in which each node sends about one request per second
and hears from one endpoint only every 20 to 60 s. If all nodes chose the best
prediction, they would all choose the endpoint that was fast when they last heard of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphirehoist.decisions.placement import PlacementCandidate

# Part of the expected time of a request by which predictions may differ and still count
# as equal: a caller gains nothing from a response far before its latency target.
_TOLERANCE_FRACTION = 0.4
# Endpoints drawn at random, of which the least loaded one is chosen. With two, the
# longest queue is far shorter than with one, and stale loads attract no crowd.
_DRAWN_COUNT = 2
# Work that has stayed near moves further away only for a gain above the cost of the
# distance by this fraction of it, and comes back once the gain is below the cost.
_HYSTERESIS_FRACTION = 0.25
# Multiple of the expected time from which work moves for less waiting: a little above
# half of the latency target. Below it, callers gain nothing, but bytes cross regions.
_MOVED_FROM_MULTIPLE = 2.2
# Gain at which half of the requests move to a larger distance. All VMs of a zone see
# its queues; if all of them moved at once, they would queue where they move to.
_MOVED_GAIN_S = 0.1


@dataclass(frozen=True, slots=True)
class ScoredCandidate:
    """A candidate with its prediction.

    Attributes
    ----------
    candidate : PlacementCandidate
        The endpoint.
    cost_s : float
        Predicted time with all costs, including that of the distance, in seconds.
    distance_cost_s : float
        Cost of the distance alone, in seconds.
    remote_bytes : int
        Bytes of the request's inputs that the endpoint reads from other zones.
    uncached_tokens : int
        Tokens of the prompt that the endpoint has to process.
    """

    candidate: PlacementCandidate
    cost_s: float
    distance_cost_s: float
    remote_bytes: int = 0
    uncached_tokens: int = 0


class SpreadChoice:
    """Chooses among nearly equal candidates at random, the fast ones more often.

    Work moves to a larger distance only if it gains more than the distance costs. Two
    endpoints are drawn from those as near as the best one that need no more tokens
    than it, with a probability that is proportional to their capacity; the one with
    the lower load per capacity is chosen.

    Parameters
    ----------
    random : Random
        Draws the endpoints.
    """

    __slots__ = ("_distances", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        # Distance at which the last request of each service was placed.
        self._distances: dict[str, int] = {}

    def choose(
        self, service: str, expected_s: float, scored: Sequence[ScoredCandidate]
    ) -> ScoredCandidate:
        """Return one of the candidates in `scored`, which is not empty."""
        best = self._best(service, expected_s, scored)
        limit_s = best.cost_s + _TOLERANCE_FRACTION * expected_s
        equal = [
            entry
            for entry in scored
            if entry.candidate.distance == best.candidate.distance
            and entry.cost_s <= limit_s
            and entry.uncached_tokens <= best.uncached_tokens
        ]
        if len(equal) == 1:
            return equal[0]
        weights = [_capacity(entry.candidate) for entry in equal]
        drawn = self._random.choices(equal, weights, k=_DRAWN_COUNT)
        return min(
            drawn,
            key=lambda entry: (
                (entry.candidate.load + 1) / _capacity(entry.candidate),
                entry.candidate.name,
            ),
        )

    def _best(
        self, service: str, expected_s: float, scored: Sequence[ScoredCandidate]
    ) -> ScoredCandidate:
        """Return the best candidate after the hysteresis between distances."""
        last_distance = self._distances.get(service, 0)
        nearest_cost_s = min(entry.distance_cost_s for entry in scored)

        def cost_s(entry: ScoredCandidate) -> float:
            if entry.candidate.distance <= last_distance:
                return entry.cost_s
            extra_s = entry.distance_cost_s - nearest_cost_s
            return entry.cost_s + _HYSTERESIS_FRACTION * extra_s

        best = min(scored, key=lambda entry: (cost_s(entry), entry.candidate.name))
        nearest = min(
            (e for e in scored if e.distance_cost_s == nearest_cost_s),
            key=lambda entry: (entry.cost_s, entry.candidate.name),
        )
        self._distances[service] = best.candidate.distance
        gain_s = nearest.cost_s - best.cost_s
        is_in_time = nearest.cost_s < _MOVED_FROM_MULTIPLE * expected_s
        # Cached prompt parts and stage results attract a request whatever the queues.
        is_attracted = (
            best.uncached_tokens < nearest.uncached_tokens
            or best.remote_bytes < nearest.remote_bytes
        )
        if is_attracted or (
            not is_in_time and self._random.random() * (gain_s + _MOVED_GAIN_S) < gain_s
        ):
            return best
        return nearest


def _capacity(candidate: PlacementCandidate) -> float:
    """Return the work that an endpoint completes per time, relative to others."""
    return candidate.slots / (candidate.work_time_factor * candidate.slowdown)
