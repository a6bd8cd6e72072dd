"""Processor time of single decisions, by the number of endpoints and teams."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from fits import print_points

from sapphirehoist.clock import HybridClock, ManualClock, SystemClock
from sapphirehoist.configuration import Catalog, Endpoint, EndpointKind
from sapphirehoist.decisions import LoadBook, Route, TargetRouting, TeamShares
from sapphirehoist.endpoints import EndpointStanding
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import MemoryNetwork, MemoryTransport, PeerBus
from sapphirehoist.pipeline import EndpointPools

_ENDPOINTS = (10, 100, 1000, 6800)
_TEAMS = (5, 50, 200, 980)
_POOLS = 37
_REPEATS = 200
_REGIONS = ("vest", "nord", "ost")


def measure_decision_slopes() -> None:
    """Print microseconds of a core for each decision."""
    print("== decisions: timed, varies between runs ==")
    routes = [_route_us(size) for size in _ENDPOINTS]
    print_points("one routing decision", "us, by endpoints", _ENDPOINTS, routes)
    shares = [_share_us(size) for size in _TEAMS]
    print_points("one question of share", "us, by busy teams", _TEAMS, shares)


def _route_us(size: int) -> float:
    clock = SystemClock()
    pools = EndpointPools("vm-1", "vest", _standing(), LoadBook(clock))
    kind = EndpointKind.ENGINE
    pools.use_catalog(
        Catalog(
            1,
            [
                Endpoint(
                    f"engine-{n}",
                    f"http://10.0.{n // 256}.{n % 256}:80",
                    kind,
                    f"model-{n % min(_POOLS, max(1, size // 10))}",
                    _REGIONS[n % 3],
                    "a",
                )
                for n in range(size)
            ],
        )
    )
    routing = TargetRouting(Random(1))
    route = Route(100.0, 1.0, "studio/prefix")
    return _time_us(lambda: routing.choose(route, pools.candidates("model-0", set())))


def _share_us(size: int) -> float:
    shares = TeamShares(SystemClock())
    for number in range(size):
        shares.ask(f"team-{number}", 1.0 + number % 7)
        shares.take(f"team-{number}", 1.0)
    weights = {f"team-{number}": 1.0 for number in range(size)}
    return _time_us(lambda: shares.granted_part("team-3", weights))


def _time_us(act: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(_REPEATS):
        act()
    return 1e6 * (time.process_time() - started) / _REPEATS


def _standing() -> EndpointStanding:
    clock = ManualClock()
    hybrid = HybridClock(clock)
    metrics = Metrics()
    transport = MemoryTransport(MemoryNetwork(clock), "a")
    bus = PeerBus("vm-1", transport, clock, hybrid, metrics)
    timeline = Timeline("vm-1", hybrid)
    member = Member("vm-1", 1, "vest", "a", "a", "")
    fleet = Fleet(member, bus, metrics, timeline)
    return EndpointStanding(fleet, bus, metrics, timeline)
