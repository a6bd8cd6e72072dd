"""An endpoint that is leaving gets no new work 3 s after the first sign anywhere."""

from __future__ import annotations

import pytest

from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import EndpointSigns
from sapphirehoist.storage import VmState
from sapphirehoist.testing import InProcessFleet

BOUND_S = 3.0
SIZE = 8


@pytest.fixture(autouse=True)
def nodes(fleet: InProcessFleet) -> None:
    fleet.vms.states = [VmState(f"vm-{n}") for n in range(SIZE)]
    fleet.vms.states += [VmState("engine-1", False, 1), VmState("engine-2", False, 1)]
    for number in range(SIZE):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    engines = [
        Endpoint(
            f"engine-{n}",
            f"http://engine-{n}:80",
            EndpointKind.ENGINE,
            "assistant",
            "vest",
            "vest-a",
        )
        for n in (1, 2)
    ]
    fleet.commit("vm-0", engines)
    fleet.run(10)


def users_of(fleet: InProcessFleet, endpoint: str) -> list[str]:
    """Return the nodes that may still send new work to `endpoint`."""
    return [
        vm
        for vm, node in fleet.nodes.items()
        if endpoint
        in {c.name for c in node.endpoint_pools.candidates("assistant", set())}
    ]


def test_its_own_sign_reaches_all(fleet: InProcessFleet) -> None:
    assert len(users_of(fleet, "engine-1")) == SIZE
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    assert users_of(fleet, "engine-1") == []
    assert len(users_of(fleet, "engine-2")) == SIZE


def test_in_a_larger_fleet() -> None:
    fleet = InProcessFleet(seed=2, delay_s=0.03)
    for number in range(64):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    fleet.run(3)
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    assert all(n.endpoint_statuses.is_leaving("engine-1") for n in fleet.nodes.values())
    fleet.close()


def test_an_operators_drain_with_the_table_down(fleet: InProcessFleet) -> None:
    for table in fleet.tables.values():
        table.is_down = True
    fleet.nodes["vm-5"].endpoint_statuses.drain("engine-1")
    fleet.run(BOUND_S)
    assert users_of(fleet, "engine-1") == []


@pytest.mark.parametrize("cut", range(1, SIZE))
def test_with_one_link_cut(fleet: InProcessFleet, cut: int) -> None:
    fleet.cut("vm-0", f"vm-{cut}")
    fleet.nodes["vm-0"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    assert users_of(fleet, "engine-1") == []


def test_a_drain_by_a_node_that_knows_no_incarnation(fleet: InProcessFleet) -> None:
    listed, fleet.vms.states = fleet.vms.states, []
    late = fleet.start("vm-late")
    fleet.run(0.5)
    late.endpoint_statuses.drain("engine-1")
    fleet.run(BOUND_S)
    fleet.vms.states = listed
    assert users_of(fleet, "engine-1") == []
    fleet.run(30)  # the list says incarnation 1 is not leaving
    assert users_of(fleet, "engine-1") == []


def test_a_stale_list_does_not_bring_it_back(fleet: InProcessFleet) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(60)  # the list says all the while that incarnation 1 is not leaving
    assert users_of(fleet, "engine-1") == []


def test_a_new_incarnation_is_a_new_endpoint(fleet: InProcessFleet) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    fleet.vms.states = [VmState("engine-1", False, 2)]
    fleet.run(30)
    assert len(users_of(fleet, "engine-1")) == SIZE
    # News of the old incarnation that arrives late changes nothing.
    fleet.nodes["vm-6"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    assert len(users_of(fleet, "engine-1")) == SIZE


def test_the_list_alone_is_enough(fleet: InProcessFleet) -> None:
    fleet.vms.states = [VmState("engine-1", True, 1)]
    waited_s = 0.0
    while len(users_of(fleet, "engine-1")) == SIZE:
        fleet.run(0.1)
        waited_s += 0.1
        assert waited_s < 15, "no node has read the list"
    fleet.run(BOUND_S)
    assert users_of(fleet, "engine-1") == []


def test_a_node_that_joins_later_knows(fleet: InProcessFleet) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointSigns(1, True))
    fleet.run(BOUND_S)
    fleet.start("vm-late")
    fleet.run(BOUND_S)
    assert users_of(fleet, "engine-1") == []
