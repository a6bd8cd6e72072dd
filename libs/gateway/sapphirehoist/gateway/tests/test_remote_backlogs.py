"""Backlogs of endpoints that other nodes own."""

from __future__ import annotations

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.gateway.pieces import Backlog
from sapphirehoist.gateway.remote_backlogs import RemoteBacklogs
from sapphirehoist.routes import StagePool

SPEC = StagePool(1, 2, 4, call_s=0.2, piece_s=0.0, room_bytes=0, keep_s=4.0)


def test_what_an_owner_told_is_worked_off_with_time() -> None:
    clock = ManualClock()
    backlogs = RemoteBacklogs(clock)
    backlogs.take("s-1", Backlog((0.5, 1.0)))
    clock.advance(0.4)
    assert backlogs.estimate("s-1", SPEC).on_time_s(0) == pytest.approx(0.1)
    backlogs.forget("s-1")
    assert backlogs.estimate("s-1", SPEC).on_time_s(0) == 0.0


def test_own_pieces_count_until_they_end() -> None:
    """Requests that come together do not all choose the same endpoint."""
    backlogs = RemoteBacklogs(ManualClock())
    backlogs.begin("s-1", priority=1, pieces=8)
    assert backlogs.estimate("s-1", SPEC).on_time_s(0) == 0.0
    assert backlogs.estimate("s-1", SPEC).on_time_s(1) == pytest.approx(0.4)
    backlogs.end("s-1", priority=1, pieces=8)
    assert backlogs.estimate("s-1", SPEC).on_time_s(1) == 0.0
