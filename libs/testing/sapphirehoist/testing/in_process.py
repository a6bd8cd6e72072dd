"""Several nodes in one process, on a manual clock and in-memory interfaces."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from typing import TypeVar

import gevent

from sapphirehoist.clock import ManualClock
from sapphirehoist.configuration import (
    Acceptance,
    ChangeCommitted,
    ChangeRequest,
    ConfigObject,
)
from sapphirehoist.node import Node, NodeDependencies
from sapphirehoist.peers import MemoryNetwork, MemoryTransport
from sapphirehoist.settings import (
    ListenSettings,
    OperatorCredentials,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from sapphirehoist.storage import MemoryObjectStore, MemoryTableService
from sapphirehoist.testing.fakes import FakeEndpointClient, FakeVmList, FaultyTable

_STEP_S = 0.05

T = TypeVar("T")


class InProcessFleet:
    """Nodes that share a clock, a network and a table.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    delay_s : float
        One-way delay of every link, in seconds.

    Attributes
    ----------
    clock, network, table, objects, vm_list, client
        Clock and in-memory interfaces that all nodes share.
    nodes : dict of str to Node
        Running nodes by VM.
    tables : dict of str to FaultyTable
        View of the shared table of each VM, with its own injected faults.
    """

    def __init__(self, seed: int = 1, delay_s: float = 0.001) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, delay_s)
        self.table = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.vm_list = FakeVmList()
        self.client = FakeEndpointClient()
        self.nodes: dict[str, Node] = {}
        self.tables: dict[str, FaultyTable] = {}
        self._seed = seed
        self._ids = count(1)
        self._change_ids = count(1)

    def start(self, vm: str, region: str = "vest", seeds: Sequence[str] = ()) -> Node:
        """Start a node; it joins as `run` advances the clock."""
        table = self.tables.setdefault(vm, FaultyTable(self.clock, self.table))
        dependencies = NodeDependencies(
            self.clock,
            Random(f"{self._seed}/{vm}"),
            self._make_id,
            MemoryTransport(self.network, _make_address(vm)),
            table,
            self.objects,
            self.vm_list,
            self.client,
        )
        node = Node(
            _make_settings(vm, region, [_make_address(s) for s in seeds]), dependencies
        )
        self.nodes[vm] = node
        node.start()
        return node

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.clock.advance(seconds)

    def run_until_joined(self, timeout_s: float = 10.0) -> None:
        """Advance the clock until every node is on the roster and sees every other."""
        waited_s = 0.0
        while not self.is_joined():
            assert waited_s < timeout_s, f"nodes have not joined after {waited_s} s"
            self.run(_STEP_S)
            waited_s += _STEP_S

    def is_joined(self) -> bool:
        """Return whether every node is on the roster and sees every other."""
        return all(
            node.roster_joiner.is_on_roster
            and len(node.fleet.present_members()) == len(self.nodes)
            for node in self.nodes.values()
        )

    def commit(self, vm: str, objects: Sequence[ConfigObject]) -> int:
        """Commit a change at `vm` and announce it; return its version."""
        node = self.nodes[vm]
        node.replicator.catch_up_from_table()
        change_id = f"change-{next(self._change_ids):06d}"
        request = ChangeRequest(change_id, node.config_replica.version, list(objects))
        outcome = node.config_store.commit(
            request, node.config_replica.catalog, "operator"
        )
        assert isinstance(outcome, ChangeCommitted), outcome
        node.config_replica.apply_change(outcome.change)
        node.replicator.announce()
        return outcome.change.version

    def run_task(self, operation: Callable[[], T], timeout_s: float = 60.0) -> T:
        """Run `operation` in a task while the clock advances; return its value."""
        task = gevent.spawn(operation)
        waited_s = 0.0
        self.clock.settle()
        while not task.ready():
            assert waited_s < timeout_s, f"operation still runs after {timeout_s} s"
            self.run(_STEP_S)
            waited_s += _STEP_S
        return task.get()

    def wait_accepted(self, vm: str, version: int, timeout_s: float) -> Acceptance:
        """Wait at `vm` until `version` is accepted or `timeout_s` have passed."""
        replicator = self.nodes[vm].replicator
        acceptance = self.run_task(lambda: replicator.wait_accepted(version, timeout_s))
        assert isinstance(acceptance, Acceptance), acceptance
        return acceptance

    def crash(self, vm: str) -> Node:
        """Stop a node without a graceful shutdown, and detach it from the network."""
        node = self.nodes.pop(vm)
        node.kill()
        self.network.detach(_make_address(vm))
        return node

    def partition(self, one: str, other: str) -> None:
        """Partition two VMs from each other."""
        self.network.partition(_make_address(one), _make_address(other))

    def close(self) -> None:
        """Crash every node."""
        for vm in list(self.nodes):
            self.crash(vm)

    def _make_id(self) -> str:
        return f"id-{next(self._ids):08d}"


def _make_address(vm: str) -> str:
    return f"tcp://{vm}:7300"


def _make_settings(vm: str, region: str, seeds: list[str]) -> Settings:
    url = "http://127.0.0.1:1"
    return Settings(
        vm,
        region,
        f"{region}-a",
        ListenSettings("127.0.0.1", 1, f"http://{vm}:7100"),
        ListenSettings("127.0.0.1", 1, f"http://{vm}:7200"),
        PeerSettings(_make_address(vm), _make_address(vm), "x" * 40, "x" * 40, seeds),
        PlatformSettings(url, url, url),
        [OperatorCredentials("operator", "0" * 64)],
        "s" * 32,
    )
