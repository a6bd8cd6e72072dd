"""Lists the entries: URLs of the nodes to which callers should send requests."""

from __future__ import annotations

from random import Random

import msgspec

from sapphirehoist.membership import Fleet, Member


class EntriesResponse(msgspec.Struct, frozen=True):
    """Response to a request for the list of entries.

    Attributes
    ----------
    entries : list of str
        URLs in order of preference, without VMs that are leaving.
    ttl_s : float
        Time for which the caller may cache the list, in seconds.
    """

    entries: list[str]
    ttl_s: float


class EntryDirectory:
    """Lists entries from this node's view of the fleet.

    Parameters
    ----------
    fleet : Fleet
        View of the members.
    ttl_s : float
        Time for which a caller may cache a list, in seconds.
    random : Random
        Shuffles entries, which balances callers over the entries of a region.
    """

    __slots__ = ("_fleet", "_random", "ttl_s")

    def __init__(self, fleet: Fleet, ttl_s: float, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self.ttl_s = ttl_s

    def list_entries(self, region: str = "") -> EntriesResponse:
        """Return the entries that serve requests, those of `region` first.

        Parameters
        ----------
        region : str
            The caller's region; the local region if it is empty.
        """
        home_region = region or self._fleet.local_member.region
        members = [
            m for m in self._fleet.present_members() if self._fleet.is_serving(m.vm)
        ]
        home_urls = self._shuffled_urls([m for m in members if m.region == home_region])
        other_urls = self._shuffled_urls(
            [m for m in members if m.region != home_region]
        )
        return EntriesResponse(home_urls + other_urls, self.ttl_s)

    def _shuffled_urls(self, members: list[Member]) -> list[str]:
        urls = [member.caller_url for member in members]
        self._random.shuffle(urls)
        return urls
