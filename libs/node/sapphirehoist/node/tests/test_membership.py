"""Membership under crashes, partitions, table outages, restarts and shutdowns."""

from __future__ import annotations

import pytest

from sapphirehoist.membership import Status
from sapphirehoist.storage import VmState
from sapphirehoist.testing import InProcessFleet

DETECTION_BOUND_S = 8.0


def start_nodes(fleet: InProcessFleet, size: int) -> None:
    fleet.vm_list.states = [VmState(f"vm-{number}") for number in range(size)]
    for number in range(size):
        fleet.start(f"vm-{number}", "vest" if number < size // 2 else "ost")
    fleet.run_until_joined(30)
    fleet.run(5)


def statuses_in_views(fleet: InProcessFleet, vm: str) -> set[Status]:
    """Return the distinct statuses of `vm` in the views of the other nodes."""
    statuses = set()
    for name, node in fleet.nodes.items():
        update = node.fleet.view.get(vm)
        if name != vm and update is not None:
            statuses.add(update.status)
    return statuses


@pytest.mark.parametrize("size", [3, 8, 24])
def test_crash_is_detected_by_all_nodes(fleet: InProcessFleet, size: int) -> None:
    start_nodes(fleet, size)
    fleet.crash("vm-1")
    fleet.run(DETECTION_BOUND_S)
    assert statuses_in_views(fleet, "vm-1") == {Status.DEAD}
    entry_lists = [
        node.entry_directory.list_entries().entries for node in fleet.nodes.values()
    ]
    assert all("http://vm-1:7100" not in entries for entries in entry_lists)


def test_concurrent_crash_of_half_of_the_fleet_is_detected(
    fleet: InProcessFleet,
) -> None:
    start_nodes(fleet, 8)
    for number in range(4):
        fleet.crash(f"vm-{number}")
    fleet.run(20)
    for number in range(4):
        assert statuses_in_views(fleet, f"vm-{number}") == {Status.DEAD}
    for number in range(4, 8):
        assert statuses_in_views(fleet, f"vm-{number}") == {Status.ALIVE}


def test_partitioned_link_causes_no_suspicion(fleet: InProcessFleet) -> None:
    start_nodes(fleet, 8)
    for number in range(1, 8):
        fleet.partition("vm-0", f"vm-{number}")
        fleet.run(20)
        fleet.network.heal()
    for vm, node in fleet.nodes.items():
        assert statuses_in_views(fleet, vm) == {Status.ALIVE}, vm
        # Indirect heartbeats over another node prevent the suspicion.
        assert node.metrics.total("heartbeat_suspicions_total") == 0


def test_members_stay_alive_during_a_table_outage(fleet: InProcessFleet) -> None:
    start_nodes(fleet, 8)
    for table in fleet.tables.values():
        table.is_down = True
    fleet.run(120)
    for vm in fleet.nodes:
        assert statuses_in_views(fleet, vm) == {Status.ALIVE}


def test_members_recover_after_a_partition_between_regions(
    fleet: InProcessFleet,
) -> None:
    start_nodes(fleet, 8)
    for one in range(4):
        for other in range(4, 8):
            fleet.partition(f"vm-{one}", f"vm-{other}")
    fleet.run(60)
    assert Status.DEAD in statuses_in_views(fleet, "vm-0")
    fleet.network.heal()
    fleet.run(30)
    for vm in fleet.nodes:
        assert statuses_in_views(fleet, vm) == {Status.ALIVE}, vm


def test_restarted_vm_is_alive_as_a_new_incarnation(fleet: InProcessFleet) -> None:
    start_nodes(fleet, 3)
    fleet.crash("vm-1")
    fleet.run(DETECTION_BOUND_S)
    fleet.start("vm-1")
    fleet.run(10)
    assert statuses_in_views(fleet, "vm-1") == {Status.ALIVE}


def test_heartbeat_messages_per_member_do_not_grow_with_the_fleet(
    fleet: InProcessFleet,
) -> None:
    start_nodes(fleet, 24)
    before = sum(n.metrics.total("peer_sent_total") for n in fleet.nodes.values())
    fleet.run(30)
    after = sum(n.metrics.total("peer_sent_total") for n in fleet.nodes.values())
    assert (after - before) / 30 / 24 <= 2.1


def test_roster_entry_is_removed_after_a_shutdown_during_an_outage(
    fleet: InProcessFleet,
) -> None:
    start_nodes(fleet, 3)
    fleet.tables["vm-1"].is_down = True
    fleet.run_task(fleet.nodes["vm-1"].stop, timeout_s=70)
    del fleet.nodes["vm-1"]
    fleet.vm_list.states = [VmState("vm-0"), VmState("vm-2")]
    fleet.run(20)
    members = fleet.nodes["vm-0"].roster.read()
    assert isinstance(members, list)
    assert {member.vm for member in members} == {"vm-0", "vm-2"}


def test_gone_members_are_removed_from_the_view(fleet: InProcessFleet) -> None:
    start_nodes(fleet, 3)
    fleet.run_task(fleet.nodes["vm-1"].stop, timeout_s=70)
    del fleet.nodes["vm-1"]
    fleet.run(10)
    assert fleet.nodes["vm-0"].fleet.view.get("vm-1") is not None
    fleet.run(3700)  # longer than the detector's gone_retention_s
    assert fleet.nodes["vm-0"].fleet.view.get("vm-1") is None
    assert fleet.nodes["vm-2"].fleet.view.get("vm-1") is None


def test_graceful_shutdown_is_known_to_all_nodes(fleet: InProcessFleet) -> None:
    start_nodes(fleet, 4)
    node = fleet.nodes["vm-1"]
    fleet.run_task(node.stop, timeout_s=70)
    del fleet.nodes["vm-1"]
    fleet.run(1)
    assert statuses_in_views(fleet, "vm-1") == {Status.GONE}
    members = fleet.nodes["vm-0"].roster.read()
    assert isinstance(members, list)
    assert "vm-1" not in {member.vm for member in members}
