"""A member of the fleet and news about it."""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar

import msgspec

from sapphirehoist.peers import PeerMessage


class Status(IntEnum):
    """What the fleet believes of a member; a higher value wins at equal counters."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    GONE = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One daemon.

    Attributes
    ----------
    vm : str
        Name of its VM.
    incarnation : int
        Grows with each start of a daemon on this VM.
    region, zone : str
        Its place.
    peer_address : str
        Where other daemons reach it.
    caller_url, operator_url : str
        Where callers and operators reach it.
    """

    vm: str
    incarnation: int
    region: str
    zone: str
    peer_address: str
    caller_url: str
    operator_url: str = ""


class MemberNews(PeerMessage, frozen=True, array_like=True):
    """What a member's status is believed to be.

    Attributes
    ----------
    vm, incarnation : str, int
        The member that the news is about.
    counter : int
        Set by the member itself; it refutes a suspicion by raising it.
    status : Status
        The belief.
    is_leaving : bool
        Whether the member announced a planned stop.
    member : Member or None
        Facts about the member, absent where receivers know them already.
    is_starting : bool
        Whether the member cannot serve yet.
    """

    KIND: ClassVar[str] = "membership.news"

    vm: str
    incarnation: int
    counter: int
    status: Status
    is_leaving: bool = False
    member: Member | None = None
    is_starting: bool = False

    def precedence(self) -> tuple[int, bool, int, Status, bool]:
        """Return the key by which newer news overrides older news."""
        is_gone = self.status is Status.GONE
        return (self.incarnation, is_gone, self.counter, self.status, self.is_leaving)
