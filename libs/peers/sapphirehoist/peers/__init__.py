"""Messages between the daemons: one typed bus over an exchangeable transport."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sapphirehoist.peers.bus import NoReply, PeerBus
from sapphirehoist.peers.memory import MemoryNetwork, MemoryTransport
from sapphirehoist.peers.message import Envelope, PeerMessage
from sapphirehoist.peers.tcp import TcpTransport
from sapphirehoist.peers.transport import PeerTransport, Receiver

if TYPE_CHECKING:
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
    "TcpTransport",
    "ZmqTransport",
]


def __getattr__(name: str) -> Any:
    """Import ZeroMQ on first use; it takes 6 MB that other transports do not need."""
    if name in ("CurveKeys", "ZmqTransport"):
        from sapphirehoist.peers import zeromq

        return getattr(zeromq, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
