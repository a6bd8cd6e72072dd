"""Policies for routing, admission, team shares, batching and retries.

Each kind of policy is an abstract class with a default implementation and baselines.
The package also tracks the load of endpoints and ejects those that fail or are slow.
"""

from __future__ import annotations

from sapphirehoist.decisions.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    AdmissionQuery,
    AdmitAll,
    Admitted,
    LatencyTargetAdmission,
    NotAdmitted,
)
from sapphirehoist.decisions.batching import (
    URGENCY_LEVELS,
    BatchingPolicy,
    EarliestStartPolicy,
    NearestStageEndpointPolicy,
    QueuedPiece,
    SinglePieceBatching,
    StageEndpointCandidate,
    StageEndpointPolicy,
    UrgentFirstBatching,
    urgency_level,
)
from sapphirehoist.decisions.brittle_endpoints import BrittleEndpoints
from sapphirehoist.decisions.capacity import most_capable
from sapphirehoist.decisions.class_statistics import ClassStatistics
from sapphirehoist.decisions.crash_quarantine import (
    CrashQuarantine,
    EngineCrash,
    QuarantineHold,
    QuarantineState,
    is_request_trait,
    request_trait,
)
from sapphirehoist.decisions.declared_rates import RateHolders, cold_burst
from sapphirehoist.decisions.endpoint_backoff import MAX_BACKOFF_S, EndpointBackoff
from sapphirehoist.decisions.endpoint_limits import (
    EndpointLimits,
    LimitState,
    holder_count,
    limit_share,
)
from sapphirehoist.decisions.endpoint_loads import EndpointLoad, EndpointLoads
from sapphirehoist.decisions.endpoint_memory import EndpointMemory, HeldBytes
from sapphirehoist.decisions.endpoint_paths import EndpointPaths
from sapphirehoist.decisions.endpoint_restarts import EndpointRestarts
from sapphirehoist.decisions.engine_pace import EnginePaces, PaceState
from sapphirehoist.decisions.entry_selection import (
    EntryVm,
    VmLoad,
    next_vm_load,
    select_entries,
)
from sapphirehoist.decisions.evacuations import EvacuatedZones, EvacuationState
from sapphirehoist.decisions.event_stream import EventSplitter, is_event_stream
from sapphirehoist.decisions.fleet_shares import FleetShares
from sapphirehoist.decisions.forecast import CallerTimeouts, ForecastCorrection
from sapphirehoist.decisions.memory_budget import (
    MemoryBudget,
    SelfSheddingBudget,
    budget_bytes,
)
from sapphirehoist.decisions.open_connections import (
    ConnectionPhase,
    LongestWaitingGivesWay,
    NewestIsRefused,
    OpenConnections,
)
from sapphirehoist.decisions.path_evidence import (
    PathObservation,
    PathVerdict,
    judge_endpoint,
)
from sapphirehoist.decisions.placement import (
    Distance,
    GenerationPlacement,
    LeastLoadedPlacement,
    PlacementCandidate,
    PlacementPolicy,
    PlacementRequest,
    PredictedPlacement,
    PromptPart,
    zone_distance,
)
from sapphirehoist.decisions.placement_choice import ScoredCandidate, SpreadChoice
from sapphirehoist.decisions.prefill_speed import PrefillSpeed
from sapphirehoist.decisions.response_times import ResponseTimes
from sapphirehoist.decisions.retries import (
    AttemptFailure,
    BudgetedRetry,
    RetryAction,
    RetryPolicy,
    UnlimitedRetry,
)
from sapphirehoist.decisions.retry_budget import SharedRetryBudget
from sapphirehoist.decisions.return_order import Arrival, ReturnOrder
from sapphirehoist.decisions.routing import (
    AttemptRequirements,
    LatencyTargetRouting,
    LeastInFlightRouting,
    RandomRouting,
    RoundRobinRouting,
    RoutingCandidate,
    RoutingPolicy,
)
from sapphirehoist.decisions.stage_places import (
    EndpointState,
    PlaceDeclined,
    PlaceOffer,
    PlaceRequest,
    StagePlaces,
    StageWork,
    predict_starts,
    unreachable_work,
)
from sapphirehoist.decisions.stalled_streams import stall_timeout_s
from sapphirehoist.decisions.stream_continuity import (
    AdmittedEvents,
    StreamContinuity,
    parse_event_id,
)
from sapphirehoist.decisions.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    TrackedStream,
    infer_origin,
    may_infer_origin,
    stream_holders,
)
from sapphirehoist.decisions.subset import endpoint_subset, rendezvous_score
from sapphirehoist.decisions.team_shares import TeamShares
from sapphirehoist.decisions.tunnel_helpers import TunnelHelper, TunnelHelpers
from sapphirehoist.decisions.version_watch import VersionWatch, VersionWatches

