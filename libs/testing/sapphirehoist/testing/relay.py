"""A TCP relay whose connections can be cut and restored."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.server import StreamServer

_BLOCK_BYTES = 65_536


class Relay:
    """Relays one loopback port to another.

    Parameters
    ----------
    target_port : int
        Where connections are relayed to.
    port : int
        Where to listen; 0 for any free port.

    Attributes
    ----------
    bytes_relayed : int
        Bytes that passed, both ways.
    """

    __slots__ = ("_is_cut", "_server", "_sockets", "_target_port", "bytes_relayed")

    def __init__(self, target_port: int, port: int = 0) -> None:
        self._target_port = target_port
        self._is_cut = False
        self.bytes_relayed = 0
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", port), self._relay)
        self._server.start()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._server.server_port

    def cut(self) -> None:
        """Break every connection and refuse new ones."""
        self._is_cut = True
        for sock in list(self._sockets):
            sock.close()

    def restore(self) -> None:
        """Relay new connections again."""
        self._is_cut = False

    def close(self) -> None:
        """Stop listening."""
        self.cut()
        self._server.stop(timeout=0)

    def _relay(self, inner: socket.socket, address: tuple[str, int]) -> None:
        if self._is_cut:
            inner.close()
            return
        try:
            outer = socket.create_connection(("127.0.0.1", self._target_port))
        except OSError:
            inner.close()
            return
        self._sockets.update({inner, outer})
        pumps = [
            gevent.spawn(self._pump, inner, outer),
            gevent.spawn(self._pump, outer, inner),
        ]
        gevent.joinall(pumps)
        self._sockets.difference_update({inner, outer})

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(_BLOCK_BYTES):
                self.bytes_relayed += len(data)
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            sock.close()
