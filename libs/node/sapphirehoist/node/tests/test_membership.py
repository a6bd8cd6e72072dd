"""Members that crash, freeze, are cut off, and come back."""

from __future__ import annotations

import pytest

from sapphirehoist.membership import Status
from sapphirehoist.storage import VmState
from sapphirehoist.testing import InProcessFleet

DETECTED_WITHIN_S = 8.0


def start(fleet: InProcessFleet, size: int) -> None:
    fleet.vms.states = [VmState(f"vm-{number}") for number in range(size)]
    for number in range(size):
        fleet.start(f"vm-{number}", "vest" if number < size // 2 else "ost")
    fleet.run_until_joined(30)
    fleet.run(5)


def beliefs(fleet: InProcessFleet, vm: str) -> set[Status]:
    """Return what the other nodes believe of `vm`."""
    found = set()
    for name, node in fleet.nodes.items():
        news = node.fleet.view.get(vm)
        if name != vm and news is not None:
            found.add(news.status)
    return found


@pytest.mark.parametrize("size", [3, 8, 24])
def test_a_crash_is_known_everywhere(fleet: InProcessFleet, size: int) -> None:
    start(fleet, size)
    fleet.crash("vm-1")
    fleet.run(DETECTED_WITHIN_S)
    assert beliefs(fleet, "vm-1") == {Status.DEAD}
    urls = [
        node.entry_directory.list_entries().entries for node in fleet.nodes.values()
    ]
    assert all("http://vm-1:7100" not in entries for entries in urls)


def test_half_of_the_fleet_crashes_at_once(fleet: InProcessFleet) -> None:
    start(fleet, 8)
    for number in range(4):
        fleet.crash(f"vm-{number}")
    fleet.run(20)
    for number in range(4):
        assert beliefs(fleet, f"vm-{number}") == {Status.DEAD}
    for number in range(4, 8):
        assert beliefs(fleet, f"vm-{number}") == {Status.ALIVE}


def test_a_cut_link_alone_kills_nobody(fleet: InProcessFleet) -> None:
    start(fleet, 8)
    for number in range(1, 8):
        fleet.cut("vm-0", f"vm-{number}")
        fleet.run(20)
        fleet.network.heal()
    for vm, node in fleet.nodes.items():
        assert beliefs(fleet, vm) == {Status.ALIVE}, vm
        # Another node reaches the member, so it is not even suspected.
        assert node.metrics.total("heartbeat_suspicions_total") == 0


def test_a_table_outage_kills_nobody(fleet: InProcessFleet) -> None:
    start(fleet, 8)
    for table in fleet.tables.values():
        table.is_down = True
    fleet.run(120)
    for vm in fleet.nodes:
        assert beliefs(fleet, vm) == {Status.ALIVE}


def test_regions_lose_each_other_and_heal(fleet: InProcessFleet) -> None:
    start(fleet, 8)
    for one in range(4):
        for other in range(4, 8):
            fleet.cut(f"vm-{one}", f"vm-{other}")
    fleet.run(60)
    assert Status.DEAD in beliefs(fleet, "vm-0")
    fleet.network.heal()
    fleet.run(30)
    for vm in fleet.nodes:
        assert beliefs(fleet, vm) == {Status.ALIVE}, vm


def test_a_replaced_vm_is_a_new_incarnation(fleet: InProcessFleet) -> None:
    start(fleet, 3)
    fleet.crash("vm-1")
    fleet.run(DETECTED_WITHIN_S)
    fleet.start("vm-1")
    fleet.run(10)
    assert beliefs(fleet, "vm-1") == {Status.ALIVE}


def test_heartbeats_cost_the_same_in_any_fleet(fleet: InProcessFleet) -> None:
    start(fleet, 24)
    before = sum(n.metrics.total("peer_sent_total") for n in fleet.nodes.values())
    fleet.run(30)
    after = sum(n.metrics.total("peer_sent_total") for n in fleet.nodes.values())
    assert (after - before) / 30 / 24 <= 2.1


def test_a_stop_during_a_table_outage_leaves_the_roster_later(
    fleet: InProcessFleet,
) -> None:
    start(fleet, 3)
    fleet.tables["vm-1"].is_down = True
    fleet.call(fleet.nodes["vm-1"].stop, longest_s=70)
    del fleet.nodes["vm-1"]
    fleet.vms.states = [VmState("vm-0"), VmState("vm-2")]
    fleet.run(20)
    members = fleet.nodes["vm-0"].roster.read()
    assert isinstance(members, list)
    assert {member.vm for member in members} == {"vm-0", "vm-2"}


def test_members_that_are_gone_are_forgotten(fleet: InProcessFleet) -> None:
    start(fleet, 3)
    fleet.call(fleet.nodes["vm-1"].stop, longest_s=70)
    del fleet.nodes["vm-1"]
    fleet.run(10)
    assert fleet.nodes["vm-0"].fleet.view.get("vm-1") is not None
    fleet.run(3700)
    assert fleet.nodes["vm-0"].fleet.view.get("vm-1") is None
    assert fleet.nodes["vm-2"].fleet.view.get("vm-1") is None


def test_a_planned_stop_is_known_everywhere(fleet: InProcessFleet) -> None:
    start(fleet, 4)
    node = fleet.nodes["vm-1"]
    fleet.call(node.stop, longest_s=70)
    del fleet.nodes["vm-1"]
    fleet.run(1)
    assert beliefs(fleet, "vm-1") == {Status.GONE}
    members = fleet.nodes["vm-0"].roster.read()
    assert isinstance(members, list)
    assert "vm-1" not in {member.vm for member in members}
