"""Fixed speed of the engines of a pool, learned from the streams that they generate.

It is designed for pools whose engines differ in speed, in fleets in which one node
hears from an engine only once in a minute. The gaps between the events of one stream
show the speed of its engine, whatever the prompt: the lower quartile leaves out gaps in
which the engine read another prompt or was slowed down for a moment. Nodes publish an
estimate only where it differs from what all nodes know, so that a known pool costs no
messages.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

# A shorter stream does not show the speed of its engine.
_MIN_GAPS = 6
# Streams whose pace is within this factor of the known one confirm it.
_CONFIRMED_FACTOR = 1.2
# Weight of the known pace, as a number of streams, when a stream deviates.
_MAX_WEIGHT = 4
# The speed of an engine is fixed, so that a few streams decide. Without a limit,
# streams under load and in idle times contradicted each other: 887 estimates in one day
# of 30 engines, with other home engines after each.
_MAX_REVISIONS = 6
# An engine that was slowed down when its stream began does not show its fixed speed.
_MAX_SLOWDOWN = 1.15
# Factors that are closer to 1 are noise.
_MAX_FAST_FACTOR = 0.85
_MIN_SLOW_FACTOR = 1.15
_FACTOR_LIMITS = (0.4, 2.5)
# With fewer known engines there is nothing to compare with.
_MIN_KNOWN_ENGINES = 3


@dataclass(frozen=True, slots=True)
class PaceState:
    """Pace of one incarnation of an engine, which all nodes replicate.

    Attributes
    ----------
    endpoint : str
        Name of the engine.
    incarnation : int
        Start time of the engine in milliseconds.
    revision : int
        Number of estimates so far; the highest one holds.
    gap_s : float
        Typical time between two events of a stream, in seconds.
    """

    endpoint: str
    incarnation: int
    revision: int
    gap_s: float

    def precedence(self) -> tuple[int, int, float]:
        """Return the key by which states of an engine override each other."""
        return (self.incarnation, self.revision, -self.gap_s)


class EnginePaces:
    """Estimates how much longer each engine takes than the median of its pool.

    Examples
    --------
    >>> paces = EnginePaces()
    >>> for name, gap_s in {"a": 0.02, "b": 0.02, "c": 0.034, "d": 0.012}.items():
    ...     state = paces.record_stream(name, 1, [gap_s] * 8)
    >>> factors = paces.factors(["a", "b", "c", "d"])
    >>> {name: round(factor, 1) for name, factor in factors.items()}
    {'c': 1.7, 'd': 0.6}
    """

    __slots__ = ("_factors", "_states")

    def __init__(self) -> None:
        self._states: dict[str, PaceState] = {}
        # By the names of the engines of a pool; cleared with each change.
        self._factors: dict[tuple[str, ...], dict[str, float]] = {}

    def record_stream(
        self,
        endpoint: str,
        incarnation: int,
        gaps_s: Sequence[float],
        slowdown: float = 1.0,
    ) -> PaceState | None:
        """Record the gaps between the events of one stream.

        Parameters
        ----------
        endpoint, incarnation : str, int
            The engine that generated the stream.
        gaps_s : sequence of float
            Times between consecutive events, in seconds.
        slowdown : float
            Factor by which the engine stated to be slowed down when the stream began.

        Returns
        -------
        PaceState or None
            New estimate, to be published to the other nodes; None if nothing changed.
        """
        if len(gaps_s) < _MIN_GAPS or slowdown > _MAX_SLOWDOWN:
            return None
        gap_s = sorted(gaps_s)[len(gaps_s) // 4]
        if gap_s <= 0.0:
            return None
        known = self._states.get(endpoint)
        revision = 1
        if known is not None and known.incarnation > incarnation:
            return None
        if known is not None and known.incarnation == incarnation:
            if 1 / _CONFIRMED_FACTOR < gap_s / known.gap_s < _CONFIRMED_FACTOR:
                return None
            if known.revision >= _MAX_REVISIONS:
                return None
            weight = min(known.revision, _MAX_WEIGHT)
            gap_s = (known.gap_s * weight + gap_s) / (weight + 1)
            revision = known.revision + 1
        state = PaceState(endpoint, incarnation, revision, gap_s)
        self._change(state)
        return state

    def apply(self, state: PaceState) -> bool:
        """Apply the estimate of another node; return whether it was new."""
        known = self._states.get(state.endpoint)
        if known is not None and state.precedence() <= known.precedence():
            return False
        self._change(state)
        return True

    def factors(self, pool: Iterable[str]) -> Mapping[str, float]:
        """Return the time that each engine takes for the work of a typical one.

        Engines of unknown pace, and those that hardly differ from the median of
        `pool`, are left out: their factor is 1.
        """
        names = tuple(pool)
        if names not in self._factors:
            self._factors[names] = self._compute_factors(names)
        return self._factors[names]

    def states(self) -> list[PaceState]:
        """Return the estimates of all engines."""
        return list(self._states.values())

    def discard(self, endpoint: str) -> None:
        """Discard the estimate of an engine that is gone."""
        if self._states.pop(endpoint, None) is not None:
            self._factors.clear()

    def _change(self, state: PaceState) -> None:
        self._states[state.endpoint] = state
        self._factors.clear()

    def _compute_factors(self, pool: tuple[str, ...]) -> dict[str, float]:
        gaps_s = {
            name: self._states[name].gap_s for name in pool if name in self._states
        }
        if len(gaps_s) < _MIN_KNOWN_ENGINES:
            return {}
        median_s = median(gaps_s.values())
        lowest, highest = _FACTOR_LIMITS
        return {
            name: min(max(gap_s / median_s, lowest), highest)
            for name, gap_s in gaps_s.items()
            if not _MAX_FAST_FACTOR < gap_s / median_s < _MIN_SLOW_FACTOR
        }
