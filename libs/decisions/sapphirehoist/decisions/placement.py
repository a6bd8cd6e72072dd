"""Which endpoint of a pool takes a request, by predicted time to its answer.

Load it answers: pools over several availability zones and regions, some endpoints
slower or fuller than others, prompts that share long prefixes.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.subset import rendezvous_score

# Round trips, plus what bytes across the link cost in terms of time.
_SAME_ZONE_S = 0.001
_SAME_REGION_S = 0.010
_OTHER_REGION_S = 0.120
# Prompt tokens that an engine reads in a second.
_PREFILL_TOKENS_PER_S = 93_000.0
# Each running generation makes a step slower by about this part.
_BATCH_SLOWDOWN = 0.01
# From the first token's turn to the first event.
_FIRST_EVENT_S = 0.1
# Time that a request waits for each one queued before it.
_QUEUED_S = 0.15
# Reading a shared part again costs money beside time.
_SECONDS_PER_TOKEN_AGAIN = 20e-6
# What results cost on a link between zones, in terms of time.
_SECONDS_PER_REMOTE_BYTE = 0.1e-6
# An engine preempts when its memory is full; it is avoided well before.
_MEMORY_KNEE = 0.75
_MEMORY_PENALTY_S = 4.0
_REMEMBERED_PREFIXES = 4_096
# Engines under load keep a part that is not used for about this long.
_PREFIX_KEPT_S = 8.0


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
        Estimated tokens of all nodes' generations there.
    unread_tokens : float
        Estimated prompt tokens that wait to be read there.
    memory_tokens : int
        Memory of a model engine; 0 for other endpoints.
    zone : str
        Its availability zone.
    """

    name: str
    distance: Distance
    slots: int
    load: float
    work_s: float = 0.0
    held_tokens: float = 0.0
    unread_tokens: float = 0.0
    memory_tokens: int = 0
    zone: str = ""


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
    input_bytes : dict of str to int
        Size of the results that the request needs, by availability zone.
    """

    expected_s: float = 0.05
    parts: tuple[PromptPart, ...] = ()
    input_bytes: dict[str, int] = field(default_factory=dict)


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
    """The least predicted time to the first token, with shared prompts and memory.

    An engine that was sent a part lately, by this node or by one that told of it,
    counts as holding it. Where nodes do not tell each other, so does the part's home,
    an engine that all nodes agree on.

    Parameters
    ----------
    clock : Clock
        Ages what is remembered of prompts.
    has_homes : callable
        Returns whether parts have homes.

    Examples
    --------
    Two nodes that know nothing of each other choose the same engine.

    >>> from sapphirehoist.clock import ManualClock
    >>> places = [Place(f"engine-{n}", Distance.SAME_ZONE, 48, 0) for n in range(9)]
    >>> work = Work(parts=(PromptPart("shared", 13_300), PromptPart("own", 3_700)))
    >>> nodes = [GenerationPlacement(ManualClock(), lambda: True) for _ in range(2)]
    >>> len({node.choose(work, places).name for node in nodes})
    1
    """

    __slots__ = ("_clock", "_has_homes", "_sent")

    def __init__(
        self, clock: Clock, has_homes: Callable[[], bool] = lambda: False
    ) -> None:
        self._clock = clock
        self._has_homes = has_homes
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def choose(self, work: Work, places: Sequence[Place]) -> Place:
        """Return the place with the least predicted time to the first token."""
        known = {part.name for part in work.parts if self._is_anywhere(part, places)}
        homes: dict[str, str] = {}
        if self._has_homes():
            # The last part belongs to one request or session.
            homes = {p.name: _home(p.name, places) for p in work.parts[:-1]}
            known |= homes.keys()
        return min(
            places,
            key=lambda place: (
                self._first_token_s(work, place, known, homes),
                place.name,
            ),
        )

    def placed(self, work: Work, place: Place) -> None:
        """Remember that the parts of the prompt are at `place` now."""
        for part in work.parts:
            self.learn(part.name, place.name)

    def learn(self, part: str, endpoint: str) -> None:
        """Remember that `endpoint` was sent `part` just now."""
        self._sent[(part, endpoint)] = self._clock.monotonic()
        self._sent.move_to_end((part, endpoint))
        while len(self._sent) > _REMEMBERED_PREFIXES:
            self._sent.popitem(last=False)

    def unread_tokens(
        self, work: Work, endpoint: str, homes: Mapping[str, str] | None = None
    ) -> int:
        """Return the tokens of the prompt that `endpoint` has to read.

        `homes` names an engine for each part that counts as holding it.
        """
        unread = 0
        is_held = True
        for part in work.parts:
            is_home = homes is not None and homes.get(part.name) == endpoint
            is_held = is_held and (is_home or self._is_remembered(part, endpoint))
            unread += 0 if is_held else part.tokens
        return unread

    def _first_token_s(
        self, work: Work, place: Place, known: set[str], homes: Mapping[str, str]
    ) -> float:
        unread = self.unread_tokens(work, place.name, homes)
        shared = sum(part.tokens for part in work.parts if part.name in known)
        whole = sum(part.tokens for part in work.parts)
        again = max(0, unread - (whole - shared))
        read_s = (unread + place.unread_tokens) / _PREFILL_TOKENS_PER_S
        queued_s = max(0.0, place.load + 1 - place.slots) * _QUEUED_S
        slowdown = 1.0 + _BATCH_SLOWDOWN * min(place.load, place.slots)
        remote = sum(n for zone, n in work.input_bytes.items() if zone != place.zone)
        return (
            _DISTANCE_S[place.distance]
            + (read_s + _FIRST_EVENT_S) * slowdown
            + queued_s
            + again * _SECONDS_PER_TOKEN_AGAIN
            + remote * _SECONDS_PER_REMOTE_BYTE
            + _memory_s(work, place)
        )

    def _is_anywhere(self, part: PromptPart, places: Sequence[Place]) -> bool:
        return any(self._is_remembered(part, place.name) for place in places)

    def _is_remembered(self, part: PromptPart, endpoint: str) -> bool:
        sent = self._sent.get((part.name, endpoint))
        return sent is not None and self._clock.monotonic() - sent < _PREFIX_KEPT_S


def _home(part: str, places: Sequence[Place]) -> str:
    """Return the engine that every node takes as the holder of `part`."""
    return max(places, key=lambda place: rendezvous_score(part, place.name)).name


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
