"""Removes members from the roster whose VM the platform's list no longer has.

A member that stopped as planned removes itself, unless the table was down then: so
members that are known to be gone are looked up once, too.
"""

from __future__ import annotations

from sapphirehoist.membership import Fleet, Member, MemberNews, Roster, Status
from sapphirehoist.storage import VmStates


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

    __slots__ = ("_absent", "_fleet", "_roster")

    def __init__(self, fleet: Fleet, roster: Roster) -> None:
        self._fleet = fleet
        self._roster = roster
        self._absent: set[tuple[str, int]] = set()

    def compare(self, states: VmStates) -> None:
        """Remove dead and gone members whose VM the list does not have."""
        listed = {vm.vm for vm in states.vms}
        candidates = self._fleet.view.members(Status.DEAD, Status.GONE)
        known = {(member.vm, member.incarnation) for member in candidates}
        self._absent &= known
        for member in candidates:
            key = (member.vm, member.incarnation)
            if member.vm in listed or key in self._absent:
                continue
            if self._roster.remove(member):
                self._absent.add(key)
                self._announce_gone(member)

    def _announce_gone(self, member: Member) -> None:
        news = self._fleet.view.get(member.vm)
        counter = news.counter if news is not None else 0
        gone = MemberNews(member.vm, member.incarnation, counter, Status.GONE)
        self._fleet.learn(gone)