__all__ = [
    "MAX_BACKOFF_S",
    "URGENCY_LEVELS",
    "AdmissionDecision",
    "AdmissionPolicy",
    "AdmissionQuery",
    "AdmitAll",
    "Admitted",
    "AdmittedEvents",
    "Arrival",
    "AttemptFailure",
    "AttemptRequirements",
    "BatchingPolicy",
    "BrittleEndpoints",
    "BudgetedRetry",
    "CallerTimeouts",
    "ClassStatistics",
    "ConnectionPhase",
    "CrashQuarantine",
    "Distance",
    "EarliestStartPolicy",
    "EndpointBackoff",
    "EndpointLimits",
    "EndpointLoad",
    "EndpointLoads",
    "EndpointMemory",
    "EndpointPaths",
    "EndpointRestarts",
    "EndpointState",
    "EngineCrash",
    "EnginePaces",
    "EntryVm",
    "EvacuatedZones",
    "EvacuationState",
    "EventSplitter",
    "FleetShares",
    "ForecastCorrection",
    "GenerationPlacement",
    "HeldBytes",
    "LatencyTargetAdmission",
    "LatencyTargetRouting",
    "LeastInFlightRouting",
    "LeastLoadedPlacement",
    "LimitState",
    "LongestWaitingGivesWay",
    "MemoryBudget",
    "NearestStageEndpointPolicy",
    "NewestIsRefused",
    "NotAdmitted",
    "OpenConnections",
    "PaceState",
    "PathObservation",
    "PathVerdict",
    "PlaceDeclined",
    "PlaceOffer",
    "PlaceRequest",
    "PlacementCandidate",
    "PlacementPolicy",
    "PlacementRequest",
    "PredictedPlacement",
    "PrefillSpeed",
    "PromptPart",
    "QuarantineHold",
    "QuarantineState",
    "QueuedPiece",
    "RandomRouting",
    "RateHolders",
    "ResponseTimes",
    "RetryAction",
    "RetryPolicy",
    "ReturnOrder",
    "RoundRobinRouting",
    "RoutingCandidate",
    "RoutingPolicy",
    "ScoredCandidate",
    "SelfSheddingBudget",
    "SharedRetryBudget",
    "SinglePieceBatching",
    "SpreadChoice",
    "StageEndpointCandidate",
    "StageEndpointPolicy",
    "StagePlaces",
    "StageWork",
    "StreamContinuity",
    "StreamOrigin",
    "StreamOrigins",
    "TeamShares",
    "TrackedStream",
    "TunnelHelper",
    "TunnelHelpers",
    "UnlimitedRetry",
    "UrgentFirstBatching",
    "VersionWatch",
    "VersionWatches",
    "VmLoad",
    "budget_bytes",
    "cold_burst",
    "endpoint_subset",
    "holder_count",
    "infer_origin",
    "is_event_stream",
    "is_request_trait",
    "judge_endpoint",
    "limit_share",
    "may_infer_origin",
    "most_capable",
    "next_vm_load",
    "parse_event_id",
    "predict_starts",
    "rendezvous_score",
    "request_trait",
    "select_entries",
    "stall_timeout_s",
    "stream_holders",
    "unreachable_work",
    "urgency_level",
    "zone_distance",
]
