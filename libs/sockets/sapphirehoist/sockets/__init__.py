"""TCP socket options shared by all connections."""

from __future__ import annotations

from sapphirehoist.sockets.options import configure_tcp_socket, reset_on_close

__all__ = ["configure_tcp_socket", "reset_on_close"]
