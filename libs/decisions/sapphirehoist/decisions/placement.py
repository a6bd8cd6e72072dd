"""Policies that choose the endpoint of a pool for a request by predicted time.

They are designed for pools that span several availability zones and regions, with
endpoints of different speed and load, and for prompts that share long prefixes.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from math import log2

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.placement_choice import ScoredCandidate, SpreadChoice
from sapphirehoist.decisions.prefill_speed import PrefillSpeed
from sapphirehoist.decisions.subset import (
    rendezvous_score,
    weighted_rendezvous_score,
)

# Round-trip time plus the cost of the bytes on the link, expressed as time.
_SAME_ZONE_COST_S = 0.001
_SAME_REGION_COST_S = 0.010
_OTHER_REGION_COST_S = 0.120
# Each running generation lengthens a decoding step by about this fraction.
_SLOWDOWN_PER_GENERATION = 0.01
# Waiting time for each request that is ahead in the queue.
_WAIT_PER_QUEUED_REQUEST_S = 0.15
# A cold endpoint counts as if one more request were ahead, which is more than any
# distance costs: warm endpoints with free capacity come first.
_COLD_COST_S = 0.15
# Recomputing a shared part costs money in addition to time; expressed as time.
_COST_S_PER_RECOMPUTED_TOKEN = 20e-6
# Cost of result bytes on a link between zones, expressed as time.
_COST_S_PER_REMOTE_BYTE = 0.1e-6
# An engine preempts generations when its KV cache is full, so the penalty starts early.
_KV_PENALTY_THRESHOLD_FRACTION = 0.75
_KV_PENALTY_SLOPE_S = 4.0
# Rounding of paces, so that estimates that differ by less than a fifth are the same.
_PACES_PER_OCTAVE = 2
_MAX_TRACKED_PARTS = 4_096
# Engines under load evict a cached part after about this long without use.
_CACHED_PART_RETENTION_S = 8.0


class Distance(IntEnum):
    """Network distance from this node to an endpoint."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


def zone_distance(zone: str, other: str, regions: Mapping[str, str]) -> Distance:
    """Return the distance between two availability zones.

    Parameters
    ----------
    zone, other : str
        The availability zones.
    regions : mapping of str to str
        Region of each availability zone.

    Examples
    --------
    >>> zone_distance("a-1", "a-2", {"a-1": "a", "a-2": "a"}).name
    'SAME_REGION'
    """
    if zone == other:
        return Distance.SAME_ZONE
    if regions.get(zone, zone) == regions.get(other, other):
        return Distance.SAME_REGION
    return Distance.OTHER_REGION


_DISTANCE_COST_S = {
    Distance.SAME_ZONE: _SAME_ZONE_COST_S,
    Distance.SAME_REGION: _SAME_REGION_COST_S,
    Distance.OTHER_REGION: _OTHER_REGION_COST_S,
}


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """An endpoint that is eligible for the request.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    distance : Distance
        Network distance from this node.
    slots : int
        Number of requests that the endpoint runs concurrently.
    load : float
        Estimated number of requests of all nodes at the endpoint.
    unloaded_s : float
        Estimated time of a request without queueing, in seconds; 0 if unknown.
    kv_used_tokens : float
        Estimated tokens that the generations of all nodes hold in the KV cache.
    pending_prefill_tokens : float
        Estimated prompt tokens that wait for prefill.
    kv_capacity_tokens : int
        KV cache capacity of a model engine, in tokens; 0 for other endpoints.
    zone : str
        Availability zone of the endpoint.
    is_cold : bool
        Whether the endpoint is warming up.
    work_time_factor : float
        Ratio of the time of work at the endpoint to that at a usual one of its pool,
        without present slowdowns.
    slowdown : float
        Factor by which work takes longer at present than it normally does there.
    wait_s : float
        Recent wait behind requests of others at the endpoints of the same zone.
    uncached_tokens : int
        Tokens of the prompt that the chosen engine has to process; 0 if not known.
    """

    name: str
    distance: Distance
    slots: int
    load: float
    unloaded_s: float = 0.0
    kv_used_tokens: float = 0.0
    pending_prefill_tokens: float = 0.0
    kv_capacity_tokens: int = 0
    zone: str = ""
    is_cold: bool = False
    work_time_factor: float = 1.0
    slowdown: float = 1.0
    wait_s: float = 0.0
    uncached_tokens: int = 0

    @property
    def generations_factor(self) -> float:
        """Return the factor by which running generations lengthen work."""
        return 1.0 + _SLOWDOWN_PER_GENERATION * min(self.load, self.slots)


