"""Messages that spread configuration."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.configuration.change import Change, Snapshot
from sapphirehoist.membership import Member
from sapphirehoist.peers import PeerMessage


class ConfigAnnounced(PeerMessage, frozen=True, array_like=True):
    """A version is committed; `source` holds it, `origin` collects the reports."""

    KIND: ClassVar[str] = "config.announced"

    version: int
    source: str
    origin: str


class ChangesRequest(PeerMessage, frozen=True, array_like=True):
    """Asks for all changes after `version`."""

    KIND: ClassVar[str] = "config.changes_request"

    version: int


class ChangesReply(PeerMessage, frozen=True, array_like=True):
    """Changes in order, or a snapshot where they are not all kept."""

    KIND: ClassVar[str] = "config.changes_reply"

    changes: list[Change]
    snapshot: Snapshot | None = None


class InForceReport(PeerMessage, frozen=True, array_like=True):
    """A member, and all that it vouches for, have at least `version` in force."""

    KIND: ClassVar[str] = "config.in_force"

    vm: str
    incarnation: int
    version: int


class InForceRequest(PeerMessage, frozen=True, array_like=True):
    """Asks for an `InForceReport`, naming a version that is committed."""

    KIND: ClassVar[str] = "config.in_force_request"

    version: int
    source: str


class VouchRequest(PeerMessage, frozen=True, array_like=True):
    """A node that cannot reach the table asks to be counted in the receiver's reports.

    Sent again until the node is on the roster; `is_joined` ends it.
    """

    KIND: ClassVar[str] = "config.vouch_request"

    member: Member
    version: int
    is_joined: bool = False


class VouchReply(PeerMessage, frozen=True, array_like=True):
    """The receiver counts the node; `members` are those that it knows.

    `snapshot` is absent where the node has the receiver's version.
    """

    KIND: ClassVar[str] = "config.vouch_reply"

    snapshot: Snapshot | None
    members: list[Member]
