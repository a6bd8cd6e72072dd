"""Random faults during changes of configuration and drains of endpoints."""

from __future__ import annotations

from itertools import count

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.configuration import (
    Acceptance,
    ChangeCommitted,
    ChangeRequest,
    Team,
)
from sapphirehoist.node import Node
from sapphirehoist.storage import VmState
from sapphirehoist.testing import InProcessFleet

NODE_COUNT = 4
VMS = [f"vm-{number}" for number in range(NODE_COUNT)]
CONVERGENCE_BOUND_S = 45

VM_INDEX = st.integers(0, NODE_COUNT - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("commit"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("partition"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("heal"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("down"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("up"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("lose_answers"), VM_INDEX, st.integers(1, 2)),
        st.tuples(st.just("lose_writes"), VM_INDEX, st.integers(1, 2)),
        st.tuples(st.just("restart"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("drain"), VM_INDEX, VM_INDEX),
        st.tuples(st.just("advance"), VM_INDEX, st.integers(1, 80)),
    ),
    min_size=5,
    max_size=25,
)


class FleetChecker:
    """Applies random steps to a fleet and checks its invariants.

    No node serves with a version older than an accepted one, the version in force on a
    node only increases, and all nodes converge once the faults have ended.
    """

    def __init__(self) -> None:
        self.fleet = InProcessFleet(seed=5)
        self.fleet.vm_list.states = [VmState(vm) for vm in VMS]
        self.version_regressions: list[str] = []
        for vm in VMS:
            self.start_node(vm)
        self.fleet.run_until_joined(30)
        self.accepted_version = 0
        self._ids = count(1)

    def start_node(self, vm: str) -> None:
        seeds = [other for other in VMS if other != vm]
        node = self.fleet.start(vm, seeds=seeds)
        last_version = [0]

        def check_increasing(catalog: object) -> None:
            version = node.config_replica.version
            if version <= last_version[0]:
                self.version_regressions.append(
                    f"{vm}: {version} after {last_version[0]}"
                )
            last_version[0] = version

        node.config_replica.on_change(check_increasing)

    def apply_step(self, kind: str, vm_index: int, argument: int) -> None:
        fleet, vm = self.fleet, VMS[vm_index]
        if kind == "commit":
            gevent.spawn(self.commit, fleet.nodes[vm])
        elif kind == "partition" and vm_index != argument:
            fleet.partition(vm, VMS[argument])
        elif kind == "heal":
            fleet.network.heal()
        elif kind in ("down", "up"):
            fleet.tables[vm].is_down = kind == "down"
        elif kind in ("lose_answers", "lose_writes"):
            setattr(fleet.tables[vm], kind, argument)
        elif kind == "restart":
            fleet.crash(vm)
            self.start_node(vm)
        elif kind == "drain":
            fleet.nodes[vm].endpoint_statuses.drain(f"engine-{argument}")
        elif kind == "advance":
            for _ in range(argument):
                fleet.run(0.1)
                self.check_accepted()

    def commit(self, node: Node) -> None:
        node.replicator.catch_up_from_table()
        number = next(self._ids)
        request = ChangeRequest(
            f"change-{number:06d}",
            node.config_replica.version,
            [Team(f"team-{number % 5}", f"{number:064x}")],
        )
        outcome = node.config_store.commit(
            request, node.config_replica.catalog, "operator"
        )
        if not isinstance(outcome, ChangeCommitted):
            return
        node.config_replica.apply_change(outcome.change)
        node.replicator.announce()
        state = node.replicator.wait_accepted(outcome.change.version, 20)
        if isinstance(state, Acceptance) and state.is_accepted:
            self.accepted_version = max(self.accepted_version, outcome.change.version)

    def check_accepted(self) -> None:
        for vm, node in self.fleet.nodes.items():
            if node.roster_joiner.may_serve():
                assert node.config_replica.version >= self.accepted_version, (
                    f"{vm} serves with version {node.config_replica.version} "
                    f"while {self.accepted_version} is accepted"
                )

    def check_converged(self) -> None:
        for table in self.fleet.tables.values():
            table.is_down = False
            table.lose_answers = table.lose_writes = 0
        self.fleet.network.heal()
        self.fleet.run(CONVERGENCE_BOUND_S)
        nodes = list(self.fleet.nodes.values())
        catalogs = {str(node.config_replica.catalog.snapshot()) for node in nodes}
        assert len(catalogs) == 1, [node.config_replica.version for node in nodes]
        assert all(node.roster_joiner.may_serve() for node in nodes)
        leaving = {tuple(node.endpoint_statuses.leaving_endpoints()) for node in nodes}
        assert len(leaving) == 1, leaving
        assert not self.version_regressions


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(STEPS)
def test_accepted_versions_are_applied_and_never_regress(
    steps: list[tuple[str, int, int]],
) -> None:
    checker = FleetChecker()
    try:
        for step in steps:
            checker.apply_step(*step)
        checker.check_converged()
    finally:
        checker.fleet.close()
