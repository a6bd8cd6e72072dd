"""The table is restored from an older copy: configuration, roster, and new nodes."""

from __future__ import annotations

from sapphirehoist.configuration import ChangeCommitted, ChangeRequest, Team
from sapphirehoist.storage import Unavailable, VmState
from sapphirehoist.testing import InProcessFleet

SETTLE_S = 8.0


def make_team(number: int) -> Team:
    return Team(f"team-{number}", f"{number:064x}")


def start_nodes(fleet: InProcessFleet, size: int = 3) -> None:
    fleet.vm_list.states = [VmState(f"vm-{number}") for number in range(size + 1)]
    for number in range(size):
        fleet.start(f"vm-{number}")
    fleet.run_until_joined(30)
    fleet.run(5)


def stored_version(fleet: InProcessFleet) -> int:
    version = fleet.nodes["vm-0"].config_store.read_head_version()
    assert isinstance(version, int)
    return version


class TestConfiguration:
    def test_versions_in_force_are_committed_again(self, fleet: InProcessFleet) -> None:
        start_nodes(fleet)
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(2)
        copy = fleet.table.make_copy()
        for number in (2, 3):
            fleet.commit("vm-1", [make_team(number)])
            fleet.run(2)
        fleet.table.restore(copy)
        for _ in range(30):
            fleet.run(1)
            versions = {n.config_replica.version for n in fleet.nodes.values()}
            assert versions == {3}
        assert stored_version(fleet) == 3
        stored = fleet.nodes["vm-0"].config_store.load()
        assert not isinstance(stored, Unavailable)
        assert {team.name for team in stored.catalog.teams()} == {
            "team-1",
            "team-2",
            "team-3",
        }

    def test_no_change_is_committed_before_lost_versions_are_back(
        self, fleet: InProcessFleet
    ) -> None:
        """A node that has not applied the lost version would give it out again."""
        start_nodes(fleet)
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(2)
        copy = fleet.table.make_copy()
        fleet.partition("vm-2", "vm-0")
        fleet.partition("vm-2", "vm-1")
        fleet.commit("vm-0", [make_team(2)])
        fleet.run(1)
        lagging = fleet.nodes["vm-2"]
        assert lagging.config_replica.version == 1
        fleet.table.restore(copy)
        request = ChangeRequest("change-of-vm-2", 1, [make_team(9)])
        outcome = fleet.run_task(
            lambda: lagging.config_store.commit(
                request, lagging.config_replica.catalog, "operator"
            )
        )
        assert isinstance(outcome, Unavailable)
        fleet.nodes["vm-0"].replicator.catch_up_from_table()
        fleet.run(SETTLE_S)
        assert stored_version(fleet) == 2
        assert fleet.commit("vm-2", [make_team(3)]) == 3

    def test_version_that_is_known_as_a_snapshot_only_is_written_again(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet, 2)
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(2)
        copy = fleet.table.make_copy()
        fleet.commit("vm-0", [make_team(2)])
        fleet.run(2)
        fleet.start("vm-2")
        fleet.run_until_joined(30)
        for vm in ("vm-0", "vm-1"):
            fleet.crash(vm)
        fleet.table.restore(copy)
        fleet.nodes["vm-2"].replicator.catch_up_from_table()
        fleet.run(SETTLE_S)
        stored = fleet.nodes["vm-2"].config_store.load()
        assert not isinstance(stored, Unavailable)
        assert stored.catalog.version == 2
        assert {team.name for team in stored.catalog.teams()} == {"team-1", "team-2"}

    def test_change_after_the_restore_is_accepted(self, fleet: InProcessFleet) -> None:
        start_nodes(fleet)
        copy = fleet.table.make_copy()
        fleet.commit("vm-0", [make_team(1)])
        fleet.run(2)
        fleet.table.restore(copy)
        fleet.nodes["vm-1"].replicator.catch_up_from_table()
        fleet.run(SETTLE_S)
        version = fleet.commit("vm-2", [make_team(2)])
        assert version == 2
        assert fleet.wait_accepted("vm-2", version, 10).is_accepted


class TestRoster:
    def test_member_missing_in_the_copy_is_on_the_roster_again(
        self, fleet: InProcessFleet
    ) -> None:
        start_nodes(fleet, 2)
        copy = fleet.table.make_copy()
        fleet.start("vm-2")
        fleet.run_until_joined(30)
        fleet.table.restore(copy)
        fleet.nodes["vm-0"].replicator.catch_up_from_table()
        fleet.run(SETTLE_S)
        roster = fleet.nodes["vm-0"].roster.read()
        assert not isinstance(roster, Unavailable)
        assert {member.vm for member in roster} == {"vm-0", "vm-1", "vm-2"}
        assert all(n.roster_joiner.may_serve() for n in fleet.nodes.values())


def test_nodes_that_do_not_call_the_table_hear_of_the_restore(
    fleet: InProcessFleet,
) -> None:
    start_nodes(fleet)
    fleet.table.restore(fleet.table.make_copy())
    fleet.nodes["vm-0"].replicator.catch_up_from_table()
    fleet.run(0.1)
    assert {table.era.value for table in fleet.tables.values()} == {1}
    request = ChangeRequest("change-00001", 0, [make_team(1)])
    fleet.run(SETTLE_S)
    node = fleet.nodes["vm-2"]
    outcome = fleet.run_task(
        lambda: node.config_store.commit(request, node.config_replica.catalog, "op")
    )
    assert isinstance(outcome, ChangeCommitted)
