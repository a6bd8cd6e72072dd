"""Table transactions and rows for each claimed request, by rate at one node."""

from __future__ import annotations

from itertools import count
from random import Random

import gevent
from fits import print_points

from sapphirehoist.claims import Claim, ClaimKey, ClaimRegistry
from sapphirehoist.clock import ManualClock
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done
from sapphirehoist.storage import MemoryObjectStore
from sapphirehoist.testing import FaultyTable

_RATES = (1, 10, 50, 100, 200, 400, 800)
_SECONDS = 5.0
_TABLE_ANSWER_S = 0.005
_CALL_S = 0.05


def measure_claim_slopes() -> None:
    """Print transactions and rows for each request."""
    print("== claims: counted, the same in each run ==")
    costs = [_measure(rate) for rate in _RATES]
    transactions = [cost[0] for cost in costs]
    rows = [cost[1] for cost in costs]
    print_points(
        "claims", "transactions per request by requests/s", _RATES, transactions
    )
    print_points("claims", "rows written per request by requests/s", _RATES, rows)


def _measure(rate: int) -> tuple[float, float]:
    clock = ManualClock()
    random = Random(rate)
    table = FaultyTable(clock)
    table.delay_s = _TABLE_ANSWER_S
    ids = count()
    registry = ClaimRegistry(
        "entry-1",
        table,
        MemoryObjectStore(),
        clock,
        lambda: str(next(ids)),
        Metrics(),
    )
    requests = 0
    elapsed = 0.0

    def request(key: str) -> None:
        claim = registry.claim(ClaimKey("studio", key), "a" * 64, clock.monotonic() + 5)
        assert isinstance(claim, Claim), claim
        clock.sleep(_CALL_S)
        registry.finish(claim, Done(b"done"))

    while elapsed < _SECONDS:
        gap = random.expovariate(rate)
        elapsed += gap
        clock.advance(gap)
        requests += 1
        gevent.spawn(request, f"key-{requests}")
    clock.advance(5)
    return table.transactions / requests, table.rows_written / requests
