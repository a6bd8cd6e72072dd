"""Bytes, messages and table operations by fleet size."""

from __future__ import annotations

from dataclasses import dataclass

from fits import print_fit, print_measurements

from sapphirehoist.configuration import Team
from sapphirehoist.testing import InProcessFleet

FLEET_SIZES = (4, 8, 16, 32, 64, 128)
TARGET_NODES = 370
_REGIONS = ("vest", "nord", "ost")
_IDLE_S = 60
_CHANGE_COUNT = 5
_SETTLE_S = 15
_STEP_S = 0.05
_CHANGES_PER_S = (0.2, 1.0, 5.0)
_CHANGE_RATE_FLEET_SIZE = 16
_CHANGE_RATE_DURATION_S = 20
_LINK_DELAY_S = 0.03


@dataclass(frozen=True, slots=True)
class FleetCost:
    """Costs of a fleet, per node unless stated otherwise.

    Attributes
    ----------
    idle_bytes_s, idle_messages_s : float
        Bytes sent and received, and messages sent, per second while nothing changes.
    idle_reads_s : float
        Table reads of the whole fleet per second while nothing changes.
    change_bytes : float
        Bytes sent and received for one configuration change.
    change_transactions : float
        Table transactions of the whole fleet for one configuration change.
    in_force_s : float
        Longest time until a change was in force on every node, in seconds.
    failure_bytes : float
        Bytes sent and received for the failure of one node.
    join_bytes : float
        Bytes sent and received for the join of one node.
    """

    idle_bytes_s: float
    idle_messages_s: float
    idle_reads_s: float
    change_bytes: float
    change_transactions: float
    in_force_s: float
    failure_bytes: float
    join_bytes: float


def measure_fleet(size: int) -> FleetCost:
    """Measure an idle fleet of `size` nodes, then changes, a failure and a join."""
    fleet = InProcessFleet(size, _LINK_DELAY_S)
    for number in range(size):
        fleet.start(f"vm-{number}", _REGIONS[number % 3])
    fleet.run_until_joined(60)
    fleet.run(_SETTLE_S)
    idle_bytes_s, idle_messages_s = _measure_traffic(fleet, _IDLE_S)
    reads_before, transactions_before = _total_reads(fleet), _total_transactions(fleet)
    fleet.run(_IDLE_S)
    idle_reads_s = (_total_reads(fleet) - reads_before) / _IDLE_S
    idle_transactions = _total_transactions(fleet) - transactions_before
    transactions_before = _total_transactions(fleet)
    bytes_before = _total_bytes(fleet)
    in_force_s = max(
        _measure_change_s(fleet, number) for number in range(_CHANGE_COUNT)
    )
    total_change_s = _CHANGE_COUNT * _SETTLE_S
    change_bytes = (
        _total_bytes(fleet) - bytes_before
    ) / size - idle_bytes_s * total_change_s
    renewal_transactions = idle_transactions * total_change_s / _IDLE_S
    change_transactions = (
        _total_transactions(fleet) - transactions_before - renewal_transactions
    ) / _CHANGE_COUNT
    fleet.crash("vm-1")
    failure_bytes = _measure_traffic(fleet, _SETTLE_S)[0] * _SETTLE_S
    fleet.start("vm-new")
    join_bytes = _measure_traffic(fleet, _SETTLE_S)[0] * _SETTLE_S
    fleet.close()
    return FleetCost(
        idle_bytes_s,
        idle_messages_s,
        idle_reads_s,
        change_bytes / _CHANGE_COUNT,
        change_transactions,
        in_force_s,
        failure_bytes - idle_bytes_s * _SETTLE_S,
        join_bytes - idle_bytes_s * _SETTLE_S,
    )


