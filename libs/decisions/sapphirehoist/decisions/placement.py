"""Which endpoint of a pool takes a request, by predicted time to its answer.

Load it answers: pools over several availability zones and regions, some endpoints
slower or fuller than others, prompts that share long prefixes.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.subset import rendezvous_score

# Round trips, plus what bytes across the link cost in terms of time.
_SAME_ZONE_S = 0.001
_SAME_REGION_S = 0.010
_OTHER_REGION_S = 0.120
# Prompt tokens that an engine reads in a second.
_PREFILL_TOKENS_PER_S = 93_000.0
# Each running generation makes the others slower by about this part.
_BATCH_SLOWDOWN = 0.02
# Time that a request waits for each one queued before it.
_QUEUED_S = 0.15
# An engine preempts when its memory is full; it is avoided well before.
_MEMORY_KNEE = 0.75
_MEMORY_PENALTY_S = 4.0
_REMEMBERED_PREFIXES = 2_048
_PREFIX_KEPT_S = 60.0


class Distance(IntEnum):
    """How far an endpoint is."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


_DISTANCE_S = {
    Distance.SAME_ZONE: _SAME_ZONE_S,
    Distance.SAME_REGION: _SAME_REGION_S,
    Distance.OTHER_REGION: _OTHER_REGION_S,
}


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint that may take the request.

    Attributes
    ----------
    name : str
        The endpoint.
    distance : Distance
        From this node.
    slots : int
        Requests that run at once.
    load : float
        Estimated requests of all nodes there.
    work_s : float
        Learned time of a request without queueing; 0 where unknown.
    held_tokens : float
        Tokens of this node's generations there, times the nodes that likely share it.
    memory_tokens : int
        Memory of a model engine; 0 for other endpoints.
    """

    name: str
    distance: Distance
    slots: int
    load: float
    work_s: float = 0.0
    held_tokens: float = 0.0
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share; parts are in order."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """What is known of the request.

    Attributes
    ----------
    expected_s : float
        Time of a request at an endpoint that nothing is known of.
    parts : tuple of PromptPart
        The prompt of a generation.
    """

    expected_s: float = 0.05
    parts: tuple[PromptPart, ...] = ()


class PlacementPolicy(ABC):
    """Chooses an endpoint."""

    @abstractmethod
    def choose(self, work: Work, places: Sequence[Place]) -> Place:
        """Return one of `places`, of which there is at least one."""

    def placed(self, work: Work, place: Place) -> None:  # noqa: B027
        """Learn that the request was sent to `place`."""


class LeastLoadedPlacement(PlacementPolicy):
    """Baseline: the endpoint with the least load for its slots."""

    __slots__ = ()

    def choose(self, work: Work, places: Sequence[Place]) -> Place:
        """Return the least loaded place."""
        return min(places, key=lambda place: (place.load / place.slots, place.name))


class PredictedPlacement(PlacementPolicy):
    """The least predicted time, with distance and queueing.

    Examples
    --------
    >>> near = Place("near", Distance.SAME_ZONE, 6, 2.0)
    >>> far = Place("far", Distance.OTHER_REGION, 6, 0.0)
    >>> PredictedPlacement().choose(Work(), [far, near]).name
    'near'
    """

    __slots__ = ()

    def choose(self, work: Work, places: Sequence[Place]) -> Place:
        """Return the place with the least predicted time."""
        return min(places, key=lambda place: (_predicted_s(work, place), place.name))


class GenerationPlacement(PlacementPolicy):
    """The least predicted time to the first token, with shared prefixes and memory.

    Nodes agree on an engine for a prefix without talking, by rendezvous among the
    engines that are equally near; an engine that was sent the prefix lately counts as
    holding it as well.

    Parameters
    ----------
    clock : Clock
        Ages what is remembered of prefixes.
    """

    __slots__ = ("_clock", "_sent")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def choose(self, work: Work, places: Sequence[Place]) -> Place:
        """Return the place with the least predicted time to the first token."""
        nearest = min(place.distance for place in places)
        near = [place for place in places if place.distance == nearest]
        key = work.parts[0].name if work.parts else ""
        favourite = max(near, key=lambda place: rendezvous_score(key, place.name))
        return min(
            places,
            key=lambda place: (
                self._first_token_s(work, place, place is favourite),
                place.name,
            ),
        )

    def placed(self, work: Work, place: Place) -> None:
        """Remember that the parts of the prompt are at `place` now."""
        now = self._clock.monotonic()
        for part in work.parts:
            self._sent[(part.name, place.name)] = now
            self._sent.move_to_end((part.name, place.name))
        while len(self._sent) > _REMEMBERED_PREFIXES:
            self._sent.popitem(last=False)

    def _first_token_s(self, work: Work, place: Place, is_favourite: bool) -> float:
        uncached = 0
        is_cached = True
        for index, part in enumerate(work.parts):
            is_cached = is_cached and (
                self._is_remembered(part, place) or (is_favourite and index == 0)
            )
            uncached += 0 if is_cached else part.tokens
        prefill_s = uncached / _PREFILL_TOKENS_PER_S
        running = min(place.load, place.slots)
        queued = max(0.0, place.load + 1 - place.slots)
        busy_s = (0.1 + prefill_s) * _BATCH_SLOWDOWN * running + queued * _QUEUED_S
        return _DISTANCE_S[place.distance] + prefill_s + busy_s + _memory_s(work, place)

    def _is_remembered(self, part: PromptPart, place: Place) -> bool:
        sent = self._sent.get((part.name, place.name))
        return sent is not None and self._clock.monotonic() - sent < _PREFIX_KEPT_S


def _predicted_s(work: Work, place: Place) -> float:
    work_s = place.work_s or work.expected_s
    rounds = max(1.0, (place.load + 1) / place.slots)
    return _DISTANCE_S[place.distance] + work_s * rounds


def _memory_s(work: Work, place: Place) -> float:
    """Return a penalty that grows once the engine's memory is nearly full."""
    if not place.memory_tokens:
        return 0.0
    tokens = sum(part.tokens for part in work.parts)
    fill = (place.held_tokens + tokens) / place.memory_tokens
    return max(0.0, fill - _MEMORY_KNEE) * _MEMORY_PENALTY_S
