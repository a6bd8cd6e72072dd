"""Messages of the membership protocol."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.membership.member import Member, MemberUpdate
from sapphirehoist.peers import PeerMessage


class Ping(PeerMessage, frozen=True, array_like=True):
    """Heartbeat, which checks whether the receiver is alive.

    Attributes
    ----------
    vm, incarnation : str, int
        The sender.
    target_incarnation : int
        Incarnation that the sender expects at the address.
    digests : list of int
        Values of the sender's digests, in the order of the calls of `Fleet.add_digest`.
    """

    KIND: ClassVar[str] = "membership.ping"

    vm: str
    incarnation: int
    target_incarnation: int
    digests: list[int]


class Ack(PeerMessage, frozen=True, array_like=True):
    """Reply to a `Ping`.

    Attributes
    ----------
    incarnation : int
        Incarnation of the replying daemon.
    digests : list of int
        Values of the replying daemon's digests, in the same order as in a `Ping`.
    sender_update : MemberUpdate or None
        Update about the sender of the `Ping`, unless it is known to be alive.
    """

    KIND: ClassVar[str] = "membership.ack"

    incarnation: int
    digests: list[int]
    sender_update: MemberUpdate | None = None


class IndirectPing(PeerMessage, frozen=True, array_like=True):
    """Request to ping `target` on the sender's behalf."""

    KIND: ClassVar[str] = "membership.indirect_ping"

    target: Member


class IndirectAck(PeerMessage, frozen=True, array_like=True):
    """Reply to an `IndirectPing`: whether its target replied."""

    KIND: ClassVar[str] = "membership.indirect_ack"

    is_alive: bool


class ViewRequest(PeerMessage, frozen=True, array_like=True):
    """Request for the updates in buckets whose digests differ from `bucket_digests`."""

    KIND: ClassVar[str] = "membership.view_request"

    bucket_digests: list[int]


class ViewReply(PeerMessage, frozen=True, array_like=True):
    """Reply to a `ViewRequest`: the updates in the buckets whose digests differ."""

    KIND: ClassVar[str] = "membership.view_reply"

    updates: list[MemberUpdate]
