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
from sapphirehoist.decisions.batching import (
    Batch,
    BatchPolicy,
    OneByOne,
    QueuedPiece,
    StageEndpoint,
    UrgentFirst,
)
from sapphirehoist.decisions.limits import TeamShares
from sapphirehoist.decisions.load import EndpointLoad, LoadBook
from sapphirehoist.decisions.placement import (
    Distance,
    GenerationPlacement,
    LeastLoadedPlacement,
    Place,
    PlacementPolicy,
    PredictedPlacement,
    PromptPart,
    Work,
)
from sapphirehoist.decisions.retries import (
    Action,
    BudgetedRetry,
    Failure,
    RetryPolicy,
    UnlimitedRetry,
)
from sapphirehoist.decisions.retry_budget import SharedRetryBudget
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
    "Batch",
    "BatchPolicy",
    "BudgetedRetry",
    "Candidate",
    "ClassTargets",
    "Distance",
    "EndpointLoad",
    "Failure",
    "GenerationPlacement",
    "LeastInFlightRouting",
    "LeastLoadedPlacement",
    "LoadBook",
    "NotAdmitted",
    "OneByOne",
    "Place",
    "PlacementPolicy",
    "PredictedPlacement",
    "PromptPart",
    "QueuedPiece",
    "RandomRouting",
    "RetryPolicy",
    "RoundRobinRouting",
    "Route",
    "RoutingPolicy",
    "SharedRetryBudget",
    "StageEndpoint",
    "TargetAdmission",
    "TargetRouting",
    "TeamShares",
    "UnlimitedRetry",
    "UrgentFirst",
    "Work",
    "endpoint_subset",
]
