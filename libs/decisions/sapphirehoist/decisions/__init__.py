"""Routing, admission, team limits, retries and ejection, each beside its baselines."""

from __future__ import annotations

from sapphirehoist.decisions.admission import (
    Admission,
    AdmissionPolicy,
    AdmissionQuery,
    AdmitAll,
    Admitted,
    NotAdmitted,
    TargetAdmission,
)
from sapphirehoist.decisions.limits import TeamShares
from sapphirehoist.decisions.load import EndpointLoad, LoadBook
from sapphirehoist.decisions.retries import (
    Action,
    BudgetedRetry,
    Failure,
    RetryPolicy,
    UnlimitedRetry,
)
from sapphirehoist.decisions.routing import (
    Candidate,
    LeastInFlightRouting,
    RandomRouting,
    RoundRobinRouting,
    Route,
    RoutingPolicy,
    TargetRouting,
)
from sapphirehoist.decisions.subset import endpoint_subset
from sapphirehoist.decisions.targets import ClassTargets

__all__ = [
    "Action",
    "Admission",
    "AdmissionPolicy",
    "AdmissionQuery",
    "AdmitAll",
    "Admitted",
    "BudgetedRetry",
    "Candidate",
    "ClassTargets",
    "EndpointLoad",
    "Failure",
    "LeastInFlightRouting",
    "LoadBook",
    "NotAdmitted",
    "RandomRouting",
    "RetryPolicy",
    "RoundRobinRouting",
    "Route",
    "RoutingPolicy",
    "TargetAdmission",
    "TargetRouting",
    "TeamShares",
    "UnlimitedRetry",
    "endpoint_subset",
]
