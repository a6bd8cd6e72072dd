"""A queue of an endpoint that has no room, so that nothing is sent."""

from __future__ import annotations

from typing import Any

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import LoadBook, SharedRetryBudget, UrgentFirst
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.dialect import PieceFailed, PieceOrder
from sapphirehoist.gateway.pieces import REASON_CANCELLED, Piece
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.gateway.stage_queue import EndpointQueue, QueueParts
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import StagePool

NAME = "s-1"
POOL = ["s-1", "s-2", "s-3"]
SPEC = StagePool(1, 2, 4, call_s=0.2, piece_s=0.0, room_bytes=1, keep_s=4.0)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def queue(clock: ManualClock) -> EndpointQueue:
    metrics = Metrics()
    directory = EndpointDirectory(clock, metrics)
    pools = EndpointPools("zone-a", {"zone-a": "region-a"}, directory, LoadBook(clock))
    # Nothing is sent, so neither connections nor a dialect are needed.
    unused: Any = None
    budget = SharedRetryBudget(0.2, 10, 10, lambda: 1, clock)
    parts = QueueParts(pools, UrgentFirst(), unused, unused, budget, clock, metrics)
    record = EndpointRecord(NAME, "encode", "10.0.0.1:1", "zone-a", 1)
    return EndpointQueue(record, lambda: SPEC, parts)


def piece(request_id: str, priority: int = 0) -> Piece:
    order = PieceOrder(request_id, 0, 0, 0.0, "k", ())
    return Piece(order, 9.0, 5.0, priority, result_bytes=1_000)


class TestCancel:
    def test_whoever_waits_for_a_cancelled_piece_is_told(
        self, queue: EndpointQueue
    ) -> None:
        """The owner's task would wait for ever, and the sender count it as waiting."""
        cancelled, other = piece("request-1"), piece("request-2")
        queue.submit([cancelled])
        queue.submit([other])
        queue.cancel("request-1")
        assert cancelled.result.ready()
        assert cancelled.result.get() == PieceFailed(REASON_CANCELLED)
        assert not other.result.ready()


class TestBacklog:
    def test_an_endpoint_that_fails_is_behind_until_it_gets_work_again(
        self, queue: EndpointQueue, clock: ManualClock
    ) -> None:
        loads = queue._parts.pools.loads
        assert queue.backlog().on_time_s(0) == 0.0
        for _ in range(3):
            loads.fail(NAME, POOL)
        assert queue.backlog().on_time_s(0) == pytest.approx(2.0)
        clock.advance(1.5)
        assert queue.backlog().on_time_s(0) == pytest.approx(0.5)

    def test_what_is_less_urgent_is_not_ahead(self, queue: EndpointQueue) -> None:
        queue.submit([piece(f"request-{i}", priority=2) for i in range(8)])
        backlog = queue.backlog()
        assert backlog.on_time_s(0) == backlog.on_time_s(1) == 0.0
        assert backlog.on_time_s(2) == pytest.approx(8 / 4 * SPEC.call_s)

    def test_what_is_late_counts_with_the_next_rank(
        self, queue: EndpointQueue, clock: ManualClock
    ) -> None:
        queue.submit([piece("request-1")])
        clock.advance(6.0)
        backlog = queue.backlog()
        assert backlog.on_time_s(0) == 0.0
        assert backlog.late_s(0) == backlog.on_time_s(1) == pytest.approx(0.05)
