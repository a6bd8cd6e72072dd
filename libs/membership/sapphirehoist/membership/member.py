"""A member of the fleet and updates of its status."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, ClassVar

import msgspec

from sapphirehoist.peers import PeerMessage


class Status(IntEnum):
    """Status of a member; at equal sequence numbers the higher value takes precedence.

    A gone member has stopped as planned or its VM no longer exists; a dead one is
    unreachable and may return. The names of the class and its members enter the digests
    of `MemberView`.
    """

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
        Increases with each start of a daemon on this VM.
    region, zone : str
        Region and availability zone of the VM.
    peer_address : str
        Address for messages from other daemons.
    caller_url, operator_url : str
        Base URLs for callers and operators.
    cores : float
        Processor cores of the VM; 0 if not known.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s; 0 if not known.
    """

    vm: str
    # Rows of the table may state integers that messages cannot contain.
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    region: str
    zone: str
    peer_address: str
    caller_url: str
    operator_url: str = ""
    cores: float = 0.0
    link_mbps: float = 0.0


class MemberUpdate(PeerMessage, frozen=True, array_like=True):
    """An update of the status of one member, as nodes gossip it.

    Attributes
    ----------
    vm, incarnation : str, int
        The member that the update is about.
    sequence : int
        Sequence number within the incarnation. Only the member itself increases it, to
        announce a change or to refute a suspicion.
    status : Status
        Status of the member according to the sender.
    is_leaving : bool
        Whether the member announced a planned stop.
    member : Member or None
        The member's addresses and location; omitted if receivers already know them.
    is_starting : bool
        Whether the member cannot serve requests yet.
    """

    KIND: ClassVar[str] = "membership.news"

    vm: str
    incarnation: int
    sequence: int
    status: Status
    is_leaving: bool = False
    member: Member | None = None
    is_starting: bool = False

    def precedence(self) -> tuple[int, bool, int, Status, bool]:
        """Return the sort key by which a newer update overrides an older one.

        Within an incarnation, `GONE` is final whatever the sequence number.
        """
        is_gone = self.status is Status.GONE
        return (self.incarnation, is_gone, self.sequence, self.status, self.is_leaving)
