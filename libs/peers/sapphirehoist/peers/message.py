"""The envelope of every peer message and the base class of its body."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from sapphirehoist.clock import Timestamp


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of message bodies.

    Attributes
    ----------
    KIND : str
        Name on the wire; unique among the messages of the fleet.
    """

    KIND: ClassVar[str] = ""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels between two daemons.

    Attributes
    ----------
    sender : str
        VM of the sender.
    kind : str
        `PeerMessage.KIND` of the body.
    call_id : int
        Number that matches a reply to its request; 0 where no reply is expected.
    at : Timestamp
        Hybrid logical timestamp of the sending.
    body : bytes
        Encoded message.
    """

    sender: str
    kind: str
    call_id: int
    at: Timestamp
    body: bytes
