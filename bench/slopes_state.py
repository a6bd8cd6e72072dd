"""Memory of the state that a node holds, for each unit of it."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from fits import print_fit

from sapphirehoist.clock import HybridClock, SystemClock
from sapphirehoist.configuration import Catalog, Change, Endpoint, EndpointKind, Team
from sapphirehoist.decisions import LoadBook
from sapphirehoist.membership import Member, MemberNews, MemberView, Status
from sapphirehoist.observability import Metrics, Timeline

_SIZES = (100, 400, 1600)
_TARGET_ENDPOINTS = 6800
_TARGET_TEAMS = 980
_CHANGES = 5


def measure_state_slopes() -> None:
    """Print bytes of memory for each unit of state."""
    print("== state: allocated bytes (tracemalloc) ==")
    series: tuple[tuple[str, Callable[[int], object]], ...] = (
        ("configured endpoints", _endpoints),
        ("configured teams", _teams),
        ("members", _members),
        ("loads of endpoints", _loads),
        ("events of the time line", _events),
        ("latency series", _latencies),
    )
    for what, build in series:
        values = [float(_allocated(build, size)) for size in _SIZES]
        print_fit(what, "bytes", _SIZES, values, "n")
    print(f"catalog at the target's size: {_change_ms():.1f} ms of a core per change")


def _change_ms() -> float:
    """Return the processor time of a change with all endpoints and teams, in ms."""
    objects = [
        *_endpoints(_TARGET_ENDPOINTS).objects(),
        *_teams(_TARGET_TEAMS).objects(),
    ]
    catalog = Catalog(1, objects)
    started = time.process_time()
    for number in range(_CHANGES):
        put = Team("team-5", f"{number + 10**6:064x}")
        change = Change(catalog.version + 1, f"change-{number}", "bench", "", [put])
        catalog = catalog.with_change(change)
        assert catalog.faults() == []
    return 1000 * (time.process_time() - started) / _CHANGES


def _allocated(build: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build(size)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return used


def _endpoints(size: int) -> Catalog:
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
            for n in range(size)
        ],
    )


def _teams(size: int) -> Catalog:
    return Catalog(1, [Team(f"team-{n}", f"{n:064x}") for n in range(size)])


def _members(size: int) -> object:
    view = MemberView()
    for n in range(size):
        member = Member(
            f"entry-{n}",
            1_796_337_632_000 + n,
            "vest",
            "vest-a",
            f"tcp://10.1.{n // 256}.{n % 256}:7300",
            f"http://10.1.{n // 256}.{n % 256}:7100",
            f"http://10.1.{n // 256}.{n % 256}:7200",
        )
        news = MemberNews(member.vm, member.incarnation, 0, Status.ALIVE, False, member)
        view.merge(news)
    return view


def _loads(size: int) -> object:
    book = LoadBook(SystemClock())
    for n in range(size):
        book.succeed(f"engine-{n}", 0.5, 100.0)
    return book


def _events(size: int) -> object:
    timeline = Timeline("entry-1", HybridClock(SystemClock()))
    for n in range(size):
        timeline.record("member_suspect", f"entry-{n}")
    return timeline


def _latencies(size: int) -> object:
    metrics = Metrics()
    random = Random(1)
    for n in range(size // 10):
        for _ in range(10):
            metrics.observe_latency("stage_seconds", random.random(), stage=str(n))
    return metrics
