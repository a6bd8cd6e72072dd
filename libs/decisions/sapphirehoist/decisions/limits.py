"""Weighted max-min shares of this node's work among teams.

A share that a team does not use is lent to the others. A team is over its share only
if it holds more than its weighted max-min part of the work under way; nobody is held
back while there is room for all.
"""

from __future__ import annotations

from collections.abc import Mapping


def max_min_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide `capacity` so that no team gets more than it demands.

    Parameters
    ----------
    demands, weights : mapping of str to float
        Demand and entitlement of each team.
    capacity : float
        What is divided, in the unit of the demands.

    Examples
    --------
    >>> max_min_shares({"a": 1, "b": 9, "c": 9}, {"a": 1, "b": 1, "c": 1}, 9)
    {'a': 1, 'b': 4.0, 'c': 4.0}
    """
    shares: dict[str, float] = {}
    open_teams = sorted(demands, key=lambda team: demands[team] / weights[team])
    left = capacity
    while open_teams:
        weight = sum(weights[team] for team in open_teams)
        team = open_teams[0]
        fair = left * weights[team] / weight
        if demands[team] > fair:
            for other in open_teams:
                shares[other] = left * weights[other] / weight
            return shares
        shares[team] = demands[team]
        left -= demands[team]
        open_teams.pop(0)
    return shares


class TeamShares:
    """Work under way by team, and the demand that peers report.

    Examples
    --------
    >>> shares = TeamShares()
    >>> shares.begin("large"); shares.begin("large"); shares.begin("small")
    >>> shares.is_over_share("large", {"large": 1.0, "small": 1.0})
    True
    >>> shares.is_over_share("small", {"large": 1.0, "small": 1.0})
    False
    """

    __slots__ = ("_in_flight", "_peers")

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        self._peers: dict[str, dict[str, int]] = {}

    def begin(self, team: str) -> None:
        """Count a request of `team` that was admitted."""
        self._in_flight[team] = self._in_flight.get(team, 0) + 1

    def end(self, team: str) -> None:
        """Count the end of a request of `team`."""
        left = self._in_flight[team] - 1
        if left:
            self._in_flight[team] = left
        else:
            del self._in_flight[team]

    def in_flight(self) -> dict[str, int]:
        """Return this node's requests under way by team."""
        return dict(self._in_flight)

    def report_peer(self, vm: str, in_flight: dict[str, int]) -> None:
        """Take a peer's requests under way by team; empty forgets the peer."""
        if in_flight:
            self._peers[vm] = in_flight
        else:
            self._peers.pop(vm, None)

    def is_over_share(self, team: str, weights: Mapping[str, float]) -> bool:
        """Return whether `team` holds more than its part of all known work."""
        held = self._totals()
        total = sum(held.values())
        weight = sum(weights.get(other, 1.0) for other in held)
        if len(held) < 2 or team not in held or not weight:
            return False
        return held[team] > total * weights.get(team, 1.0) / weight

    def _totals(self) -> dict[str, int]:
        totals = dict(self._in_flight)
        for reported in self._peers.values():
            for team, count in reported.items():
                totals[team] = totals.get(team, 0) + count
        return totals
