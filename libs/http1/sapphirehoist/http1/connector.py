"""Opens connections to endpoints."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, Protocol

from gevent import socket

from sapphirehoist.sockets import configure_tcp_socket

# Covers one SYN retransmission, which TCP sends after 1 s, and a round trip between
# regions of 40 ms.
_CONNECT_TIMEOUT_S = 1.2


class EndpointSocket(Protocol):
    """The part of a socket's interface that connections to endpoints use."""

    def sendall(self, data: bytes, /) -> None:
        """Send all of `data`."""

    def recv(self, size: int, /) -> bytes:
        """Return received bytes, at most `size`; empty bytes at the end."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be established, so no byte of the request was sent."""

    detail: str


class EndpointConnector(ABC):
    """Opens connections to endpoints."""

    @abstractmethod
    def connect(
        self, address: str, relay_regions: frozenset[str] | None = None
    ) -> EndpointSocket | NotSent:
        """Return a socket that is connected to ``IP:PORT``, or why there is none.

        Only VMs in `relay_regions` may relay the connection; any if it is None.
        """

    def is_reusable(self, sock: EndpointSocket) -> bool:
        """Return whether a connection may serve several requests."""
        return True


class _TcpEndpointSocket(socket.socket):
    """TCP socket that reports a reset to its reader even if its writer met it first.

    The kernel reports the error of a connection once, to the first call. After that, a
    reset connection reads as one that the peer has closed, which ends a response that
    has no length.
    """

    _is_reset = False

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all of `data`."""
        try:
            super().sendall(data, flags)
        except BrokenPipeError:
            # The peer had closed its side before, so that what it sent is whole.
            raise
        except OSError:
            self._is_reset = True
            raise

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received bytes, at most `size`; empty bytes at the end."""
        data: bytes = super().recv(size, flags)
        if not data and self._is_reset:
            raise ConnectionResetError("reset while a request was sent")
        return data


class TcpConnector(EndpointConnector):
    """Opens TCP connections from this VM, which no other VM relays."""

    def connect(
        self, address: str, relay_regions: frozenset[str] | None = None
    ) -> EndpointSocket | NotSent:
        """Return a socket that is connected to ``IP:PORT``, or why there is none."""
        host, _, port = address.rpartition(":")
        sock = _TcpEndpointSocket(socket.AF_INET, socket.SOCK_STREAM)
        is_connected = False
        try:
            configure_tcp_socket(sock)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect((host, int(port)))
            sock.settimeout(None)
            is_connected = True
        except (OSError, OverflowError, ValueError) as exc:
            # Peers pass on addresses that other writers have chosen.
            return NotSent(f"{address}: no connection: {exc}")
        finally:
            if not is_connected:
                sock.close()
        return sock
