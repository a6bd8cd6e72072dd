"""Weighted max-min fair shares of this node's capacity among teams.

The capacity is estimated from the recent peak of the admitted work. Capacity that a
team does not use is available to the others. A team is over its share only if it
demands more than its weighted max-min fair share of the capacity; no team is limited
while the capacity covers the demand of all.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sapphirehoist.clock import Clock

_WORK_HALF_LIFE_S = 2.0
_MIN_DEMAND = 1e-3
_CAPACITY_HEADROOM_FACTOR = 1.1
_PEAK_HALF_LIFE_S = 20.0
_DIVISION_INTERVAL_S = 0.25


def max_min_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide `capacity` among teams by weighted max-min fairness.

    Parameters
    ----------
    demands, weights : mapping of str to float
        Demand and weight (entitlement) of each team; a missing weight is 1.
    capacity : float
        Capacity to divide, in the unit of the demands.

    Returns
    -------
    dict of str to float
        Share of each team, which never exceeds its demand.

    Examples
    --------
    >>> max_min_shares({"a": 1, "b": 9, "c": 9}, {"a": 1, "b": 1, "c": 1}, 9)
    {'a': 1, 'b': 4.0, 'c': 4.0}
    """
    team_weights = {team: weights.get(team, 1.0) for team in demands}
    shares: dict[str, float] = {}
    ordered_teams = sorted(demands, key=lambda team: demands[team] / team_weights[team])
    remaining_weight = sum(team_weights.values())
    remaining_capacity = capacity
    for position, team in enumerate(ordered_teams):
        if demands[team] > remaining_capacity * team_weights[team] / remaining_weight:
            for other in ordered_teams[position:]:
                shares[other] = (
                    remaining_capacity * team_weights[other] / remaining_weight
                )
            return shares
        shares[team] = demands[team]
        remaining_capacity -= demands[team]
        remaining_weight -= team_weights[team]
    return shares


@dataclass(slots=True)
class _TeamWork:
    """Exponentially decaying sums of a team's demanded and admitted work."""

    demanded: float = 0.0
    admitted: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / _WORK_HALF_LIFE_S)
        self.demanded *= factor
        self.admitted *= factor
        self.updated_at = now


class TeamShares:
    """Fair shares of teams, from their recent demanded and admitted work.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time, by which past work decays.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> shares = TeamShares(ManualClock())
    >>> for _ in range(8):
    ...     shares.record_demand("large", 1.0)
    >>> shares.record_demand("small", 1.0)
    >>> for _ in range(4):
    ...     shares.record_admitted("large", 1.0)
    >>> shares.granted_fraction("large", {}) < 1.0, shares.granted_fraction("small", {})
    (True, 1.0)
    """

    __slots__ = (
        "_clock",
        "_divided_at",
        "_granted_fractions",
        "_peak_admitted",
        "_peak_at",
        "_work_by_team",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._work_by_team: dict[str, _TeamWork] = {}
        self._granted_fractions: dict[str, float] = {}
        self._divided_at = float("-inf")
        self._peak_admitted = 0.0
        self._peak_at = clock.monotonic()

    def record_demand(self, team: str, work: float) -> None:
        """Add `work` to the demand of `team`, whether or not it is admitted."""
        self._decayed_work(team).demanded += work

    def record_admitted(self, team: str, work: float) -> None:
        """Add `work` to the admitted work of `team`."""
        self._decayed_work(team).admitted += work

    def granted_fraction(self, team: str, weights: Mapping[str, float]) -> float:
        """Return the share of `team` divided by its demand, at most 1."""
        now = self._clock.monotonic()
        if now - self._divided_at >= _DIVISION_INTERVAL_S:
            self._divide_capacity(weights, now)
        return self._granted_fractions.get(team, 1.0)

    def _divide_capacity(self, weights: Mapping[str, float], now: float) -> None:
        """Recompute the granted fractions, which hold until the next recomputation."""
        self._divided_at = now
        for team_work in self._work_by_team.values():
            team_work.decay(now)
        self._work_by_team = {
            team: work
            for team, work in self._work_by_team.items()
            if work.demanded > _MIN_DEMAND
        }
        if len(self._work_by_team) < 2:
            # A single team competes with no other, so it is not limited.
            self._granted_fractions = {}
            return
        demands = {team: work.demanded for team, work in self._work_by_team.items()}
        admitted = sum(work.admitted for work in self._work_by_team.values())
        capacity = _CAPACITY_HEADROOM_FACTOR * self._update_peak_admitted(admitted, now)
        shares = max_min_shares(demands, weights, capacity)
        self._granted_fractions = {
            team: share / demands[team]
            for team, share in shares.items()
            if share < demands[team]
        }

    def _update_peak_admitted(self, admitted: float, now: float) -> float:
        """Update and return the decaying maximum of the admitted work.

        The work admitted now would underestimate the capacity: each refusal lowers it
        and so causes further refusals.
        """
        self._peak_admitted *= 0.5 ** ((now - self._peak_at) / _PEAK_HALF_LIFE_S)
        self._peak_admitted = max(self._peak_admitted, admitted)
        self._peak_at = now
        return self._peak_admitted

    def _decayed_work(self, team: str) -> _TeamWork:
        now = self._clock.monotonic()
        team_work = self._work_by_team.get(team)
        if team_work is None:
            team_work = self._work_by_team[team] = _TeamWork(updated_at=now)
        team_work.decay(now)
        return team_work
