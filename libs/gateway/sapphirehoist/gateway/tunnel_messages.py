"""Messages of tunnels, and the framing of the bytes that an endpoint sends.

Bytes from the endpoint are framed, so that the death of the helper cannot be taken for
the end of an answer that ends with its connection.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import ClassVar

from gevent import socket

from sapphirehoist.http1 import EndpointSocket
from sapphirehoist.peers import PeerMessage

_LENGTH_PREFIX_BYTES = 4
_END_FRAME = bytes(_LENGTH_PREFIX_BYTES)


class TunnelOutcome(Enum):
    """Reply to a request for a tunnel.

    Attributes
    ----------
    OPENED
        The endpoint accepted a connection.
    UNREACHED
        The endpoint accepted no connection.
    NO_PATH
        The VM has no path to the endpoint, or to any.
    REFUSED
        The VM has no room, does not know the endpoint, or is to leave it alone.
    """

    OPENED = "opened"
    UNREACHED = "unreached"
    NO_PATH = "no_path"
    REFUSED = "refused"


class TunnelRequest(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver for a connection to an endpoint that it knows."""

    KIND: ClassVar[str] = "gateway.tunnel_request"

    endpoint: str
    born_ms: int


class TunnelReply(PeerMessage, frozen=True, array_like=True):
    """Precedes the bytes of the endpoint.

    Attributes
    ----------
    outcome : TunnelOutcome
        Whether the bytes that follow are those of the endpoint.
    tunnel_count : int
        Number of tunnels through the sender.
    """

    KIND: ClassVar[str] = "gateway.tunnel_reply"

    outcome: TunnelOutcome
    tunnel_count: int


class PauseNotification(PeerMessage, frozen=True, array_like=True):
    """Tells a helper what an endpoint asked its VM for in a reply it has passed on."""

    KIND: ClassVar[str] = "gateway.tunnel_pause"

    endpoint: str
    born_ms: int
    pause_s: float


def send_data(sock: socket.socket, data: bytes) -> None:
    """Send bytes of the endpoint; empty bytes mark the end of its connection."""
    sock.sendall(len(data).to_bytes(_LENGTH_PREFIX_BYTES) + data)


def may_carry(sock: EndpointSocket, allowed_regions: frozenset[str] | None) -> bool:
    """Return whether a request with these allowed regions may be sent on `sock`.

    A connection from this VM may carry any request.
    """
    return (
        allowed_regions is None
        or not isinstance(sock, TunnelSocket)
        or sock.region in allowed_regions
    )


class TunnelSocket:
    """Connection to an endpoint through another VM; see `EndpointSocket`.

    Parameters
    ----------
    sock : socket
        Connection to the other VM.
    on_close : callable
        Called once when the connection is closed.
    region : str
        Region of the other VM.

    Attributes
    ----------
    region : str
        Region of the other VM.
    """

    __slots__ = ("_is_ended", "_on_close", "_prefix", "_remaining", "_sock", "region")

    def __init__(
        self, sock: socket.socket, on_close: Callable[[], None], region: str
    ) -> None:
        self._sock = sock
        self.region = region
        self._on_close: Callable[[], None] | None = on_close
        self._prefix = b""
        self._remaining = 0
        self._is_ended = False

    def sendall(self, data: bytes, /) -> None:
        """Send all of `data`."""
        self._sock.sendall(data)

    def recv(self, size: int, /) -> bytes:
        """Return received bytes, at most `size`; empty bytes at the end.

        Raises
        ------
        ConnectionResetError
            If the tunnel ends before the endpoint has closed its connection.
        """
        while not self._remaining and not self._is_ended:
            self._prefix += self._receive(_LENGTH_PREFIX_BYTES - len(self._prefix))
            if len(self._prefix) == _LENGTH_PREFIX_BYTES:
                self._remaining = int.from_bytes(self._prefix)
                self._is_ended = self._prefix == _END_FRAME
                self._prefix = b""
        if self._is_ended:
            return b""
        data = self._receive(min(size, self._remaining))
        self._remaining -= len(data)
        return data

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._sock.fileno()

    def close(self) -> None:
        """Close the tunnel, which closes the connection to the endpoint."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            self._sock.close()
            on_close()

    def _receive(self, size: int) -> bytes:
        data = self._sock.recv(size)
        if not data:
            raise ConnectionResetError("the tunnel ended")
        return data
