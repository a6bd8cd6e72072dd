"""Memory of the state of a node, per object."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from fits import print_fit

from sapphirehoist.clock import HybridClock, SystemClock
from sapphirehoist.configuration import Catalog, Change, Endpoint, EndpointKind, Team
from sapphirehoist.decisions import EndpointLoads
from sapphirehoist.membership import Member, MemberUpdate, MemberView, Status
from sapphirehoist.observability import Metrics, Timeline

_OBJECT_COUNTS = (100, 400, 1600)
_TARGET_ENDPOINTS = 6800
_TARGET_TEAMS = 980
_CHANGE_COUNT = 5


def measure_state_slopes() -> None:
    """Print the memory of each kind of state in bytes per object."""
    print("== state: allocated bytes (tracemalloc) ==")
    series: tuple[tuple[str, Callable[[int], object]], ...] = (
        ("configured endpoints", _build_endpoint_catalog),
        ("configured teams", _build_team_catalog),
        ("members", _build_member_view),
        ("loads of endpoints", _build_endpoint_loads),
        ("timeline events", _build_timeline),
        ("latency series", _build_latency_metrics),
    )
    for label, build in series:
        values = [
            float(_measure_allocated_bytes(build, size)) for size in _OBJECT_COUNTS
        ]
        print_fit(label, "bytes", _OBJECT_COUNTS, values, "n")
    print(f"catalog at target size: {_measure_change_ms():.1f} ms of CPU per change")


def _measure_change_ms() -> float:
    """Return the processor time of a change at the target size, in milliseconds."""
    objects = [
        *_build_endpoint_catalog(_TARGET_ENDPOINTS).objects(),
        *_build_team_catalog(_TARGET_TEAMS).objects(),
    ]
    catalog = Catalog(1, objects)
    cpu_before_s = time.process_time()
    for number in range(_CHANGE_COUNT):
        team = Team("team-5", f"{number + 10**6:064x}")
        change = Change(catalog.version + 1, f"change-{number}", "bench", "", [team])
        catalog = catalog.with_change(change)
        assert catalog.validation_errors() == []
    return 1000 * (time.process_time() - cpu_before_s) / _CHANGE_COUNT


def _measure_allocated_bytes(build: Callable[[int], object], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    state = build(count)
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert state is not None
    return allocated_bytes


def _build_endpoint_catalog(count: int) -> Catalog:
    kind = EndpointKind.ENGINE
    return Catalog(
        1,
        [
            Endpoint(
                f"engine-{n}",
                f"http://10.0.{n // 256}.{n % 256}:8000",
                kind,
                f"model-{n % 37}",
                "vest",
                "vest-a",
                idempotent_calls=[f"generate-{n}"],
            )
            for n in range(count)
        ],
    )


def _build_team_catalog(count: int) -> Catalog:
    return Catalog(1, [Team(f"team-{n}", f"{n:064x}") for n in range(count)])


def _build_member_view(count: int) -> object:
    view = MemberView()
    for n in range(count):
        member = Member(
            f"entry-{n}",
            1_796_337_632_000 + n,
            "vest",
            "vest-a",
            f"tcp://10.1.{n // 256}.{n % 256}:7300",
            f"http://10.1.{n // 256}.{n % 256}:7100",
            f"http://10.1.{n // 256}.{n % 256}:7200",
        )
        update = MemberUpdate(
            member.vm, member.incarnation, 0, Status.ALIVE, False, member
        )
        view.merge(update)
    return view


def _build_endpoint_loads(count: int) -> object:
    loads = EndpointLoads(SystemClock())
    for n in range(count):
        loads.record_success(f"engine-{n}", 0.5, 100.0)
    return loads


def _build_timeline(count: int) -> object:
    timeline = Timeline("entry-1", HybridClock(SystemClock()))
    for n in range(count):
        timeline.record("member_suspect", f"entry-{n}")
    return timeline


def _build_latency_metrics(count: int) -> object:
    metrics = Metrics()
    random = Random(1)
    for n in range(count // 10):
        for _ in range(10):
            metrics.observe_latency("stage_seconds", random.random(), stage=str(n))
    return metrics
