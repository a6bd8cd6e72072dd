"""Creates the decision policies that the settings name."""

from __future__ import annotations

from random import Random

from sapphirehoist.decisions import (
    AdmissionPolicy,
    AdmitAll,
    BudgetedRetry,
    ClassTargets,
    LeastInFlightRouting,
    RandomRouting,
    RetryPolicy,
    RoundRobinRouting,
    RoutingPolicy,
    TargetAdmission,
    TargetRouting,
    UnlimitedRetry,
)
from sapphirehoist.settings import Policies


def create_routing_policy(policies: Policies, random: Random) -> RoutingPolicy:
    """Return a new routing policy as named in `policies`."""
    if policies.routing == "random":
        return RandomRouting(random)
    if policies.routing == "round_robin":
        return RoundRobinRouting()
    if policies.routing == "least_in_flight":
        return LeastInFlightRouting(random)
    return TargetRouting(random)


def create_admission_policy(
    policies: Policies, class_statistics: ClassTargets
) -> AdmissionPolicy:
    """Return a new admission policy as named in `policies`."""
    return (
        AdmitAll()
        if policies.admission == "none"
        else TargetAdmission(class_statistics)
    )


def create_retry_policy(policies: Policies) -> RetryPolicy:
    """Return a new retry policy as named in `policies`."""
    return UnlimitedRetry() if policies.retry == "unlimited" else BudgetedRetry()
