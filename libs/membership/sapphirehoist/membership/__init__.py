"""Fleet membership: failure detection, gossip to all members, and the roster."""

from __future__ import annotations

from sapphirehoist.membership.detector import DetectorConfig, FailureDetector
from sapphirehoist.membership.fleet import Digest, Fleet
from sapphirehoist.membership.member import Member, MemberUpdate, Status
from sapphirehoist.membership.overlay import finger_neighbours
from sapphirehoist.membership.roster import Joined, Roster
from sapphirehoist.membership.view import MemberView

__all__ = [
    "DetectorConfig",
    "Digest",
    "FailureDetector",
    "Fleet",
    "Joined",
    "Member",
    "MemberUpdate",
    "MemberView",
    "Roster",
    "Status",
    "finger_neighbours",
]
