"""Byte streams between daemons, which begin with one message in each direction."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from gevent import socket

from sapphirehoist.peers.message import PeerMessage

R = TypeVar("R", bound=PeerMessage)

LENGTH_PREFIX_BYTES = 4
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class OpenedStream(Generic[R]):
    """A stream that the receiver has replied to, and its connection."""

    reply: R
    sock: socket.socket


class IncomingStream:
    """A stream that a peer has opened.

    Parameters
    ----------
    sock : socket
        Connection to the peer.
    encode : callable
        Encodes a reply.

    Attributes
    ----------
    sock : socket
        Connection to the peer, for bytes that follow the reply.
    """

    __slots__ = ("_encode", "sock")

    def __init__(
        self, sock: socket.socket, encode: Callable[[PeerMessage], bytes]
    ) -> None:
        self.sock = sock
        self._encode = encode

    def reply(self, message: PeerMessage) -> None:
        """Send the reply, which precedes all other bytes."""
        send_frame(self.sock, self._encode(message))


def send_frame(sock: socket.socket, payload: bytes) -> None:
    """Send `payload` after its length."""
    sock.sendall(len(payload).to_bytes(LENGTH_PREFIX_BYTES) + payload)


def receive_frame(
    sock: socket.socket, max_bytes: int = MAX_MESSAGE_BYTES
) -> bytes | None:
    """Receive one frame and no byte after it.

    Return None if the connection ends before, or the frame is too long.
    """
    prefix = receive_exactly(sock, LENGTH_PREFIX_BYTES)
    if prefix is None:
        return None
    length = int.from_bytes(prefix)
    if length > max_bytes:
        return None
    return receive_exactly(sock, length)


def receive_exactly(sock: socket.socket, size: int) -> bytes | None:
    """Receive `size` bytes; return None if the connection ends before."""
    data = bytearray()
    while len(data) < size:
        try:
            chunk = sock.recv(size - len(data))
        except OSError:
            return None
        if not chunk:
            return None
        data += chunk
    return bytes(data)
