"""TCP relay that can simulate a network partition."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.server import StreamServer

_BLOCK_BYTES = 65_536


class Relay:
    """Relays connections from one loopback port to another.

    Parameters
    ----------
    target_port : int
        Port that connections are relayed to.
    port : int
        Port to listen on; 0 selects a free port.

    Attributes
    ----------
    bytes_relayed : int
        Bytes relayed in both directions.
    """

    __slots__ = (
        "_is_partitioned",
        "_server",
        "_sockets",
        "_target_port",
        "bytes_relayed",
    )

    def __init__(self, target_port: int, port: int = 0) -> None:
        self._target_port = target_port
        self._is_partitioned = False
        self.bytes_relayed = 0
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", port), self._relay_connection)
        self._server.start()

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        return self._server.server_port

    def partition(self) -> None:
        """Close every connection and new ones as they arrive, until `heal`."""
        self._is_partitioned = True
        for sock in list(self._sockets):
            sock.close()

    def heal(self) -> None:
        """End the partition: relay new connections again."""
        self._is_partitioned = False

    def close(self) -> None:
        """Close every connection and stop listening."""
        self.partition()
        self._server.stop(timeout=0)

    def _relay_connection(
        self, client: socket.socket, address: tuple[str, int]
    ) -> None:
        if self._is_partitioned:
            client.close()
            return
        try:
            server = socket.create_connection(("127.0.0.1", self._target_port))
        except OSError:
            client.close()
            return
        self._sockets.update({client, server})
        forwarders = [
            gevent.spawn(self._forward, client, server),
            gevent.spawn(self._forward, server, client),
        ]
        gevent.joinall(forwarders)
        self._sockets.difference_update({client, server})

    def _forward(self, source: socket.socket, destination: socket.socket) -> None:
        try:
            while data := source.recv(_BLOCK_BYTES):
                self.bytes_relayed += len(data)
                destination.sendall(data)
        except OSError:
            pass
        for sock in (source, destination):
            sock.close()
