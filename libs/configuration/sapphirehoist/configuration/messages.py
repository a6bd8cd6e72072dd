"""Peer messages that replicate the configuration among members."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.configuration.change import Change, Snapshot
from sapphirehoist.membership import Member
from sapphirehoist.peers import PeerMessage


class ConfigAnnouncement(PeerMessage, frozen=True, array_like=True):
    """Announces a committed version.

    Attributes
    ----------
    version : int
        The committed version.
    source : str
        Address of a member from which the version can be pulled.
    origin : str
        Address of the member that announced the version first; the others send their
        reports of versions in force to it.
    """

    KIND: ClassVar[str] = "config.announced"

    version: int
    source: str
    origin: str


class ChangesRequest(PeerMessage, frozen=True, array_like=True):
    """Requests all changes after `version`."""

    KIND: ClassVar[str] = "config.changes_request"

    version: int


class ChangesReply(PeerMessage, frozen=True, array_like=True):
    """The requested changes in order, or a snapshot if some are no longer retained."""

    KIND: ClassVar[str] = "config.changes_reply"

    changes: list[Change]
    snapshot: Snapshot | None = None


class InForceReport(PeerMessage, frozen=True, array_like=True):
    """Reports that a member and the nodes it sponsors have at least `version` in force.

    Attributes
    ----------
    vm : str
        VM of the member.
    incarnation : int
        Incarnation of the member.
    version : int
        Lowest version that is in force on the member and the nodes it sponsors.
    """

    KIND: ClassVar[str] = "config.in_force"

    vm: str
    incarnation: int
    version: int


class InForceRequest(PeerMessage, frozen=True, array_like=True):
    """Requests an `InForceReport`.

    Attributes
    ----------
    version : int
        Committed version, which the receiver pulls if it lacks it.
    source : str
        Address of a member from which the version can be pulled.
    """

    KIND: ClassVar[str] = "config.in_force_request"

    version: int
    source: str


class SponsorRequest(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver to sponsor a node that cannot reach the table.

    Sent repeatedly until the node is on the roster, and then once with `is_joined` set.

    Attributes
    ----------
    member : Member
        The node to be sponsored.
    version : int
        Version that is in force on the node.
    is_joined : bool
        Whether the node is on the roster now, which ends the sponsorship.
    """

    KIND: ClassVar[str] = "config.vouch_request"

    member: Member
    version: int
    is_joined: bool = False


class SponsorReply(PeerMessage, frozen=True, array_like=True):
    """Confirms that the sender sponsors the node, if it contains no snapshot.

    With a snapshot, the node applies it and repeats its request.

    Attributes
    ----------
    snapshot : Snapshot or None
        The sponsor's configuration; None if the node's version is not older.
    members : list of Member
        Members that the sponsor knows.
    """

    KIND: ClassVar[str] = "config.vouch_reply"

    snapshot: Snapshot | None
    members: list[Member]
