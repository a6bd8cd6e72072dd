"""Table transactions and rows per claimed request, by request rate of one node."""

from __future__ import annotations

from itertools import count
from random import Random

import gevent
from fits import print_measurements

from sapphirehoist.claims import Claim, ClaimKey, ClaimRegistry
from sapphirehoist.clock import ManualClock
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done
from sapphirehoist.storage import MemoryObjectStore
from sapphirehoist.testing import FaultyTable

_REQUESTS_PER_S = (1, 10, 50, 100, 200, 400, 800)
_DURATION_S = 5.0
_TABLE_LATENCY_S = 0.005
_CALL_DURATION_S = 0.05


def measure_claim_slopes() -> None:
    """Print transactions and rows written per request."""
    print("== claims: counted, the same in each run ==")
    costs = [_measure_costs(rate) for rate in _REQUESTS_PER_S]
    transactions = [cost[0] for cost in costs]
    rows = [cost[1] for cost in costs]
    print_measurements(
        "claims",
        "transactions per request by requests/s",
        _REQUESTS_PER_S,
        transactions,
    )
    print_measurements(
        "claims", "rows written per request by requests/s", _REQUESTS_PER_S, rows
    )


def _measure_costs(requests_per_s: int) -> tuple[float, float]:
    """Return the table transactions and the rows written, both per request."""
    clock = ManualClock()
    random = Random(requests_per_s)
    table = FaultyTable(clock)
    table.delay_s = _TABLE_LATENCY_S
    ids = count()
    registry = ClaimRegistry(
        "entry-1",
        table,
        MemoryObjectStore(),
        clock,
        lambda: str(next(ids)),
        Metrics(),
    )
    request_count = 0
    elapsed_s = 0.0

    def run_request(key: str) -> None:
        claim = registry.claim(ClaimKey("studio", key), "a" * 64, clock.monotonic() + 5)
        assert isinstance(claim, Claim), claim
        clock.sleep(_CALL_DURATION_S)
        registry.finish(claim, Done(b"done"))

    while elapsed_s < _DURATION_S:
        interval_s = random.expovariate(requests_per_s)
        elapsed_s += interval_s
        clock.advance(interval_s)
        request_count += 1
        gevent.spawn(run_request, f"key-{request_count}")
    clock.advance(5)
    return table.transactions / request_count, table.rows_written / request_count
