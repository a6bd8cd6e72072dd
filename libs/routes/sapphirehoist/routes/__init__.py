"""Routing configuration: routes, services, teams and caller limits, with lookup."""

from __future__ import annotations

from sapphirehoist.routes.model import (
    CallerLimits,
    ModelEngineSpec,
    RequestKind,
    Route,
    RoutingConfig,
    Service,
    StageEndpointSpec,
    StageSpec,
    Team,
    TrafficShare,
    allowed_regions,
)
from sapphirehoist.routes.table import RouteTable, RoutingReplica, pick_service

__all__ = [
    "CallerLimits",
    "ModelEngineSpec",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "RoutingReplica",
    "Service",
    "StageEndpointSpec",
    "StageSpec",
    "Team",
    "TrafficShare",
    "allowed_regions",
    "pick_service",
]
