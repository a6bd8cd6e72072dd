"""Gateway node: dispatches callers' requests to stages and endpoints."""

from __future__ import annotations

from sapphirehoist.gateway.codec import (
    CallCodec,
    DecodeFailure,
    ForwardingMetadata,
    GenerationRequest,
    LoadReport,
    PieceComputed,
    PieceFailed,
    PieceRequest,
    ReplyMetadata,
    RequestMetadata,
    StageResults,
)
from sapphirehoist.gateway.evacuation_sync import EvacuationSync
from sapphirehoist.gateway.node import GatewayDependencies, GatewayNode, GatewaySettings

__all__ = [
    "CallCodec",
    "DecodeFailure",
    "EvacuationSync",
    "ForwardingMetadata",
    "GatewayDependencies",
    "GatewayNode",
    "GatewaySettings",
    "GenerationRequest",
    "LoadReport",
    "PieceComputed",
    "PieceFailed",
    "PieceRequest",
    "ReplyMetadata",
    "RequestMetadata",
    "StageResults",
]
