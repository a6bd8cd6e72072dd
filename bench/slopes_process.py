"""Processor time, memory and bytes on the wire, measured with real sockets."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from random import Random

import gevent
import zmq
from entry_cost import measure_token_cores
from fits import print_fit

from sapphirehoist.clock import HybridClock, SystemClock
from sapphirehoist.membership import (
    FailureDetector,
    Fleet,
    Member,
    MemberUpdate,
    Status,
)
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import CurveKeys, PeerBus, Receiver, ZmqTransport
from sapphirehoist.testing import Relay, free_port

_FLEET_SIZES = (4, 8, 16, 32)
_MEASUREMENT_S = 10.0
_TOKENS_PER_S = (900, 1800, 2700, 3500)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MESSAGE_COUNT = 2000


class _PeerNode:
    """Peer bus and failure detector of one node, over real sockets."""

    def __init__(self, number: int, port: int, keys: CurveKeys) -> None:
        clock = SystemClock()
        address = f"tcp://127.0.0.1:{port}"
        self.member = Member(f"vm-{number}", 1, "vest", "vest-a", address, "http://x")
        hybrid = HybridClock(clock)
        self.metrics = Metrics()
        timeline = Timeline(self.member.vm, hybrid)
        transport = ZmqTransport(address, keys)
        self.bus = PeerBus(self.member.vm, transport, clock, hybrid, self.metrics)
        self.fleet = Fleet(self.member, self.bus, self.metrics, timeline)
        random = Random(number)
        self.detector = FailureDetector(
            self.fleet, self.bus, clock, random, self.metrics
        )

    def start(self, members: list[Member]) -> None:
        """Add all members to the view and start heartbeats."""
        self.bus.start()
        for member in members:
            update = MemberUpdate(
                member.vm, member.incarnation, 0, Status.ALIVE, False, member
            )
            self.fleet.view.merge(update)
        self.fleet.invalidate_neighbours()
        self.task = gevent.spawn(self.detector.run)

    def stop(self) -> None:
        """Stop heartbeats and close the sockets."""
        self.task.kill()
        self.bus.close()


def measure_process_slopes() -> None:
    """Print costs of processes with real sockets."""
    print("== processes: timed, varies between runs ==")
    keys = CurveKeys(*[key.decode() for key in zmq.curve_keypair()])
    costs = [_measure_peer_costs(size, keys) for size in _FLEET_SIZES]
    core_percentages = [100 * cost[0] for cost in costs]
    print_fit(
        "heartbeats", "% of a core per node", _FLEET_SIZES, core_percentages, "log2(n)"
    )
    memory_mb = [cost[1] / 1e6 for cost in costs]
    print_fit("sockets and state", "MB per node", _FLEET_SIZES, memory_mb, "log2(n)")
    token_costs = measure_token_cores(_TOKENS_PER_S)
    tokens_per_s = [rate for rate, _ in token_costs]
    print_fit(
        "tokens relayed",
        "cores",
        tokens_per_s,
        [cores for _, cores in token_costs],
        "n",
    )
    print(f"wire overhead of a message: {_measure_wire_overhead(keys):.1f} bytes")


def _measure_peer_costs(size: int, keys: CurveKeys) -> tuple[float, float]:
    """Return the processor time per second and the resident bytes, per node."""
    resident_before = _resident_bytes()
    peers = [_PeerNode(n, free_port(), keys) for n in range(size)]
    members = [peer.member for peer in peers]
    for peer in peers:
        peer.start(members)
    gevent.sleep(12)
    cpu_s = time.process_time()
    gevent.sleep(_MEASUREMENT_S)
    cpu_s = time.process_time() - cpu_s
    resident_growth = _resident_bytes() - resident_before
    for peer in peers:
        peer.stop()
    return cpu_s / _MEASUREMENT_S / size, resident_growth / size


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def _measure_wire_overhead(keys: CurveKeys) -> float:
    """Return the bytes on the wire per message, excluding its payload."""
    ports = [free_port(), free_port()]
    relay = Relay(ports[1])
    addresses = [f"tcp://127.0.0.1:{port}" for port in ports]
    sender, receiver = (ZmqTransport(address, keys) for address in addresses)
    message_counter = _MessageCounter()
    sender.start(message_counter)
    receiver.start(message_counter)
    address = f"tcp://127.0.0.1:{relay.port}"
    sender.send(address, b"x")
    gevent.sleep(0.5)
    bytes_before = relay.bytes_relayed
    for _ in range(_MESSAGE_COUNT):
        sender.send(address, b"x" * 100)
        gevent.sleep(0.0005)
    gevent.sleep(0.5)
    relayed_bytes = relay.bytes_relayed - bytes_before
    received_count = message_counter.count - 1
    sender.close()
    receiver.close()
    relay.close()
    return relayed_bytes / received_count - 100


class _MessageCounter(Receiver):
    """Counts the requests that transports receive."""

    def __init__(self) -> None:
        self.count = 0

    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        """Count a message."""
        self.count += 1

    def receive_reply(self, payload: bytes) -> None:
        """Do nothing, since no message is answered."""
