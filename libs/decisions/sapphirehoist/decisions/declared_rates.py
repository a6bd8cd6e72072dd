"""Nodes that may hold a share of the rate that a cold endpoint takes.

It is designed for a load on which a cold endpoint takes a few requests a second from a
whole fleet, and for fleets whose nodes differ in what they know of each other.
"""

from __future__ import annotations

from collections.abc import Iterable

from sapphirehoist.clock import Clock

# A dead node may run on the other side of a partition. For this time it keeps its
# share, so that both sides agree on the holders; later the share of a node that has
# crashed is given to another one.
_DEAD_HOLDER_S = 30.0


class RateHolders:
    """Lists the nodes among which the rate of an endpoint is divided.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    names : list of str
        Names of all possible holders; another list after each change.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> holders = RateHolders(ManualClock())
    >>> serving = [("vm-1", "north"), ("vm-2", "south")]
    >>> holders.update(serving, dead=[("vm-3", "south")])
    >>> holders.list_in("south")
    ['vm-2', 'vm-3']
    >>> holders.list_in("west")
    ['vm-1', 'vm-2', 'vm-3']
    """

    __slots__ = ("_clock", "_dead_since", "_nodes", "names")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._dead_since: dict[str, float] = {}
        self._nodes: list[tuple[str, str]] = []
        self.names: list[str] = []

    def update(
        self, serving: Iterable[tuple[str, str]], dead: Iterable[tuple[str, str]]
    ) -> None:
        """Update the names and regions of the nodes that serve and that are dead.

        It is called again after `_DEAD_HOLDER_S` at the latest.
        """
        now, dead = self._clock.monotonic(), list(dead)
        self._dead_since = {name: self._dead_since.get(name, now) for name, _ in dead}
        self._nodes = [
            *serving,
            *(n for n in dead if now - self._dead_since[n[0]] < _DEAD_HOLDER_S),
        ]
        names = [name for name, _ in self._nodes]
        if names != self.names:
            self.names = names

    def list_in(self, region: str) -> list[str]:
        """Return the possible holders in `region`; all of them if it has none."""
        nearby = [name for name, node_region in self._nodes if node_region == region]
        return nearby or self.names


def cold_burst(per_s: float, over: float, slack: float) -> float:
    """Return how many requests nodes that know of a cold endpoint send in any second.

    The bound of all nodes is `over` x `per_s` + `slack`. Half of what it allows beyond
    `per_s` is left for nodes that cannot be told.

    Examples
    --------
    >>> round(cold_burst(6.7, over=1.5, slack=5.0), 3)
    10.875
    """
    return per_s + ((over - 1.0) * per_s + slack) / 2