def measure_fleet_slopes() -> None:
    """Print costs by fleet size and the fitted costs at the target size."""
    costs = [measure_fleet(size) for size in FLEET_SIZES]
    print("== fleet: counted, the same in each run ==")
    series = (
        ("heartbeats and digests", "bytes/s per node", "idle_bytes_s"),
        ("heartbeats and digests", "messages/s per node", "idle_messages_s"),
        ("change of configuration", "bytes per node and change", "change_bytes"),
        ("change of configuration", "s until in force", "in_force_s"),
        ("failure of a node", "bytes per node and failure", "failure_bytes"),
        ("join of a node", "bytes per node and join", "join_bytes"),
    )
    for label, unit, field_name in series:
        values = [getattr(cost, field_name) for cost in costs]
        fitted = print_fit(label, unit, FLEET_SIZES, values, "log2(n)")
        print(f"  at {TARGET_NODES}    {fitted.predict(TARGET_NODES):.4g}")
    for label, unit, field_name in (
        ("table reads at rest", "reads/s of the fleet", "idle_reads_s"),
        ("table writes", "transactions per change", "change_transactions"),
    ):
        values = [getattr(cost, field_name) for cost in costs]
        fitted = print_fit(label, unit, FLEET_SIZES, values, "n")
        print(f"  at {TARGET_NODES}    {fitted.predict(TARGET_NODES):.4g}")


def measure_change_rates() -> None:
    """Print the cost of a configuration change by rate of changes."""
    fleet = InProcessFleet(_CHANGE_RATE_FLEET_SIZE, _LINK_DELAY_S)
    for number in range(_CHANGE_RATE_FLEET_SIZE):
        fleet.start(f"vm-{number}", _REGIONS[number % 3])
    fleet.run_until_joined(60)
    fleet.run(_SETTLE_S)
    idle_bytes_s = _measure_traffic(fleet, _IDLE_S)[0]
    costs = [
        _measure_change_bytes(fleet, rate, idle_bytes_s) for rate in _CHANGES_PER_S
    ]
    fleet.close()
    print_measurements(
        f"change of configuration, {_CHANGE_RATE_FLEET_SIZE} nodes",
        "bytes per node and change, by changes/s",
        _CHANGES_PER_S,
        costs,
    )


def _measure_change_bytes(
    fleet: InProcessFleet, changes_per_s: float, idle_bytes_s: float
) -> float:
    change_count = int(changes_per_s * _CHANGE_RATE_DURATION_S)
    bytes_before = _total_bytes(fleet)
    for number in range(change_count):
        vm = f"vm-{number % _CHANGE_RATE_FLEET_SIZE}"
        version = fleet.commit(vm, [Team(f"team-{number % 9}", f"{number:064x}")])
        fleet.run(1 / changes_per_s)
    fleet.run(_SETTLE_S)
    assert {node.config_replica.version for node in fleet.nodes.values()} == {version}
    bytes_per_node = (_total_bytes(fleet) - bytes_before) / _CHANGE_RATE_FLEET_SIZE
    return (
        bytes_per_node - idle_bytes_s * (change_count / changes_per_s + _SETTLE_S)
    ) / change_count


def _measure_traffic(fleet: InProcessFleet, duration_s: float) -> tuple[float, float]:
    """Return bytes and messages per node and second."""
    node_count = len(fleet.nodes)
    bytes_before, messages_before = _total_bytes(fleet), _total_messages(fleet)
    fleet.run(duration_s)
    bytes_per_s = (_total_bytes(fleet) - bytes_before) / node_count / duration_s
    return bytes_per_s, (
        _total_messages(fleet) - messages_before
    ) / node_count / duration_s


def _measure_change_s(fleet: InProcessFleet, number: int) -> float:
    """Commit a change; return the time in seconds until all nodes have it in force."""
    team = Team(f"team-{number}", f"{number:064x}")
    vm = sorted(fleet.nodes)[number % len(fleet.nodes)]
    started_at = fleet.clock.monotonic()
    version = fleet.commit(vm, [team])
    while any(node.config_replica.version < version for node in fleet.nodes.values()):
        fleet.run(_STEP_S)
    elapsed_s = fleet.clock.monotonic() - started_at
    fleet.run(_SETTLE_S - elapsed_s)
    return elapsed_s


def _total_bytes(fleet: InProcessFleet) -> int:
    return _sum_metrics(fleet, "peer_sent_bytes_total", "peer_received_bytes_total")


def _total_messages(fleet: InProcessFleet) -> int:
    return _sum_metrics(fleet, "peer_sent_total")


def _sum_metrics(fleet: InProcessFleet, *metric_names: str) -> int:
    nodes = fleet.nodes.values()
    return sum(node.metrics.total(name) for node in nodes for name in metric_names)


def _total_reads(fleet: InProcessFleet) -> int:
    return sum(table.reads for table in fleet.tables.values())


def _total_transactions(fleet: InProcessFleet) -> int:
    return sum(table.transactions for table in fleet.tables.values())
