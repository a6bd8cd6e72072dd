"""TCP socket options, connection counts and turns shared by all connections."""

from __future__ import annotations

from sapphirehoist.sockets.connection_counts import ConnectionCounts
from sapphirehoist.sockets.options import configure_tcp_socket, reset_on_close
from sapphirehoist.sockets.work_turns import WorkTurns

__all__ = ["ConnectionCounts", "WorkTurns", "configure_tcp_socket", "reset_on_close"]
