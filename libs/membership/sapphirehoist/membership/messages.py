"""Messages of membership."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.membership.member import Member, MemberNews
from sapphirehoist.peers import PeerMessage


class Ping(PeerMessage, frozen=True, array_like=True):
    """Asks whether the receiver is alive.

    Attributes
    ----------
    vm, incarnation : str, int
        The sender.
    target_incarnation : int
        Which daemon is meant; another one does not answer for it.
    digests : list of int
        The sender's digests, in the order in which they were added.
    """

    KIND: ClassVar[str] = "membership.ping"

    vm: str
    incarnation: int
    target_incarnation: int
    digests: list[int]


class Ack(PeerMessage, frozen=True, array_like=True):
    """Answers a `Ping`.

    Attributes
    ----------
    incarnation : int
        The answering daemon.
    digests : list of int
        Its digests.
    about_you : MemberNews or None
        What the receiver believes of the sender, unless it is alive.
    """

    KIND: ClassVar[str] = "membership.ack"

    incarnation: int
    digests: list[int]
    about_you: MemberNews | None = None


class IndirectPing(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver to ping `target` on the sender's behalf."""

    KIND: ClassVar[str] = "membership.indirect_ping"

    target: Member


class IndirectAck(PeerMessage, frozen=True, array_like=True):
    """Says whether the target of an `IndirectPing` answered."""

    KIND: ClassVar[str] = "membership.indirect_ack"

    is_alive: bool


class ViewRequest(PeerMessage, frozen=True, array_like=True):
    """Asks for the news of the buckets whose digests differ."""

    KIND: ClassVar[str] = "membership.view_request"

    buckets: list[int]


class ViewReply(PeerMessage, frozen=True, array_like=True):
    """The news of the buckets that differ."""

    KIND: ClassVar[str] = "membership.view_reply"

    news: list[MemberNews]