def distance_cost_s(candidate: PlacementCandidate) -> float:
    """Return the cost of the distance to `candidate`, expressed as time."""
    return _DISTANCE_COST_S[candidate.distance]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One of the consecutive parts of a prompt; requests may share leading parts."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that affect its placement.

    Attributes
    ----------
    expected_s : float
        Expected time of the request at an endpoint of unknown speed, in seconds.
    prompt_parts : tuple of PromptPart
        Prompt of a generation, in order; empty for other requests.
    input_bytes : dict of str to int
        Size in bytes of the results that the request reads, by availability zone.
    service : str
        Service of the endpoints.
    """

    expected_s: float = 0.05
    prompt_parts: tuple[PromptPart, ...] = ()
    input_bytes: dict[str, int] = field(default_factory=dict)
    service: str = ""


class PlacementPolicy(ABC):
    """Chooses the endpoint for a request."""

    @abstractmethod
    def choose(
        self, request: PlacementRequest, candidates: Sequence[PlacementCandidate]
    ) -> PlacementCandidate:
        """Return one of `candidates`, which is not empty."""

    def record_placement(  # noqa: B027
        self, request: PlacementRequest, candidate: PlacementCandidate
    ) -> None:
        """Record that the request was sent to `candidate`."""


class LeastLoadedPlacement(PlacementPolicy):
    """Baseline: chooses the endpoint with the lowest load per slot."""

    __slots__ = ()

    def choose(
        self, request: PlacementRequest, candidates: Sequence[PlacementCandidate]
    ) -> PlacementCandidate:
        """Return the candidate with the lowest load per slot."""
        return min(
            candidates,
            key=lambda candidate: (candidate.load / candidate.slots, candidate.name),
        )


class PredictedPlacement(PlacementPolicy):
    """Chooses the shortest predicted time, including distance and queueing.

    Parameters
    ----------
    get_spread_choice : callable
        Returns what chooses among nearly equal predictions; None for the shortest one,
        which is right for few nodes that hear from each endpoint often.

    Examples
    --------
    >>> near = PlacementCandidate("near", Distance.SAME_ZONE, 6, 2.0)
    >>> far = PlacementCandidate("far", Distance.OTHER_REGION, 6, 0.0)
    >>> PredictedPlacement().choose(PlacementRequest(), [far, near]).name
    'near'
    """

    __slots__ = ("_get_spread_choice",)

    def __init__(
        self, get_spread_choice: Callable[[], SpreadChoice | None] = lambda: None
    ) -> None:
        self._get_spread_choice = get_spread_choice

    def choose(
        self, request: PlacementRequest, candidates: Sequence[PlacementCandidate]
    ) -> PlacementCandidate:
        """Return the candidate with the shortest predicted time."""
        spread_choice = self._get_spread_choice()
        if spread_choice is not None and _state_slowdowns(candidates):
            scored = [
                ScoredCandidate(
                    c,
                    _predicted_s(request, c),
                    distance_cost_s(c),
                )
                for c in candidates
            ]
            return spread_choice.choose(
                request.service, request.expected_s, scored
            ).candidate
        return min(
            candidates,
            key=lambda candidate: (_predicted_s(request, candidate), candidate.name),
        )


class GenerationPlacement(PlacementPolicy):
    """Chooses the shortest predicted time to the first token.

    The prediction accounts for the prompt parts that an engine has cached and for the
    use of its KV cache. An engine counts as caching a part if this node, or another
    node that broadcast it, sent it the part recently. If nodes do not broadcast prompts
    to each other, the home engine of a part, which all nodes derive by rendezvous
    hashing, counts too.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time, by which records of sent prompts expire.
    has_home_engines : callable
        Returns whether parts have home engines.
    prefill_speed : PrefillSpeed or None
        Speed of the engines of each pool; None if none is learnt.
    get_spread_choice : callable
        See `PredictedPlacement`.

    Examples
    --------
    Two nodes that exchange no information choose the same engine.

    >>> from sapphirehoist.clock import ManualClock
    >>> engines = [
    ...     PlacementCandidate(f"engine-{n}", Distance.SAME_ZONE, 48, 0)
    ...     for n in range(9)
    ... ]
    >>> parts = (PromptPart("shared", 13_300), PromptPart("own", 3_700))
    >>> request = PlacementRequest(prompt_parts=parts)
    >>> nodes = [GenerationPlacement(ManualClock(), lambda: True) for _ in range(2)]
    >>> len({node.choose(request, engines).name for node in nodes})
    1
    """

    __slots__ = (
        "_clock",
        "_get_spread_choice",
        "_has_home_engines",
        "_prefill_speed",
        "_sent_at",
    )

    def __init__(
        self,
        clock: Clock,
        has_home_engines: Callable[[], bool] = lambda: False,
        prefill_speed: PrefillSpeed | None = None,
        get_spread_choice: Callable[[], SpreadChoice | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._has_home_engines = has_home_engines
        self._prefill_speed = prefill_speed or PrefillSpeed()
        self._get_spread_choice = get_spread_choice
        self._sent_at: OrderedDict[tuple[str, str], float] = OrderedDict()

    def choose(
        self, request: PlacementRequest, candidates: Sequence[PlacementCandidate]
    ) -> PlacementCandidate:
        """Return the candidate with the shortest predicted time to the first token."""
        parts_cached_anywhere = {
            part.name
            for part in request.prompt_parts
            if self._is_cached_anywhere(part, candidates)
        }
        # Predictions for engines of steady speed do not change from one moment to the
        # next, and prompts stay where their parts are cached.
        spread_choice = (
            self._get_spread_choice() if _state_slowdowns(candidates) else None
        )
        home_engines = self.home_engines(request, candidates)
        parts_cached_anywhere |= home_engines.keys()
        scored = [
            ScoredCandidate(
                candidate,
                self._predicted_first_token_s(
                    request, candidate, parts_cached_anywhere, home_engines
                )
                + (candidate.wait_s if spread_choice is not None else 0.0),
                distance_cost_s(candidate),
                _remote_bytes(request, candidate),
                self.uncached_tokens(request, candidate.name, home_engines),
            )
            for candidate in candidates
        ]
        best = (
            min(scored, key=lambda entry: (entry.cost_s, entry.candidate.name))
            if spread_choice is None
            else spread_choice.choose(request.service, request.expected_s, scored)
        )
        return replace(best.candidate, uncached_tokens=best.uncached_tokens)

    def home_engines(
        self, request: PlacementRequest, candidates: Sequence[PlacementCandidate]
    ) -> dict[str, str]:
        """Return the home engine of each part of the prompt that has one."""
        if not self._has_home_engines():
            return {}
        # The last part is specific to one request or session, so it has no home.
        return {
            part.name: _home_engine(part.name, candidates)
            for part in request.prompt_parts[:-1]
        }

    def record_placement(
        self, request: PlacementRequest, candidate: PlacementCandidate
    ) -> None:
        """Record that `candidate` was sent the parts of the prompt."""
        for part in request.prompt_parts:
            self.record_prompt_part(part.name, candidate.name)

    def record_prompt_part(self, part: str, endpoint: str) -> None:
        """Record that `endpoint` was sent the prompt part `part` now."""
        self._sent_at[(part, endpoint)] = self._clock.monotonic()
        self._sent_at.move_to_end((part, endpoint))
        while len(self._sent_at) > _MAX_TRACKED_PARTS:
            self._sent_at.popitem(last=False)

    def uncached_tokens(
        self,
        request: PlacementRequest,
        endpoint: str,
        home_engines: Mapping[str, str] | None = None,
    ) -> int:
        """Return the tokens of the prompt that `endpoint` has not cached.

        Parameters
        ----------
        request : PlacementRequest
            The request with its prompt.
        endpoint : str
            Name of the endpoint.
        home_engines : mapping of str to str, optional
            Home engine of each part, which counts as caching it.

        Returns
        -------
        int
            Number of tokens that need prefill.
        """
        uncached_tokens = 0
        is_cached = True
        for part in request.prompt_parts:
            is_home = (
                home_engines is not None and home_engines.get(part.name) == endpoint
            )
            is_cached = is_cached and (is_home or self._is_cached(part, endpoint))
            uncached_tokens += 0 if is_cached else part.tokens
        return uncached_tokens

    def _predicted_first_token_s(
        self,
        request: PlacementRequest,
        candidate: PlacementCandidate,
        parts_cached_anywhere: set[str],
        home_engines: Mapping[str, str],
    ) -> float:
        uncached_tokens = self.uncached_tokens(request, candidate.name, home_engines)
        tokens_cached_anywhere = sum(
            part.tokens
            for part in request.prompt_parts
            if part.name in parts_cached_anywhere
        )
        prompt_tokens = sum(part.tokens for part in request.prompt_parts)
        recomputed_tokens = max(
            0, uncached_tokens - (prompt_tokens - tokens_cached_anywhere)
        )
        first_event_s = self._prefill_speed.expected_s(
            request.service, uncached_tokens + candidate.pending_prefill_tokens
        )
        time_factor = (
            candidate.generations_factor
            * candidate.work_time_factor
            * candidate.slowdown
        )
        return (
            distance_cost_s(candidate)
            + first_event_s * time_factor
            + _generation_queue_s(candidate)
            + recomputed_tokens * _COST_S_PER_RECOMPUTED_TOKEN
            + _remote_bytes(request, candidate) * _COST_S_PER_REMOTE_BYTE
            + _kv_penalty_s(request, candidate)
            + _cold_cost_s(candidate)
        )

    def _is_cached_anywhere(
        self, part: PromptPart, candidates: Sequence[PlacementCandidate]
    ) -> bool:
        return any(self._is_cached(part, candidate.name) for candidate in candidates)

    def _is_cached(self, part: PromptPart, endpoint: str) -> bool:
        sent_at = self._sent_at.get((part.name, endpoint))
        return (
            sent_at is not None
            and self._clock.monotonic() - sent_at < _CACHED_PART_RETENTION_S
        )


def _home_engine(part: str, candidates: Sequence[PlacementCandidate]) -> str:
    """Return the home engine of `part`, which is the same on every node.

    An engine is the home of a number of parts in proportion to its speed (weighted
    rendezvous hashing). Speeds are rounded, so that nodes with slightly different
    estimates agree and a part rarely changes its home.
    """
    if all(candidate.work_time_factor == 1.0 for candidate in candidates):
        return max(
            candidates, key=lambda candidate: rendezvous_score(part, candidate.name)
        ).name
    return max(
        candidates,
        key=lambda candidate: weighted_rendezvous_score(
            part, candidate.name, 1.0 / _rounded_pace(candidate.work_time_factor)
        ),
    ).name


def _rounded_pace(factor: float) -> float:
    """Return the nearest of a few paces that are far apart."""
    return 2.0 ** (round(_PACES_PER_OCTAVE * log2(factor)) / _PACES_PER_OCTAVE)


def _predicted_s(request: PlacementRequest, candidate: PlacementCandidate) -> float:
    work_s = (candidate.unloaded_s or request.expected_s) * candidate.slowdown
    return (
        distance_cost_s(candidate)
        + work_s
        + _queue_s(request, candidate)
        + _cold_cost_s(candidate)
    )


def _cold_cost_s(candidate: PlacementCandidate) -> float:
    return _COLD_COST_S if candidate.is_cold else 0.0


def _state_slowdowns(candidates: Sequence[PlacementCandidate]) -> bool:
    """Return whether some endpoint has stated that it is slowed down at times."""
    return any(candidate.slowdown != 1.0 for candidate in candidates)


def _remote_bytes(request: PlacementRequest, candidate: PlacementCandidate) -> int:
    return sum(n for zone, n in request.input_bytes.items() if zone != candidate.zone)


def _queue_s(request: PlacementRequest, candidate: PlacementCandidate) -> float:
    work_s = (candidate.unloaded_s or request.expected_s) * candidate.slowdown
    return work_s * max(0.0, (candidate.load + 1) / candidate.slots - 1.0)


def _generation_queue_s(candidate: PlacementCandidate) -> float:
    queued = max(0.0, candidate.load + 1 - candidate.slots)
    return queued * _WAIT_PER_QUEUED_REQUEST_S * candidate.work_time_factor


def _kv_penalty_s(request: PlacementRequest, candidate: PlacementCandidate) -> float:
    """Return a penalty in seconds that grows with KV cache use above the threshold."""
    if not candidate.kv_capacity_tokens:
        return 0.0
    prompt_tokens = sum(part.tokens for part in request.prompt_parts)
    used_fraction = (
        candidate.kv_used_tokens + prompt_tokens
    ) / candidate.kv_capacity_tokens
    return (
        max(0.0, used_fraction - _KV_PENALTY_THRESHOLD_FRACTION) * _KV_PENALTY_SLOPE_S
    )
