"""Control traffic per node stays within its budget as the fleet grows.

The budget is 3 KB/s per node at 370 nodes. An idle node may use a third of it; per day,
11,000 changes, 83 failures and 690 replacements share another third.
"""

from __future__ import annotations

import pytest

from sapphirehoist.configuration import Team
from sapphirehoist.testing import InProcessFleet

CONTROL_BUDGET_BYTES_S = 3_000
OVERHEAD_BYTES_PER_MESSAGE = 35
DAY_S = 86_400
CHANGES_PER_DAY = 11_000


def count_control_bytes(fleet: InProcessFleet) -> int:
    """Return bytes sent and received by all nodes, including protocol overhead."""
    names = ("peer_sent_bytes_total", "peer_received_bytes_total")
    nodes = fleet.nodes.values()
    payload = sum(node.metrics.total(name) for node in nodes for name in names)
    messages = 2 * sum(node.metrics.total("peer_sent_total") for node in nodes)
    return payload + messages * OVERHEAD_BYTES_PER_MESSAGE


@pytest.fixture(scope="module")
def costs() -> dict[int, tuple[float, float]]:
    """Return idle bytes/s and bytes per change, both per node, by fleet size."""
    measured = {}
    for size in (8, 32, 64):
        fleet = InProcessFleet(seed=size)
        for number in range(size):
            fleet.start(f"vm-{number}")
        fleet.run_until_joined(60)
        fleet.run(10)
        before = count_control_bytes(fleet)
        fleet.run(30)
        idle_bytes_s = (count_control_bytes(fleet) - before) / 30 / size
        before = count_control_bytes(fleet)
        fleet.commit("vm-3", [Team("team-1", "1" * 64)])
        fleet.run(5)
        assert {node.config_replica.version for node in fleet.nodes.values()} == {1}
        change_bytes = (count_control_bytes(fleet) - before) / size - 5 * idle_bytes_s
        measured[size] = (idle_bytes_s, change_bytes)
        fleet.close()
    return measured


def test_idle_bytes_are_independent_of_fleet_size(
    costs: dict[int, tuple[float, float]],
) -> None:
    assert costs[64][0] <= CONTROL_BUDGET_BYTES_S / 3
    assert costs[64][0] <= 1.1 * costs[8][0]


def test_change_bytes_grow_logarithmically_with_fleet_size(
    costs: dict[int, tuple[float, float]],
) -> None:
    bytes_per_doubling = (costs[64][1] - costs[8][1]) / 3
    # From 64 to 370 nodes, log2(370 / 64) = 2.53 doublings, rounded up.
    bytes_at_target_size = costs[64][1] + bytes_per_doubling * 2.6
    assert bytes_at_target_size * CHANGES_PER_DAY / DAY_S <= CONTROL_BUDGET_BYTES_S / 3
