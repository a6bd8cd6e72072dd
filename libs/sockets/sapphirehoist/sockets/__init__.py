"""TCP socket options shared by all connections."""

from __future__ import annotations

from sapphirehoist.sockets.options import reset_on_close, watch_peer

__all__ = ["reset_on_close", "watch_peer"]
