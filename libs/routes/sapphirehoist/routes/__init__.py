"""Routing configuration: routes, services, teams and caller limits, with lookup."""

from __future__ import annotations

from sapphirehoist.routes.model import (
    CallerLimits,
    CallKind,
    ModelPool,
    Route,
    RoutingConfig,
    Service,
    Share,
    StagePool,
    StageSpec,
    Team,
)
from sapphirehoist.routes.table import RouteHolder, RouteTable, pick_service

__all__ = [
    "CallKind",
    "CallerLimits",
    "ModelPool",
    "Route",
    "RouteHolder",
    "RouteTable",
    "RoutingConfig",
    "Service",
    "Share",
    "StagePool",
    "StageSpec",
    "Team",
    "pick_service",
]
