"""Fleet membership: failure detection, gossip to all members, and the roster."""

from __future__ import annotations

from sapphirehoist.membership.detector import DetectorTimes, FailureDetector
from sapphirehoist.membership.fleet import Digest, Fleet
from sapphirehoist.membership.member import Member, MemberNews, Status
from sapphirehoist.membership.overlay import finger_neighbours
from sapphirehoist.membership.roster import Joined, Roster
from sapphirehoist.membership.view import MemberView

__all__ = [
    "DetectorTimes",
    "Digest",
    "FailureDetector",
    "Fleet",
    "Joined",
    "Member",
    "MemberNews",
    "MemberView",
    "Roster",
    "Status",
    "finger_neighbours",
]
