"""Division of a stage endpoint's time among classes and teams, at its owner.

It is designed for bursts of one class of two to three times the capacity, in which a
few of many teams ask for most of the work. While the capacity covers the demand, no
team is limited.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import log

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.team_shares import max_min_shares

# Bursts last 5 to 7 s; demand has to be recognised well within that time.
_HALF_LIFE_S = 2.0
# A constant rate of work has this ratio to its decaying sum.
_WINDOW_S = _HALF_LIFE_S / log(2.0)
_DIVISION_INTERVAL_S = 0.25
_MIN_DEMAND_S = 1e-4
# Fraction of the capacity that a class gets however much is asked for by more urgent
# ones, so that no class is starved.
_MIN_CLASS_FRACTION = 0.1


@dataclass(slots=True)
class _Work:
    """Decaying sums of demanded and admitted work, in seconds of the endpoint."""

    demanded_s: float = 0.0
    admitted_s: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / _HALF_LIFE_S)
        self.demanded_s *= factor
        self.admitted_s *= factor
        self.updated_at = now


class FleetShares:
    """Shares of classes and teams at one endpoint, over the requests of all VMs.

    More urgent classes are served first, except that each class keeps a small fraction.
    Within a class, teams get weighted max-min fair shares of what is left for it.

    Parameters
    ----------
    clock : Clock
        Monotonic time, by which past work decays.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> shares = FleetShares(ManualClock())
    >>> for _ in range(60):
    ...     shares.record_demand("large", 0, 0.1)
    >>> shares.record_demand("small", 0, 0.1)
    >>> shares.granted_fraction("large", 0, 1.0) < 0.5
    True
    >>> shares.granted_fraction("small", 0, 1.0)
    1.0
    """

    __slots__ = ("_clock", "_divided_at", "_fractions", "_weights", "_work")

    def __init__(self, clock: Clock, weights: Mapping[str, float] | None = None):
        self._clock = clock
        self._weights = weights or {}
        self._work: dict[tuple[int, str], _Work] = {}
        self._fractions: dict[tuple[int, str], float] = {}
        self._divided_at = float("-inf")

    def record_demand(self, team: str, priority: int, work_s: float) -> None:
        """Add work that is asked for, whether or not it is admitted."""
        self._decayed(team, priority).demanded_s += work_s

    def record_admitted(self, team: str, priority: int, work_s: float) -> None:
        """Add work that is admitted; a negative value takes it back."""
        self._decayed(team, priority).admitted_s += work_s

    def admitted_load(self, priority: int) -> float:
        """Return the fraction of time admitted lately to classes up to `priority`."""
        now = self._clock.monotonic()
        total_s = 0.0
        for (work_priority, _), work in self._work.items():
            if work_priority <= priority:
                work.decay(now)
                total_s += work.admitted_s
        return max(0.0, total_s / _WINDOW_S)

    def is_below_class_minimum(self, priority: int, capacity: float) -> bool:
        """Return whether a class was admitted less than the minimum of each class."""
        own_load = self.admitted_load(priority) - self.admitted_load(priority - 1)
        return own_load < _MIN_CLASS_FRACTION * capacity

    def granted_fraction(self, team: str, priority: int, capacity: float) -> float:
        """Return the share of a team divided by its demand, at most 1.

        `capacity` is the fraction of time in which the endpoint can compute; it is
        below 1 if space for results is scarcer than time.
        """
        now = self._clock.monotonic()
        if now - self._divided_at >= _DIVISION_INTERVAL_S:
            self._divided_at = now
            self._divide(capacity * _WINDOW_S, now)
        return self._fractions.get((priority, team), 1.0)

    def _divide(self, capacity_s: float, now: float) -> None:
        for work in self._work.values():
            work.decay(now)
        self._work = {
            key: work
            for key, work in self._work.items()
            if work.demanded_s > _MIN_DEMAND_S
        }
        self._fractions = {}
        remaining_s = capacity_s
        for priority in sorted({priority for priority, _ in self._work}):
            demands = {
                team: work.demanded_s
                for (work_priority, team), work in self._work.items()
                if work_priority == priority
            }
            class_capacity_s = max(remaining_s, _MIN_CLASS_FRACTION * capacity_s)
            remaining_s -= sum(demands.values())
            if len(demands) < 2:
                # A single team competes with no other, so it is not limited.
                continue
            for team, share_s in max_min_shares(
                demands, self._weights, class_capacity_s
            ).items():
                if share_s < demands[team]:
                    self._fractions[priority, team] = share_s / demands[team]

    def _decayed(self, team: str, priority: int) -> _Work:
        now = self._clock.monotonic()
        work = self._work.get((priority, team))
        if work is None:
            work = self._work[priority, team] = _Work(updated_at=now)
        work.decay(now)
        return work
