"""Replication of configuration under races, lost replies, partitions and outages."""

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

REPLICATION_BOUND_S = 3.0


def make_team(number: int) -> Team:
    return Team(f"team-{number}", f"{number:064x}")


def start_nodes(fleet: InProcessFleet, size: int = 3) -> None:
    fleet.vm_list.states = [VmState(f"vm-{number}") for number in range(size)]
    for number in range(size):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    fleet.run(5)


def applied_versions(fleet: InProcessFleet) -> set[int]:
    return {node.config_replica.version for node in fleet.nodes.values()}


class TestCommit:
    def commit_action(
        self, fleet: InProcessFleet, vm: str, number: int, version: int
    ) -> Callable[[], object]:
        node = fleet.nodes[vm]
        request = ChangeRequest(f"change-of-{vm}", version, [make_team(number)])
        catalog = node.config_replica.catalog
        return lambda: node.config_store.commit(request, catalog, "operator")

    def test_one_of_two_concurrent_commits_succeeds(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        for table in fleet.tables.values():
            table.delay_s = 0.2  # both nodes read the head before either commits
        outcomes: list[object] = []
        for vm in ("vm-0", "vm-1"):
            commit = self.commit_action(fleet, vm, 1, 0)
            _spawn_commit(commit, outcomes)
        fleet.run(5)
        outcome_types = sorted(type(outcome).__name__ for outcome in outcomes)
        assert outcome_types == ["ChangeCommitted", "ChangeConflict"]
        conflict = next(o for o in outcomes if isinstance(o, ChangeConflict))
        assert conflict.version == 1

    def test_commit_with_lost_reply_is_resolved_by_reading_back(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.tables["vm-0"].lose_answers = 1
        outcome = fleet.run_task(self.commit_action(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, ChangeCommitted)
        assert outcome.change.version == 1

    def test_lost_write_followed_by_another_commit_is_a_conflict(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        failing_commit = self.commit_action(fleet, "vm-0", 1, 0)
        fleet.tables["vm-0"].lose_writes = 1
        fleet.tables["vm-0"].delay_s = 0.1
        outcomes: list[object] = []
        _spawn_commit(failing_commit, outcomes)
        fleet.run(0.15)
        fleet.commit("vm-1", [make_team(2)])
        fleet.run(5)
        assert outcomes == [ChangeConflict(1)]

    def test_lost_write_is_reported_as_undecided(self, fleet: InProcessFleet) -> None:
        start_nodes(fleet)
        fleet.tables["vm-0"].lose_writes = 1
        outcome = fleet.run_task(self.commit_action(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, ChangeUndecided)
        assert applied_versions(fleet) == {0}

    def test_repeated_commit_of_a_change_returns_the_same_version(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        first = fleet.run_task(self.commit_action(fleet, "vm-0", 1, 0))
        again = fleet.run_task(self.commit_action(fleet, "vm-0", 1, 0))
        assert first == again

    def test_commit_fails_while_the_table_is_unavailable(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.tables["vm-0"].is_down = True
        outcome = fleet.run_task(self.commit_action(fleet, "vm-0", 1, 0))
        assert isinstance(outcome, Unavailable)


def _spawn_commit(commit: Callable[[], object], outcomes: list[object]) -> None:
    gevent.spawn(lambda: outcomes.append(commit()))


class TestReplication:
    def test_8_nodes_apply_a_change_despite_partitioned_links(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet, 8)
        for number in range(1, 4):
            fleet.partition("vm-0", f"vm-{number}")
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(REPLICATION_BOUND_S)
        assert applied_versions(fleet) == {1}

    def test_heartbeats_deliver_a_version_missed_by_the_broadcast(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.tables["vm-2"].is_down = True
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(0.5)
        fleet.network.heal()
        fleet.run(REPLICATION_BOUND_S)
        assert applied_versions(fleet) == {1}

    def test_partitioned_node_reads_the_change_from_the_table(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(11)
        assert applied_versions(fleet) == {1}

    def test_many_changes_are_applied_in_order(self, fleet: InProcessFleet) -> None:
        start_nodes(fleet, 5)
        for number in range(300):
            fleet.commit(f"vm-{number % 5}", [make_team(number % 7)])
        fleet.run(3)
        assert applied_versions(fleet) == {300}
        catalogs = {
            str(node.config_replica.catalog.objects()) for node in fleet.nodes.values()
        }
        assert len(catalogs) == 1


class TestAcceptance:
    def test_version_that_no_peer_announced_is_read_from_the_table(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        version = fleet.commit("vm-0", [make_team(1)])
        node = fleet.nodes["vm-2"]
        assert node.config_replica.version < version
        assert node.replicator.has_version(version)
        assert not node.replicator.has_version(version + 1)

    def test_acceptance_waits_for_a_partitioned_member(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        fleet.tables["vm-2"].is_down = True
        version = fleet.commit("vm-0", [make_team(1)])
        state = fleet.wait_accepted("vm-0", version, 10)
        assert state.missing == ("vm-2",)
        fleet.network.heal()
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        assert applied_versions(fleet) == {1}

    def test_acceptance_waits_for_a_dead_member_until_its_vm_is_removed(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.crash("vm-2")
        version = fleet.commit("vm-0", [make_team(1)])
        assert fleet.wait_accepted("vm-0", version, 20).missing == ("vm-2",)
        fleet.vm_list.states.pop()
        assert fleet.wait_accepted("vm-0", version, 30).is_accepted

    def test_acceptance_waits_for_a_node_that_started_during_an_outage(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(3)
        new_node = fleet.start("vm-late", seeds=["vm-1"])
        fleet.tables["vm-late"].is_down = True
        fleet.run(3)
        assert new_node.config_replica.version == 1
        assert new_node.roster_joiner.may_serve()
        # vm-1 is the sponsor; the partition keeps further changes from the new node.
        for vm in ("vm-0", "vm-1", "vm-2"):
            fleet.partition("vm-late", vm)
        version = fleet.commit("vm-0", [make_team(2)])
        assert fleet.wait_accepted("vm-0", version, 2).missing == ("vm-1",)
        # The new node must stop serving before its sponsor stops reporting for it.
        waited_s = 0.0
        while new_node.roster_joiner.may_serve():
            fleet.run(0.5)
            waited_s += 0.5
            state = fleet.wait_accepted("vm-0", version, 0)
            assert not (state.is_accepted and new_node.roster_joiner.may_serve())
        assert waited_s < 6
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        fleet.network.heal()
        fleet.run(5)
        assert new_node.config_replica.version == version
        assert new_node.roster_joiner.may_serve()

    def test_change_committed_between_read_and_join_is_applied(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet)
        new_node = fleet.start("vm-late")
        fleet.tables["vm-late"].delay_s = 0.3
        fleet.run(0.4)
        version = fleet.commit("vm-0", [make_team(1)])
        assert fleet.wait_accepted("vm-0", version, 0.1).is_accepted
        for _ in range(200):
            assert (
                not new_node.roster_joiner.may_serve()
                or new_node.config_replica.version >= version
            )
            fleet.run(0.02)
        assert new_node.roster_joiner.may_serve()

    def test_node_without_sponsor_does_not_serve_during_an_outage(
        self, fleet: InProcessFleet
    ) -> None:
        node = fleet.start("vm-0")
        fleet.tables["vm-0"].is_down = True
        fleet.run(10)
        assert not node.roster_joiner.may_serve()
        fleet.tables["vm-0"].is_down = False
        fleet.run(3)
        assert node.roster_joiner.may_serve()

    def test_wrongly_evicted_member_rejoins(self, fleet: InProcessFleet) -> None:
        start_nodes(fleet)
        fleet.vm_list.states = [VmState("vm-0"), VmState("vm-1")]
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        fleet.run(40)
        version = fleet.commit("vm-0", [make_team(1)])
        assert fleet.wait_accepted("vm-0", version, 20).is_accepted
        fleet.vm_list.states.append(VmState("vm-2"))
        fleet.network.heal()
        fleet.run(20)
        assert applied_versions(fleet) == {version}
        assert fleet.nodes["vm-2"].roster_joiner.may_serve()
        assert fleet.is_joined()


@pytest.mark.parametrize("size", [64])
def test_64_nodes_apply_a_change_within_11_s(size: int) -> None:
    fleet = InProcessFleet(seed=3, delay_s=0.03)
    start_nodes(fleet, size)
    fleet.commit("vm-5", [make_team(1)])
    fleet.run(11)
    assert applied_versions(fleet) == {1}
    fleet.close()
