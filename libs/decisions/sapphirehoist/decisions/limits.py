"""Weighted max-min shares of this node's work among teams.

A share that a team does not use is lent to the others. A team is over its share only
if it asks for more than its weighted max-min part of the work that is taken; nobody is
held back while there is room for all.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sapphirehoist.clock import Clock

_HALF_LIFE_S = 2.0
_FORGOTTEN = 1e-3
_HEADROOM = 1.1
_PEAK_HALF_LIFE_S = 20.0
_DIVIDE_EVERY_S = 0.25


def max_min_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide `capacity` so that no team gets more than it demands.

    Parameters
    ----------
    demands, weights : mapping of str to float
        Demand and entitlement of each team; a weight that is absent is 1.
    capacity : float
        What is divided, in the unit of the demands.

    Examples
    --------
    >>> max_min_shares({"a": 1, "b": 9, "c": 9}, {"a": 1, "b": 1, "c": 1}, 9)
    {'a': 1, 'b': 4.0, 'c': 4.0}
    """
    weight_of = {team: weights.get(team, 1.0) for team in demands}
    shares: dict[str, float] = {}
    ordered = sorted(demands, key=lambda team: demands[team] / weight_of[team])
    weight = sum(weight_of.values())
    left = capacity
    for position, team in enumerate(ordered):
        if demands[team] > left * weight_of[team] / weight:
            for other in ordered[position:]:
                shares[other] = left * weight_of[other] / weight
            return shares
        shares[team] = demands[team]
        left -= demands[team]
        weight -= weight_of[team]
    return shares


@dataclass(slots=True)
class _Rate:
    """Exponentially fading sums of the work that a team asked for and got."""

    asked: float = 0.0
    taken: float = 0.0
    updated_at: float = 0.0

    def fade(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / _HALF_LIFE_S)
        self.asked *= factor
        self.taken *= factor
        self.updated_at = now


class TeamShares:
    """Work that teams asked for lately, and what of it was taken.

    Parameters
    ----------
    clock : Clock
        Monotonic time, by which old work fades.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> shares = TeamShares(ManualClock())
    >>> for _ in range(8):
    ...     shares.ask("large", 1.0)
    >>> shares.ask("small", 1.0)
    >>> for _ in range(4):
    ...     shares.take("large", 1.0)
    >>> shares.granted_part("large", {}) < 1.0, shares.granted_part("small", {})
    (True, 1.0)
    """

    __slots__ = ("_clock", "_divided_at", "_granted", "_peak", "_peak_at", "_rates")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[str, _Rate] = {}
        self._granted: dict[str, float] = {}
        self._divided_at = float("-inf")
        self._peak = 0.0
        self._peak_at = clock.monotonic()

    def ask(self, team: str, work: float) -> None:
        """Count a request of `team` for `work`, whether or not it is taken."""
        self._rate(team).asked += work

    def take(self, team: str, work: float) -> None:
        """Count that the request was taken."""
        self._rate(team).taken += work

    def granted_part(self, team: str, weights: Mapping[str, float]) -> float:
        """Return the team's share divided by what it asks for, at most 1."""
        now = self._clock.monotonic()
        if now - self._divided_at >= _DIVIDE_EVERY_S:
            self._divide(weights, now)
        return self._granted.get(team, 1.0)

    def _divide(self, weights: Mapping[str, float], now: float) -> None:
        """Work out every team's part; between two times teams keep theirs."""
        self._divided_at = now
        for rate in self._rates.values():
            rate.fade(now)
        self._rates = {t: r for t, r in self._rates.items() if r.asked > _FORGOTTEN}
        if len(self._rates) < 2:
            # A team alone takes nothing from another.
            self._granted = {}
            return
        demands = {name: rate.asked for name, rate in self._rates.items()}
        taken = sum(rate.taken for rate in self._rates.values())
        capacity = _HEADROOM * self._peak_taken(taken, now)
        shares = max_min_shares(demands, weights, capacity)
        self._granted = {
            team: share / demands[team]
            for team, share in shares.items()
            if share < demands[team]
        }

    def _peak_taken(self, taken: float, now: float) -> float:
        """Return the most that was taken lately.

        What is taken now would be too low an estimate of the capacity: each refusal
        lowers it, and so leads to more refusals.
        """
        self._peak *= 0.5 ** ((now - self._peak_at) / _PEAK_HALF_LIFE_S)
        self._peak = max(self._peak, taken)
        self._peak_at = now
        return self._peak

    def _rate(self, team: str) -> _Rate:
        now = self._clock.monotonic()
        rate = self._rates.get(team)
        if rate is None:
            rate = self._rates[team] = _Rate(updated_at=now)
        rate.fade(now)
        return rate
