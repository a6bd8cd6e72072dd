"""Messages between daemons: a typed bus over interchangeable transports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sapphirehoist.peers.bus import NoReply, PeerBus
from sapphirehoist.peers.memory import MemoryNetwork, MemoryTransport
from sapphirehoist.peers.message import Envelope, PeerMessage
from sapphirehoist.peers.stream import IncomingStream, OpenedStream
from sapphirehoist.peers.tcp import TcpTransport
from sapphirehoist.peers.transport import PeerTransport, Receiver

if TYPE_CHECKING:
    from sapphirehoist.peers.zeromq import CurveKeys, ZmqTransport

__all__ = [
    "CurveKeys",
    "Envelope",
    "IncomingStream",
    "MemoryNetwork",
    "MemoryTransport",
    "NoReply",
    "OpenedStream",
    "PeerBus",
    "PeerMessage",
    "PeerTransport",
    "Receiver",
    "TcpTransport",
    "ZmqTransport",
]


def __getattr__(name: str) -> Any:
    """Import ZeroMQ on first use, which saves 6 MB of memory with other transports."""
    if name in ("CurveKeys", "ZmqTransport"):
        from sapphirehoist.peers import zeromq

        return getattr(zeromq, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
