"""Processor time of one policy decision, by number of endpoints and teams."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from fits import print_measurements

from sapphirehoist.clock import HybridClock, ManualClock, SystemClock
from sapphirehoist.configuration import Catalog, Endpoint, EndpointKind
from sapphirehoist.decisions import (
    AttemptRequirements,
    EndpointLoads,
    LatencyTargetRouting,
    TeamShares,
)
from sapphirehoist.endpoints import EndpointStatuses
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import MemoryNetwork, MemoryTransport, PeerBus
from sapphirehoist.pipeline import EndpointPools

_ENDPOINT_COUNTS = (10, 100, 1000, 6800)
_TEAM_COUNTS = (5, 50, 200, 980)
_MAX_POOLS = 37
_REPETITIONS = 200
_REGIONS = ("vest", "nord", "ost")


def measure_decision_slopes() -> None:
    """Print the processor time of one decision in microseconds."""
    print("== decisions: timed, varies between runs ==")
    routing_us = [_measure_routing_us(size) for size in _ENDPOINT_COUNTS]
    print_measurements(
        "one routing decision", "us, by endpoints", _ENDPOINT_COUNTS, routing_us
    )
    team_share_us = [_measure_team_share_us(size) for size in _TEAM_COUNTS]
    print_measurements(
        "one team share query", "us, by active teams", _TEAM_COUNTS, team_share_us
    )


def _measure_routing_us(endpoint_count: int) -> float:
    clock = SystemClock()
    pools = EndpointPools(
        "vm-1", "vest", _make_endpoint_statuses(), EndpointLoads(clock)
    )
    kind = EndpointKind.ENGINE
    pools.apply_catalog(
        Catalog(
            1,
            [
                Endpoint(
                    f"engine-{n}",
                    f"http://10.0.{n // 256}.{n % 256}:80",
                    kind,
                    f"model-{n % min(_MAX_POOLS, max(1, endpoint_count // 10))}",
                    _REGIONS[n % 3],
                    "a",
                )
                for n in range(endpoint_count)
            ],
        )
    )
    routing = LatencyTargetRouting(Random(1))
    requirements = AttemptRequirements(100.0, 1.0, "studio/prefix")
    return _mean_cpu_us(
        lambda: routing.choose(requirements, pools.candidates("model-0", set()))
    )


def _measure_team_share_us(team_count: int) -> float:
    shares = TeamShares(SystemClock())
    for number in range(team_count):
        shares.record_demand(f"team-{number}", 1.0 + number % 7)
        shares.record_admitted(f"team-{number}", 1.0)
    weights = {f"team-{number}": 1.0 for number in range(team_count)}
    return _mean_cpu_us(lambda: shares.granted_fraction("team-3", weights))


def _mean_cpu_us(action: Callable[[], object]) -> float:
    cpu_before_s = time.process_time()
    for _ in range(_REPETITIONS):
        action()
    return 1e6 * (time.process_time() - cpu_before_s) / _REPETITIONS


def _make_endpoint_statuses() -> EndpointStatuses:
    clock = ManualClock()
    hybrid = HybridClock(clock)
    metrics = Metrics()
    transport = MemoryTransport(MemoryNetwork(clock), "a")
    bus = PeerBus("vm-1", transport, clock, hybrid, metrics)
    timeline = Timeline("vm-1", hybrid)
    member = Member("vm-1", 1, "vest", "a", "a", "")
    fleet = Fleet(member, bus, metrics, timeline)
    return EndpointStatuses(fleet, bus, metrics, timeline)
