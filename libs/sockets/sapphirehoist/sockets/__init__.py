"""Options of TCP sockets that every user of them needs alike."""

from __future__ import annotations

from sapphirehoist.sockets.options import reset_on_close, watch_peer

__all__ = ["reset_on_close", "watch_peer"]
