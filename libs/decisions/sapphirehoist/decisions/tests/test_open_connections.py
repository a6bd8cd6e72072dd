"""Which callers find a place at a listener that a crowd of clients keeps full."""

from __future__ import annotations

from random import Random

import pytest

from sapphirehoist.decisions import (
    ConnectionPhase,
    LongestWaitingGivesWay,
    NewestIsRefused,
    OpenConnections,
)

MAX_COUNT = 50
CROWD, ORDINARY = 200, 400
# Each ordinary request is received and answered within this time.
REQUEST_S = 0.05


def count_answered(connections: OpenConnections, stops_in: str, seed: int) -> int:
    """Return how many of the ordinary callers in a crowd are answered.

    The crowd opens a connection for each that is closed, and stays in one phase. An
    ordinary caller comes every 20 ms, and needs its place for `REQUEST_S`.
    """
    random = Random(seed)
    phase = ConnectionPhase(stops_in)
    waiting = [f"crowd-{number}" for number in range(CROWD)]
    ends_at: dict[str, float] = {}
    answered = 0

    def take_place(conn: str, now: float) -> bool:
        if connections.is_full:
            victim = connections.choose_for_place(now)
            if victim is None:
                return False
            assert isinstance(victim, str)
            connections.remove(victim)
            if victim not in ends_at:
                waiting.append(victim)
            ends_at.pop(victim, None)
        connections.enter(conn, ConnectionPhase.IDLE, now)
        return True

    for number in range(ORDINARY):
        now = number * 0.02
        for conn in [c for c, end in ends_at.items() if end <= now]:
            del ends_at[conn]
            connections.remove(conn)
            answered += 1
        random.shuffle(waiting)
        for conn in waiting[:10]:
            waiting.remove(conn)
            if take_place(conn, now):
                connections.enter(conn, phase, now)
            else:
                waiting.append(conn)
        conn = f"ordinary-{number}"
        if take_place(conn, now):
            connections.enter(conn, ConnectionPhase.RECEIVING, now)
            ends_at[conn] = now + REQUEST_S
    return answered


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("phase", ["idle", "receiving", "delivering"])
def test_ordinary_callers_are_answered_in_a_crowd(phase: str, seed: int) -> None:
    """Refusing new connections would serve the crowd only."""
    answered = count_answered(LongestWaitingGivesWay(MAX_COUNT), phase, seed)
    baseline = count_answered(NewestIsRefused(MAX_COUNT), phase, seed)
    assert answered >= 0.95 * ORDINARY
    assert baseline <= 0.2 * ORDINARY


def test_request_that_is_answered_never_gives_way() -> None:
    connections = LongestWaitingGivesWay(1)
    connections.enter("a", ConnectionPhase.ANSWERING, 0.0)
    assert connections.is_full
    assert connections.choose_for_place(100.0) is None
    assert connections.choose_for_memory("b", 100.0) is None


def test_large_requests_do_not_interrupt_each_other() -> None:
    """Each of them would be interrupted before it is complete."""
    connections = LongestWaitingGivesWay(10)
    connections.enter("a", ConnectionPhase.RECEIVING, 0.0)
    assert connections.choose_for_memory("b", 0.5) is None
    assert connections.choose_for_memory("a", 5.0) is None
    assert connections.choose_for_memory("b", 5.0) == "a"
