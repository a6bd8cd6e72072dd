"""Which entry VMs callers should use."""

from __future__ import annotations

from random import Random

import msgspec

from sapphirehoist.membership import Fleet, Member


class EntriesResponse(msgspec.Struct, frozen=True):
    """Answer to "which entry".

    Attributes
    ----------
    entries : list of str
        URLs, best first; VMs that are leaving are absent.
    ttl_s : float
        How long the caller may keep the answer, in seconds.
    """

    entries: list[str]
    ttl_s: float


class EntryDirectory:
    """Answers from this node's view of the fleet.

    Parameters
    ----------
    fleet : Fleet
        The members.
    ttl_s : float
        How long callers keep the answer.
    random : Random
        Spreads callers over the entries of a region.
    """

    __slots__ = ("_fleet", "_random", "ttl_s")

    def __init__(self, fleet: Fleet, ttl_s: float, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self.ttl_s = ttl_s

    def list_entries(self, region: str = "") -> EntriesResponse:
        """Return the serving entries, those of `region` first.

        Parameters
        ----------
        region : str
            The caller's region; this node's own where it is empty.
        """
        home_region = region or self._fleet.member.region
        members = [m for m in self._fleet.present() if self._fleet.is_serving(m.vm)]
        local_urls = self._shuffled_urls(
            [m for m in members if m.region == home_region]
        )
        remote_urls = self._shuffled_urls(
            [m for m in members if m.region != home_region]
        )
        return EntriesResponse(local_urls + remote_urls, self.ttl_s)

    def _shuffled_urls(self, members: list[Member]) -> list[str]:
        urls = [member.caller_url for member in members]
        self._random.shuffle(urls)
        return urls
