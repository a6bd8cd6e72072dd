"""Embeds the claims library alone, and three nodes with in-memory dependencies."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from itertools import count  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402

from sapphirehoist.claims import Claim, ClaimKey, ClaimRegistry  # noqa: E402
from sapphirehoist.clock import ManualClock, SystemClock  # noqa: E402
from sapphirehoist.node import Node, NodeDependencies  # noqa: E402
from sapphirehoist.observability import Metrics  # noqa: E402
from sapphirehoist.outcomes import Done, Outcome  # noqa: E402
from sapphirehoist.peers import MemoryNetwork, MemoryTransport  # noqa: E402
from sapphirehoist.settings import (  # noqa: E402
    Settings,
    SettingsErrors,
    load_settings,
)
from sapphirehoist.storage import (  # noqa: E402
    MemoryObjectStore,
    MemoryTableService,
)
from sapphirehoist.testing import FakeEndpointClient, FakeVmList  # noqa: E402


def charge_once(registry: ClaimRegistry, key: str) -> Outcome:
    """Make a charge unless it was already attempted with the same `key`."""
    clock = SystemClock()
    deadline = clock.monotonic() + 5
    claim_key = ClaimKey("billing", key)
    claim = registry.claim(claim_key, "hash-of-the-charge", deadline)
    if isinstance(claim, Claim):
        outcome = Done(b"charged")  # the non-idempotent call goes here
        registry.finish(claim, outcome)
        return outcome
    return registry.wait_for_outcome(claim_key, claim.stored, deadline)  # type: ignore[union-attr]


def use_claims_alone() -> list[Outcome]:
    """Embed one library in another program; return the outcomes of three attempts."""
    ids = count()
    registry = ClaimRegistry(
        "my-process",
        MemoryTableService(),  # your own TableService goes here
        MemoryObjectStore(),
        SystemClock(),
        lambda: f"attempt-{next(ids)}",
        Metrics(),
    )
    return [charge_once(registry, "charge-1") for _ in range(3)]


def run_nodes(settings_path: str) -> list[int]:
    """Run three nodes on a manual clock; return the number of members each one sees."""
    loaded = load_settings(settings_path)
    assert not isinstance(loaded, SettingsErrors), loaded.errors
    clock = ManualClock()
    network = MemoryNetwork(clock, delay_s=0.01)
    table = MemoryTableService()
    nodes = [_make_node(loaded, n, clock, network, table) for n in range(3)]
    for node in nodes:
        node.start()
    clock.advance(10)
    member_counts = [len(node.fleet.present_members()) for node in nodes]
    for node in nodes:
        node.kill()
    return member_counts


def _make_node(
    base: Settings,
    number: int,
    clock: ManualClock,
    network: MemoryNetwork,
    table: MemoryTableService,
) -> Node:
    address = f"tcp://10.0.0.{number}:7300"
    peers = msgspec.structs.replace(base.peers, listen=address, advertise=address)
    settings = msgspec.structs.replace(base, vm=f"vm-{number}", peers=peers)
    ids = count()
    dependencies = NodeDependencies(
        clock,
        Random(number),
        lambda: f"{number}-{next(ids)}",
        MemoryTransport(network, address),
        table,
        MemoryObjectStore(),
        FakeVmList(),
        FakeEndpointClient(),
    )
    return Node(settings, dependencies)


if __name__ == "__main__":
    print(use_claims_alone())
    print(run_nodes("examples/studio.jsonc"))
    gevent.sleep(0)
