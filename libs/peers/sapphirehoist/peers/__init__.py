"""Messages between the daemons: one typed bus over an exchangeable transport."""

from __future__ import annotations

from sapphirehoist.peers.bus import NoReply, PeerBus
from sapphirehoist.peers.memory import MemoryNetwork, MemoryTransport
from sapphirehoist.peers.message import Envelope, PeerMessage
from sapphirehoist.peers.transport import PeerTransport, Receiver
from sapphirehoist.peers.zeromq import CurveKeys, ZmqTransport

__all__ = [
    "CurveKeys",
    "Envelope",
    "MemoryNetwork",
    "MemoryTransport",
    "NoReply",
    "PeerBus",
    "PeerMessage",
    "PeerTransport",
    "Receiver",
    "ZmqTransport",
]
