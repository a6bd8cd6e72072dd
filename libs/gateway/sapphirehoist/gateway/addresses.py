"""Which nodes callers are told to connect to."""

from __future__ import annotations

from random import Random

from sapphirehoist.membership import Fleet, Member

# Callers choose among these at random; with fewer nearby, farther ones are added.
_MIN_ADDRESSES = 2
_MAX_ADDRESSES = 64


class NodeAddresses:
    """Answers callers that ask where to connect.

    Parameters
    ----------
    fleet : Fleet
        Which nodes are alive and not leaving.
    random : Random
        Orders the addresses.
    """

    __slots__ = ("_fleet", "_random")

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random

    def near(self, region: str, zone: str) -> list[str]:
        """Return addresses of serving nodes, only as far away as needed.

        Parameters
        ----------
        region, zone : str
            Where the caller is.

        Returns
        -------
        list of str
            ``IP:PORT``; empty while this node knows of no serving node.
        """
        serving = [m for m in self._fleet.present() if self._fleet.is_serving(m.vm)]
        in_zone = [m for m in serving if m.zone == zone]
        in_region = [m for m in serving if m.region == region]
        for chosen in (in_zone, in_region):
            if len(chosen) >= _MIN_ADDRESSES:
                return self._addresses(chosen)
        return self._addresses(serving)

    def _addresses(self, members: list[Member]) -> list[str]:
        addresses = [member.caller_url for member in members]
        self._random.shuffle(addresses)
        return addresses[:_MAX_ADDRESSES]
