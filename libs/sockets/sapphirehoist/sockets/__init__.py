"""TCP socket options and connection counts shared by all connections."""

from __future__ import annotations

from sapphirehoist.sockets.connection_counts import ConnectionCounts
from sapphirehoist.sockets.options import configure_tcp_socket, reset_on_close

__all__ = ["ConnectionCounts", "configure_tcp_socket", "reset_on_close"]
