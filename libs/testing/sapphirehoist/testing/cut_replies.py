"""Server whose replies end before they are whole."""

from __future__ import annotations

import re
from enum import Enum

from gevent import socket
from gevent.server import StreamServer

from sapphirehoist.sockets import reset_on_close

_BLOCK_BYTES = 65_536


class Ending(Enum):
    """How a connection ends.

    Attributes
    ----------
    CLOSE
        As after a complete reply.
    RESET
        As after the crash of a VM or of a process that has not read everything.
    """

    CLOSE = "close"
    RESET = "reset"


class CutReplies:
    """Answers the first request of each connection with the same bytes and ends it.

    Attributes
    ----------
    reply : bytes
        Bytes that are sent.
    ending : Ending
        How the connection ends after them.
    address : str
        ``IP:PORT`` of the server.
    """

    __slots__ = ("_server", "address", "ending", "reply")

    def __init__(self) -> None:
        self.reply = b""
        self.ending = Ending.CLOSE
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        received = b""
        while not _is_whole_request(received):
            block = sock.recv(_BLOCK_BYTES)
            if not block:
                return
            received += block
        sock.sendall(self.reply)
        if self.ending is Ending.RESET:
            reset_on_close(sock)
        sock.close()


def _is_whole_request(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)
