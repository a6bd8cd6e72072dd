"""A leaving endpoint gets no new work 3 s after any node has seen that it leaves."""

from __future__ import annotations

import pytest

from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import EndpointReport
from sapphirehoist.storage import VmState
from sapphirehoist.testing import InProcessFleet

PROPAGATION_BOUND_S = 3.0
FLEET_SIZE = 8


@pytest.fixture(autouse=True)
def fleet_with_engines(fleet: InProcessFleet) -> None:
    fleet.vm_list.states = [VmState(f"vm-{n}") for n in range(FLEET_SIZE)]
    fleet.vm_list.states += [
        VmState("engine-1", False, 1),
        VmState("engine-2", False, 1),
    ]
    for number in range(FLEET_SIZE):
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


def nodes_routing_to(fleet: InProcessFleet, endpoint: str) -> list[str]:
    """Return the nodes whose candidates for new work include `endpoint`."""
    return [
        vm
        for vm, node in fleet.nodes.items()
        if endpoint
        in {c.name for c in node.endpoint_pools.candidates("assistant", set())}
    ]


def test_leaving_header_of_the_endpoint_reaches_all_nodes(
    fleet: InProcessFleet,
) -> None:
    assert len(nodes_routing_to(fleet, "engine-1")) == FLEET_SIZE
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    assert nodes_routing_to(fleet, "engine-1") == []
    assert len(nodes_routing_to(fleet, "engine-2")) == FLEET_SIZE


def test_leaving_endpoint_is_known_within_the_bound_on_64_nodes() -> None:
    fleet = InProcessFleet(seed=2, delay_s=0.03)
    for number in range(64):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    fleet.run(3)
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    assert all(n.endpoint_statuses.is_leaving("engine-1") for n in fleet.nodes.values())
    fleet.close()


def test_operator_drain_works_while_the_table_is_unavailable(
    fleet: InProcessFleet,
) -> None:
    for table in fleet.tables.values():
        table.is_down = True
    fleet.nodes["vm-5"].endpoint_statuses.drain("engine-1")
    fleet.run(PROPAGATION_BOUND_S)
    assert nodes_routing_to(fleet, "engine-1") == []


@pytest.mark.parametrize("peer", range(1, FLEET_SIZE))
def test_leaving_endpoint_is_known_despite_a_partitioned_link(
    fleet: InProcessFleet, peer: int
) -> None:
    fleet.partition("vm-0", f"vm-{peer}")
    fleet.nodes["vm-0"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    assert nodes_routing_to(fleet, "engine-1") == []


def test_drain_by_a_node_that_has_not_read_the_vm_list_is_applied(
    fleet: InProcessFleet,
) -> None:
    vm_states, fleet.vm_list.states = fleet.vm_list.states, []
    new_node = fleet.start("vm-late")
    fleet.run(0.5)
    new_node.endpoint_statuses.drain("engine-1")
    fleet.run(PROPAGATION_BOUND_S)
    fleet.vm_list.states = vm_states
    assert nodes_routing_to(fleet, "engine-1") == []
    fleet.run(30)  # the VM list says that incarnation 1 is not leaving
    assert nodes_routing_to(fleet, "engine-1") == []


def test_stale_vm_list_does_not_undo_leaving(fleet: InProcessFleet) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(60)  # the VM list keeps saying that incarnation 1 is not leaving
    assert nodes_routing_to(fleet, "engine-1") == []


def test_new_incarnation_of_a_leaving_endpoint_gets_work(fleet: InProcessFleet) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    fleet.vm_list.states = [VmState("engine-1", False, 2)]
    fleet.run(30)
    assert len(nodes_routing_to(fleet, "engine-1")) == FLEET_SIZE
    # A delayed update of the old incarnation is ignored.
    fleet.nodes["vm-6"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    assert len(nodes_routing_to(fleet, "engine-1")) == FLEET_SIZE


def test_leaving_endpoint_is_read_from_the_vm_list(fleet: InProcessFleet) -> None:
    fleet.vm_list.states = [VmState("engine-1", True, 1)]
    waited_s = 0.0
    while len(nodes_routing_to(fleet, "engine-1")) == FLEET_SIZE:
        fleet.run(0.1)
        waited_s += 0.1
        assert waited_s < 15, "no node has read the VM list"
    fleet.run(PROPAGATION_BOUND_S)
    assert nodes_routing_to(fleet, "engine-1") == []


def test_node_that_joins_later_learns_of_leaving_endpoints(
    fleet: InProcessFleet,
) -> None:
    fleet.nodes["vm-3"].endpoint_statuses.observe("engine-1", EndpointReport(1, True))
    fleet.run(PROPAGATION_BOUND_S)
    fleet.start("vm-late")
    fleet.run(PROPAGATION_BOUND_S)
    assert nodes_routing_to(fleet, "engine-1") == []
