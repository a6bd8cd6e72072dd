"""Socket options for detecting dead peers and for resetting connections."""

from __future__ import annotations

import socket
import struct

# A peer that answers no probe for about 3 s is taken as dead. TCP's default timeouts
# are minutes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000


def configure_tcp_socket(sock: socket.socket) -> None:
    """Set keepalive and user timeouts so that the kernel closes `sock` on a dead peer.

    Also disables Nagle's algorithm.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing `sock` reset the connection.

    The peer then cannot mistake a truncated response for a complete one.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
