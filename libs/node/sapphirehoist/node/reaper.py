"""Removes members from the roster whose VM the platform's list no longer has."""

from __future__ import annotations

from sapphirehoist.membership import Fleet, MemberNews, Roster, Status
from sapphirehoist.platform import VmStates


class RosterReaper:
    """Compares the platform's list with the members that are believed dead.

    A VM that is absent from the list but answers heartbeats is kept: the list lags.

    Parameters
    ----------
    fleet : Fleet
        The members.
    roster : Roster
        The table's record of members.
    """

    __slots__ = ("_fleet", "_roster")

    def __init__(self, fleet: Fleet, roster: Roster) -> None:
        self._fleet = fleet
        self._roster = roster

    def compare(self, states: VmStates) -> None:
        """Remove dead members whose VM is gone."""
        listed = {vm.vm for vm in states.vms}
        for member in self._fleet.dead():
            if member.vm not in listed and self._roster.remove(member):
                news = self._fleet.view.get(member.vm)
                counter = news.counter if news is not None else 0
                gone = MemberNews(member.vm, member.incarnation, counter, Status.GONE)
                self._fleet.learn(gone)
