"""Gateway node: dispatches callers' requests to stages and endpoints."""

from __future__ import annotations

from sapphirehoist.gateway.dialect import (
    Assignment,
    BadCall,
    Call,
    CallDialect,
    Generation,
    LoadReport,
    PieceFailed,
    PieceMade,
    PieceOrder,
    ReplySigns,
    StageResults,
)
from sapphirehoist.gateway.node import GatewayNode, GatewayParts, GatewaySettings

__all__ = [
    "Assignment",
    "BadCall",
    "Call",
    "CallDialect",
    "GatewayNode",
    "GatewayParts",
    "GatewaySettings",
    "Generation",
    "LoadReport",
    "PieceFailed",
    "PieceMade",
    "PieceOrder",
    "ReplySigns",
    "StageResults",
]
