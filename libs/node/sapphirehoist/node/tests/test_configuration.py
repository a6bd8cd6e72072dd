"""Configuration under races, lost answers, cuts, crashes and outages."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from sapphirehoist.configuration import (
    ChangeCommitted,
    ChangeConflict,
    ChangeRequest,
    ChangeUndecided,
    Team,
)
from sapphirehoist.storage import Unavailable, VmState
from sapphirehoist.testing import InProcessFleet

BOUND_8_NODES_S = 3.0


def team(number: int) -> Team:
    return Team(f"team-{number}", f"{number:064x}")


def start(fleet: InProcessFleet, size: int = 3) -> None:
    fleet.vms.states = [VmState(f"vm-{number}") for number in range(size)]
    for number in range(size):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    fleet.run(5)


def versions(fleet: InProcessFleet) -> set[int]:
    return {node.replica.version for node in fleet.nodes.values()}


class TestCommit:
    def request(
        self, fleet: InProcessFleet, vm: str, number: int, version: int
    ) -> Callable[[], object]:
        node = fleet.nodes[vm]
        request = ChangeRequest(f"change-of-{vm}", version, [team(number)])
        catalog = node.replica.catalog
        return lambda: node.store.commit(request, catalog, "operator")

    def test_of_two_operators_one_wins(self, fleet: InProcessFleet) -> None:
        start(fleet)
        for table in fleet.tables.values():
            table.delay_s = 0.2  # both read the head before either commits
        outcomes: list[object] = []
        for vm in ("vm-0", "vm-1"):
            act = self.request(fleet, vm, 1, 0)
            _spawn(act, outcomes)
        fleet.run(5)
        kinds = sorted(type(outcome).__name__ for outcome in outcomes)
        assert kinds == ["ChangeCommitted", "ChangeConflict"]
        conflict = next(o for o in outcomes if isinstance(o, ChangeConflict))
        assert conflict.version == 1

    def test_a_lost_answer_is_settled_by_reading_back(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.tables["vm-0"].lose_answers = 1
        outcome = fleet.call(self.request(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, ChangeCommitted)
        assert outcome.change.version == 1

    def test_a_lost_answer_of_the_loser_is_a_conflict(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        lose = self.request(fleet, "vm-0", 1, 0)
        fleet.tables["vm-0"].lose_writes = 1
        fleet.tables["vm-0"].delay_s = 0.1
        outcomes: list[object] = []
        _spawn(lose, outcomes)
        fleet.run(0.15)
        fleet.commit("vm-1", [team(2)])
        fleet.run(5)
        assert outcomes == [ChangeConflict(1)]

    def test_a_lost_write_is_told_as_undecided(self, fleet: InProcessFleet) -> None:
        start(fleet)
        fleet.tables["vm-0"].lose_writes = 1
        outcome = fleet.call(self.request(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, ChangeUndecided)
        assert versions(fleet) == {0}

    def test_the_same_change_again_is_the_same_version(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        first = fleet.call(self.request(fleet, "vm-0", 1, 0))
        again = fleet.call(self.request(fleet, "vm-0", 1, 0))
        assert first == again

    def test_a_table_that_is_down_takes_no_change(self, fleet: InProcessFleet) -> None:
        start(fleet)
        fleet.tables["vm-0"].is_down = True
        outcome = fleet.call(self.request(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, Unavailable)


def _spawn(act: Callable[[], object], outcomes: list[object]) -> None:
    gevent.spawn(lambda: outcomes.append(act()))


class TestSpread:
    def test_in_force_on_8_nodes_with_a_link_cut(self, fleet: InProcessFleet) -> None:
        start(fleet, 8)
        for number in range(1, 4):
            fleet.cut("vm-0", f"vm-{number}")
        fleet.commit("vm-0", [team(1)])
        fleet.run(BOUND_8_NODES_S)
        assert versions(fleet) == {1}

    def test_heartbeats_repair_what_the_flood_missed(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.tables["vm-2"].is_down = True
        fleet.cut("vm-2", "vm-0")
        fleet.cut("vm-2", "vm-1")
        fleet.commit("vm-0", [team(1)])
        fleet.run(0.5)
        fleet.network.heal()
        fleet.run(BOUND_8_NODES_S)
        assert versions(fleet) == {1}

    def test_a_node_without_peers_reads_the_table(self, fleet: InProcessFleet) -> None:
        start(fleet)
        fleet.cut("vm-2", "vm-0")
        fleet.cut("vm-2", "vm-1")
        fleet.commit("vm-0", [team(1)])
        fleet.run(11)
        assert versions(fleet) == {1}

    def test_many_changes_arrive_in_order(self, fleet: InProcessFleet) -> None:
        start(fleet, 5)
        for number in range(300):
            fleet.commit(f"vm-{number % 5}", [team(number % 7)])
        fleet.run(3)
        assert versions(fleet) == {300}
        catalogs = {
            str(node.replica.catalog.objects()) for node in fleet.nodes.values()
        }
        assert len(catalogs) == 1


class TestAcceptance:
    def test_a_version_that_no_peer_told_of_is_known_from_the_table(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.cut("vm-2", "vm-0")
        fleet.cut("vm-2", "vm-1")
        version = fleet.commit("vm-0", [team(1)])
        node = fleet.nodes["vm-2"]
        assert node.replica.version < version
        assert node.spread.has_version(version)
        assert not node.spread.has_version(version + 1)

    def test_waits_for_a_member_that_is_cut_off(self, fleet: InProcessFleet) -> None:
        start(fleet)
        fleet.cut("vm-2", "vm-0")
        fleet.cut("vm-2", "vm-1")
        fleet.tables["vm-2"].is_down = True
        version = fleet.commit("vm-0", [team(1)])
        state = fleet.wait_accepted("vm-0", version, 10)
        assert state.missing == ("vm-2",)
        fleet.network.heal()
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        assert versions(fleet) == {1}

    def test_a_dead_member_counts_until_its_vm_is_gone(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.crash("vm-2")
        version = fleet.commit("vm-0", [team(1)])
        assert fleet.wait_accepted("vm-0", version, 20).missing == ("vm-2",)
        fleet.vms.states.pop()
        assert fleet.wait_accepted("vm-0", version, 30).is_accepted

    def test_a_node_that_starts_during_an_outage_is_waited_for(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.commit("vm-0", [team(1)])
        fleet.run(3)
        late = fleet.start("vm-late", seeds=["vm-1"])
        fleet.tables["vm-late"].is_down = True
        fleet.run(3)
        assert late.replica.version == 1
        assert late.joiner.may_serve()
        # vm-1 vouches; the newcomer hears of no further change from anybody else.
        for vm in ("vm-0", "vm-1", "vm-2"):
            fleet.cut("vm-late", vm)
        version = fleet.commit("vm-0", [team(2)])
        assert fleet.wait_accepted("vm-0", version, 2).missing == ("vm-1",)
        # It stops serving before its voucher stops counting it.
        waited_s = 0.0
        while late.joiner.may_serve():
            fleet.run(0.5)
            waited_s += 0.5
            state = fleet.wait_accepted("vm-0", version, 0)
            assert not (state.is_accepted and late.joiner.may_serve())
        assert waited_s < 6
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        fleet.network.heal()
        fleet.run(5)
        assert late.replica.version == version
        assert late.joiner.may_serve()

    def test_a_change_between_reading_and_joining_is_not_missed(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        late = fleet.start("vm-late")
        fleet.tables["vm-late"].delay_s = 0.3
        fleet.run(0.4)
        version = fleet.commit("vm-0", [team(1)])
        assert fleet.wait_accepted("vm-0", version, 0.1).is_accepted
        for _ in range(200):
            assert not late.joiner.may_serve() or late.replica.version >= version
            fleet.run(0.02)
        assert late.joiner.may_serve()

    def test_a_node_that_starts_alone_during_an_outage_does_not_serve(
        self, fleet: InProcessFleet
    ) -> None:
        node = fleet.start("vm-0")
        fleet.tables["vm-0"].is_down = True
        fleet.run(10)
        assert not node.joiner.may_serve()
        fleet.tables["vm-0"].is_down = False
        fleet.run(3)
        assert node.joiner.may_serve()

    def test_a_member_given_up_by_mistake_joins_again(
        self, fleet: InProcessFleet
    ) -> None:
        start(fleet)
        fleet.vms.states = [VmState("vm-0"), VmState("vm-1")]
        fleet.cut("vm-2", "vm-0")
        fleet.cut("vm-2", "vm-1")
        fleet.run(40)
        version = fleet.commit("vm-0", [team(1)])
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        fleet.vms.states.append(VmState("vm-2"))
        fleet.network.heal()
        fleet.run(20)
        assert versions(fleet) == {version}
        assert fleet.nodes["vm-2"].joiner.may_serve()
        assert fleet.is_joined()


@pytest.mark.parametrize("size", [64])
def test_in_force_within_the_targets_bound(size: int) -> None:
    fleet = InProcessFleet(seed=3, delay_s=0.03)
    start(fleet, size)
    fleet.commit("vm-5", [team(1)])
    fleet.run(11)
    assert versions(fleet) == {1}
    fleet.close()
