"""Tests of the estimated backlogs of endpoints whose queues other nodes own."""

from __future__ import annotations

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.gateway.pieces import Backlog
from sapphirehoist.gateway.remote_backlogs import RemoteBacklogs
from sapphirehoist.routes import StageEndpointSpec

POOL_CONFIG = StageEndpointSpec(
    1,
    2,
    4,
    call_overhead_s=0.2,
    per_piece_s=0.0,
    result_capacity_bytes=0,
    result_ttl_s=4.0,
)


def test_reported_backlog_decreases_over_time() -> None:
    clock = ManualClock()
    backlogs = RemoteBacklogs(clock)
    backlogs.record_report("s-1", Backlog((0.5, 1.0)))
    clock.advance(0.4)
    assert backlogs.estimate("s-1", POOL_CONFIG).on_time_s(0) == pytest.approx(0.1)
    backlogs.discard("s-1")
    assert backlogs.estimate("s-1", POOL_CONFIG).on_time_s(0) == 0.0


def test_outstanding_pieces_count_until_they_finish() -> None:
    """If they were not counted, simultaneous requests would all choose one endpoint."""
    backlogs = RemoteBacklogs(ManualClock())
    backlogs.add_outstanding("s-1", priority=1, piece_count=8)
    assert backlogs.estimate("s-1", POOL_CONFIG).on_time_s(0) == 0.0
    assert backlogs.estimate("s-1", POOL_CONFIG).on_time_s(1) == pytest.approx(0.4)
    backlogs.remove_outstanding("s-1", priority=1, piece_count=8)
    assert backlogs.estimate("s-1", POOL_CONFIG).on_time_s(1) == 0.0
