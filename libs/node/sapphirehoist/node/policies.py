"""Creates the decision policies that the settings name."""

from __future__ import annotations

from random import Random

from sapphirehoist.decisions import (
    AdmissionPolicy,
    AdmitAll,
    BudgetedRetry,
    ClassStatistics,
    LatencyTargetAdmission,
    LatencyTargetRouting,
    LeastInFlightRouting,
    RandomRouting,
    RetryPolicy,
    RoundRobinRouting,
    RoutingPolicy,
    UnlimitedRetry,
)
from sapphirehoist.settings import PolicySettings


def create_routing_policy(policies: PolicySettings, random: Random) -> RoutingPolicy:
    """Return a new routing policy as named in `policies`."""
    if policies.routing == "random":
        return RandomRouting(random)
    if policies.routing == "round_robin":
        return RoundRobinRouting()
    if policies.routing == "least_in_flight":
        return LeastInFlightRouting(random)
    return LatencyTargetRouting(random)


def create_admission_policy(
    policies: PolicySettings, class_statistics: ClassStatistics
) -> AdmissionPolicy:
    """Return a new admission policy as named in `policies`."""
    return (
        AdmitAll()
        if policies.admission == "none"
        else LatencyTargetAdmission(class_statistics)
    )


def create_retry_policy(policies: PolicySettings) -> RetryPolicy:
    """Return a new retry policy as named in `policies`."""
    return UnlimitedRetry() if policies.retry == "unlimited" else BudgetedRetry()
