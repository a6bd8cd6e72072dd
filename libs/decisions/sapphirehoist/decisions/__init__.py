"""Policies for routing, admission, team shares, batching and retries.

Each kind of policy is an abstract class with a default implementation and baselines.
The package also tracks the load of endpoints and ejects those that fail or are slow.
"""

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
    URGENCY_LEVELS,
    BatchPolicy,
    NearestStageEndpoint,
    OneByOne,
    QueuedPiece,
    SoonestStageEndpoint,
    StageEndpoint,
    StageEndpointPolicy,
    UrgentFirst,
    urgency_level,
)
from sapphirehoist.decisions.forecast import CallerPatience, ForecastCorrection
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
from sapphirehoist.decisions.subset import endpoint_subset, rendezvous_score
from sapphirehoist.decisions.targets import ClassTargets

__all__ = [
    "URGENCY_LEVELS",
    "Action",
    "Admission",
    "AdmissionPolicy",
    "AdmissionQuery",
    "AdmitAll",
    "Admitted",
    "BatchPolicy",
    "BudgetedRetry",
    "CallerPatience",
    "Candidate",
    "ClassTargets",
    "Distance",
    "EndpointLoad",
    "Failure",
    "ForecastCorrection",
    "GenerationPlacement",
    "LeastInFlightRouting",
    "LeastLoadedPlacement",
    "LoadBook",
    "NearestStageEndpoint",
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
    "SoonestStageEndpoint",
    "StageEndpoint",
    "StageEndpointPolicy",
    "TargetAdmission",
    "TargetRouting",
    "TeamShares",
    "UnlimitedRetry",
    "UrgentFirst",
    "Work",
    "endpoint_subset",
    "rendezvous_score",
    "urgency_level",
]
