"""Bytes, messages and table operations of fleets of different sizes."""

from __future__ import annotations

from dataclasses import dataclass

from fits import print_fit, print_points

from sapphirehoist.configuration import Team
from sapphirehoist.testing import InProcessFleet

SIZES = (4, 8, 16, 32, 64, 128)
TARGET_NODES = 370
_REGIONS = ("vest", "nord", "ost")
_IDLE_S = 60
_CHANGES = 5
_SETTLE_S = 15
_STEP_S = 0.05
_CHANGE_RATES = (0.2, 1.0, 5.0)
_RATE_SIZE = 16
_RATE_S = 20
_LINK_DELAY_S = 0.03


@dataclass(frozen=True, slots=True)
class FleetCost:
    """Costs of one fleet, for each node.

    Attributes
    ----------
    idle_bytes_s, idle_messages_s : float
        Sent and received each second while nothing changes.
    idle_reads_s : float
        Table reads of the whole fleet each second while nothing changes.
    change_bytes : float
        Sent and received for one change of configuration.
    change_transactions : float
        Table transactions of the whole fleet for one change.
    in_force_s : float
        Longest time until a change was in force on every node.
    failure_bytes : float
        Sent and received for the failure of one node.
    join_bytes : float
        Sent and received for one node that joins.
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
    """Run a fleet of `size` nodes through rest, changes, a failure and a join."""
    fleet = InProcessFleet(size, _LINK_DELAY_S)
    for number in range(size):
        fleet.start(f"vm-{number}", _REGIONS[number % 3])
    fleet.run_until_joined(60)
    fleet.run(_SETTLE_S)
    idle_bytes, idle_messages = _measure_s(fleet, _IDLE_S)
    reads_before, transactions_before = _reads(fleet), _transactions(fleet)
    fleet.run(_IDLE_S)
    idle_reads = (_reads(fleet) - reads_before) / _IDLE_S
    transactions_rest = _transactions(fleet) - transactions_before
    transactions_before = _transactions(fleet)
    started = _bytes(fleet)
    in_force_s = max(_change(fleet, number) for number in range(_CHANGES))
    change_s = _CHANGES * _SETTLE_S
    change_bytes = (_bytes(fleet) - started) / size - idle_bytes * change_s
    renewals = transactions_rest * change_s / _IDLE_S
    transactions = (_transactions(fleet) - transactions_before - renewals) / _CHANGES
    fleet.crash("vm-1")
    failure_bytes = _measure_s(fleet, _SETTLE_S)[0] * _SETTLE_S
    fleet.start("vm-new")
    join_bytes = _measure_s(fleet, _SETTLE_S)[0] * _SETTLE_S
    fleet.close()
    return FleetCost(
        idle_bytes,
        idle_messages,
        idle_reads,
        change_bytes / _CHANGES,
        transactions,
        in_force_s,
        failure_bytes - idle_bytes * _SETTLE_S,
        join_bytes - idle_bytes * _SETTLE_S,
    )


def measure_fleet_slopes() -> None:
    """Print what fleets of different sizes cost, and the fits at the target's size."""
    costs = [measure_fleet(size) for size in SIZES]
    print("== fleet: counted, the same in each run ==")
    series = (
        ("heartbeats and digests", "bytes/s per node", "idle_bytes_s"),
        ("heartbeats and digests", "messages/s per node", "idle_messages_s"),
        ("change of configuration", "bytes per node and change", "change_bytes"),
        ("change of configuration", "s until in force", "in_force_s"),
        ("failure of a node", "bytes per node and failure", "failure_bytes"),
        ("join of a node", "bytes per node and join", "join_bytes"),
    )
    for what, unit, field in series:
        values = [getattr(cost, field) for cost in costs]
        fitted = print_fit(what, unit, SIZES, values, "log2(n)")
        print(f"  at {TARGET_NODES}    {fitted.at(TARGET_NODES):.4g}")
    for what, unit, field in (
        ("table reads at rest", "reads/s of the fleet", "idle_reads_s"),
        ("table writes", "transactions per change", "change_transactions"),
    ):
        values = [getattr(cost, field) for cost in costs]
        fitted = print_fit(what, unit, SIZES, values, "n")
        print(f"  at {TARGET_NODES}    {fitted.at(TARGET_NODES):.4g}")


def measure_change_rates() -> None:
    """Print what a change costs at different rates of changes."""
    fleet = InProcessFleet(_RATE_SIZE, _LINK_DELAY_S)
    for number in range(_RATE_SIZE):
        fleet.start(f"vm-{number}", _REGIONS[number % 3])
    fleet.run_until_joined(60)
    fleet.run(_SETTLE_S)
    idle_bytes = _measure_s(fleet, _IDLE_S)[0]
    costs = [_change_at_rate(fleet, rate, idle_bytes) for rate in _CHANGE_RATES]
    fleet.close()
    print_points(
        f"change of configuration, {_RATE_SIZE} nodes",
        "bytes per node and change, by changes/s",
        _CHANGE_RATES,
        costs,
    )


def _change_at_rate(fleet: InProcessFleet, rate: float, idle_bytes: float) -> float:
    changes = int(rate * _RATE_S)
    started = _bytes(fleet)
    for number in range(changes):
        vm = f"vm-{number % _RATE_SIZE}"
        version = fleet.commit(vm, [Team(f"team-{number % 9}", f"{number:064x}")])
        fleet.run(1 / rate)
    fleet.run(_SETTLE_S)
    assert {node.replica.version for node in fleet.nodes.values()} == {version}
    sent = (_bytes(fleet) - started) / _RATE_SIZE
    return (sent - idle_bytes * (changes / rate + _SETTLE_S)) / changes


def _measure_s(fleet: InProcessFleet, seconds: float) -> tuple[float, float]:
    """Return bytes and messages for each node and second."""
    nodes = len(fleet.nodes)
    bytes_before, messages_before = _bytes(fleet), _messages(fleet)
    fleet.run(seconds)
    sent = (_bytes(fleet) - bytes_before) / nodes / seconds
    return sent, (_messages(fleet) - messages_before) / nodes / seconds


def _change(fleet: InProcessFleet, number: int) -> float:
    """Commit one change; return the time until it is in force on every node."""
    team = Team(f"team-{number}", f"{number:064x}")
    vm = sorted(fleet.nodes)[number % len(fleet.nodes)]
    started = fleet.clock.monotonic()
    version = fleet.commit(vm, [team])
    while any(node.replica.version < version for node in fleet.nodes.values()):
        fleet.run(_STEP_S)
    elapsed_s = fleet.clock.monotonic() - started
    fleet.run(_SETTLE_S - elapsed_s)
    return elapsed_s


def _bytes(fleet: InProcessFleet) -> int:
    return _total(fleet, "peer_sent_bytes_total", "peer_received_bytes_total")


def _messages(fleet: InProcessFleet) -> int:
    return _total(fleet, "peer_sent_total")


def _total(fleet: InProcessFleet, *names: str) -> int:
    nodes = fleet.nodes.values()
    return sum(node.metrics.total(name) for node in nodes for name in names)


def _reads(fleet: InProcessFleet) -> int:
    return sum(table.reads for table in fleet.tables.values())


def _transactions(fleet: InProcessFleet) -> int:
    return sum(table.transactions for table in fleet.tables.values())
