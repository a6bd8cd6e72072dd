"""Removes members from the roster whose VM is absent from the platform's VM list.

A member removes itself in a graceful shutdown, but that fails while the table is
unavailable. Members known to be gone are therefore removed here as well, each once.
"""

from __future__ import annotations

from sapphirehoist.membership import Fleet, Member, MemberUpdate, Roster, Status
from sapphirehoist.storage import VmStates


class RosterReaper:
    """Removes dead and gone members by comparison with the platform's VM list.

    A member that answers heartbeats is kept although its VM is absent from the list,
    since the list lags behind.

    Parameters
    ----------
    fleet : Fleet
        View of the members; receives the removals.
    roster : Roster
        Table of the members.
    """

    __slots__ = ("_removed", "_fleet", "_roster")

    def __init__(self, fleet: Fleet, roster: Roster) -> None:
        self._fleet = fleet
        self._roster = roster
        self._removed: set[tuple[str, int]] = set()

    def remove_unlisted_members(self, states: VmStates) -> None:
        """Remove dead and gone members whose VM is absent from `states`."""
        listed_vms = {vm.vm for vm in states.vms}
        candidates = self._fleet.view.members(Status.DEAD, Status.GONE)
        candidate_keys = {(member.vm, member.incarnation) for member in candidates}
        self._removed &= candidate_keys
        for member in candidates:
            key = (member.vm, member.incarnation)
            if member.vm in listed_vms or key in self._removed:
                continue
            if self._roster.remove(member):
                self._removed.add(key)
                self._broadcast_gone(member)

    def _broadcast_gone(self, member: Member) -> None:
        known_update = self._fleet.view.get(member.vm)
        sequence = known_update.sequence if known_update is not None else 0
        gone_update = MemberUpdate(member.vm, member.incarnation, sequence, Status.GONE)
        self._fleet.apply_update(gone_update)
