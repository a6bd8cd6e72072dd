"""The envelope of peer messages, and the base class of message bodies."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from sapphirehoist.clock import Timestamp


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of message bodies.

    Attributes
    ----------
    KIND : str
        Identifier of the message type on the wire, unique in the fleet.
    """

    KIND: ClassVar[str] = ""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its metadata, as sent between two daemons.

    Attributes
    ----------
    sender : str
        VM of the sender.
    kind : str
        `PeerMessage.KIND` of the body.
    call_id : int
        Identifier that matches a reply to its request; 0 if no reply is expected.
    sent_at : Timestamp
        Hybrid logical timestamp at which the sender encoded the message.
    body : bytes
        Encoded message body.
    """

    sender: str
    kind: str
    call_id: int
    sent_at: Timestamp
    body: bytes
