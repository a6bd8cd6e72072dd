"""Loopback proxy that delays, stalls, resets and refuses connections."""

from __future__ import annotations

import struct
from enum import Enum

import gevent
from gevent import socket
from gevent.server import StreamServer

_BLOCK_BYTES = 65_536
_POLL_INTERVAL_S = 0.05
# SO_LINGER with a zero timeout: closing the socket sends RST.
_LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of the bytes that a proxy relays."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class FaultyLink:
    """Relays connections to one address, with faults that can be set at runtime.

    Parameters
    ----------
    target : str
        ``IP:PORT`` that connections are relayed to.

    Attributes
    ----------
    delay_s : float
        Delay of each block of bytes, in seconds.
    stalled_directions : set of Direction
        Directions in which bytes are held back until the direction is removed.
    refuses_connections : bool
        Whether new connections are closed on arrival.
    """

    __slots__ = (
        "_server",
        "_sockets",
        "_target",
        "delay_s",
        "refuses_connections",
        "stalled_directions",
    )

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._sockets: set[socket.socket] = set()
        self.delay_s = 0.0
        self.stalled_directions: set[Direction] = set()
        self.refuses_connections = False
        self._server = StreamServer(("127.0.0.1", 0), self._relay_connection)
        self._server.start()

    @property
    def address(self) -> str:
        """Return ``IP:PORT`` of the proxy."""
        return f"127.0.0.1:{self._server.server_port}"

    def reset(self) -> None:
        """Reset every open connection."""
        for sock in [sock for sock in self._sockets if sock.fileno() >= 0]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            sock.close()

    def heal(self) -> None:
        """Clear every fault; connections that were reset stay closed."""
        self.delay_s, self.refuses_connections = 0.0, False
        self.stalled_directions.clear()

    def close(self) -> None:
        """Reset every connection and stop listening."""
        self.refuses_connections = True
        self.reset()
        self._server.stop(timeout=0)

    def _relay_connection(self, client: socket.socket, peer: tuple[str, int]) -> None:
        if self.refuses_connections:
            client.close()
            return
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        self._sockets.update({client, server})
        forwarders = [
            gevent.spawn(self._forward, client, server, Direction.TO_SERVER),
            gevent.spawn(self._forward, server, client, Direction.TO_CLIENT),
        ]
        gevent.joinall(forwarders)
        self._sockets.difference_update({client, server})

    def _forward(
        self, source: socket.socket, destination: socket.socket, direction: Direction
    ) -> None:
        try:
            while data := source.recv(_BLOCK_BYTES):
                gevent.sleep(self.delay_s)
                while direction in self.stalled_directions:
                    gevent.sleep(_POLL_INTERVAL_S)
                destination.sendall(data)
        except OSError:
            # A reset or close on either side ends both connections.
            pass
        for sock in (source, destination):
            sock.close()
