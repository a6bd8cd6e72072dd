"""Joining: every node ends up on the roster and knows every other."""

from __future__ import annotations

from sapphirehoist.testing import InProcessFleet


def test_nodes_that_join_at_once_meet(fleet: InProcessFleet) -> None:
    for number in range(3):
        fleet.start(f"vm-{number}")
        # Every node reads the roster before any of them is on it.
        fleet.tables[f"vm-{number}"].delay_s = 0.2
    fleet.run_until_joined()


def test_one_seed_gives_one_time_line() -> None:
    def run() -> list[list[object]]:
        fleet = InProcessFleet(seed=7)
        for number in range(3):
            fleet.start(f"vm-{number}")
        fleet.run(10)
        fleet.commit("vm-0", [])
        fleet.run(10)
        events = [list(node.timeline.events()) for node in fleet.nodes.values()]
        fleet.close()
        return events

    assert run() == run()
