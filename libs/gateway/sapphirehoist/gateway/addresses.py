"""Selects the node addresses that are returned to callers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from sapphirehoist.decisions import EntryVm, VmLoad, select_entries
from sapphirehoist.membership import Fleet
from sapphirehoist.routes import RouteTable

_MAX_ADDRESSES = 64


class NodeAddresses:
    """Selects serving nodes close to a caller.

    Parameters
    ----------
    fleet : Fleet
        Known nodes and their status.
    random : Random
        Shuffles the addresses.
    get_table : callable
        Returns the configuration in force; None before the first one.
    get_load : callable
        Returns the last known load of a VM's processor.
    """

    __slots__ = ("_fleet", "_get_load", "_get_table", "_random")

    def __init__(
        self,
        fleet: Fleet,
        random: Random,
        get_table: Callable[[], RouteTable | None],
        get_load: Callable[[str], VmLoad] = lambda vm: VmLoad.NORMAL,
    ) -> None:
        self._get_table = get_table
        self._fleet = fleet
        self._random = random
        self._get_load = get_load

    def nearest(self, region: str, zone: str, host: str = "") -> list[str]:
        """Return addresses of serving nodes from the smallest sufficient area.

        The areas are the caller's availability zone, its region and the whole fleet. Of
        unequal nodes, only the most capable ones are returned, if there are enough.
        Busy nodes are replaced by others; see `select_entries`. Where all routes of
        `host` have home regions, only nodes in these and in the caller's region count,
        if any of them serves.

        Parameters
        ----------
        region, zone : str
            Region and availability zone of the caller.
        host : str, optional
            Host that the caller is going to send requests to.

        Returns
        -------
        list of str
            ``IP:PORT``; empty while this node knows of no serving node, or not the
            routes of `host`.
        """
        table = self._get_table()
        if host and table is None:
            return []
        home_regions = table.home_regions(host) if table is not None else frozenset()
        serving = [
            m for m in self._fleet.present_members() if self._fleet.is_serving(m.vm)
        ]
        if home_regions:
            regions = home_regions | {region}
            serving = [m for m in serving if m.region in regions] or serving
        entries = [
            EntryVm(m.caller_url, m.region, m.zone, m.cores, self._get_load(m.vm))
            for m in serving
        ]
        selected = select_entries(entries, region, zone, self._random)
        addresses = [entry.address for entry in selected]
        self._random.shuffle(addresses)
        return addresses[:_MAX_ADDRESSES]
