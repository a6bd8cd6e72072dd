"""Every node joins the roster and discovers every other node."""

from __future__ import annotations

from sapphirehoist.testing import InProcessFleet


def test_nodes_that_join_concurrently_discover_each_other(
    fleet: InProcessFleet,
) -> None:
    for number in range(3):
        fleet.start(f"vm-{number}")
        # The delay makes every node read the roster before any of them has joined.
        fleet.tables[f"vm-{number}"].delay_s = 0.2
    fleet.run_until_joined()


def test_timelines_are_deterministic_for_a_seed() -> None:
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
