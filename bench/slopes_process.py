"""Processor time, memory and wire bytes of real processes and sockets."""

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
from sapphirehoist.membership import FailureDetector, Fleet, Member, MemberNews, Status
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import CurveKeys, PeerBus, Receiver, ZmqTransport
from sapphirehoist.testing import Relay, free_port

_SIZES = (4, 8, 16, 32)
_SECONDS = 10.0
_TOKEN_RATES = (900, 1800, 2700, 3500)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MESSAGES = 2000


class _Peer:
    """The control part of one node over real sockets."""

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
        """Meet all members and begin heartbeats."""
        self.bus.start()
        for member in members:
            news = MemberNews(
                member.vm, member.incarnation, 0, Status.ALIVE, False, member
            )
            self.fleet.view.merge(news)
        self.fleet.forget_neighbours()
        self.task = gevent.spawn(self.detector.run)

    def stop(self) -> None:
        """End heartbeats and close every socket."""
        self.task.kill()
        self.bus.close()


def measure_process_slopes() -> None:
    """Print timed costs over real sockets."""
    print("== processes: timed, varies between runs ==")
    keys = CurveKeys(*[key.decode() for key in zmq.curve_keypair()])
    costs = [_measure_peers(size, keys) for size in _SIZES]
    cores = [100 * cost[0] for cost in costs]
    print_fit("heartbeats", "% of a core per node", _SIZES, cores, "log2(n)")
    memory = [cost[1] / 1e6 for cost in costs]
    print_fit("sockets and state", "MB per node", _SIZES, memory, "log2(n)")
    tokens = measure_token_cores(_TOKEN_RATES)
    rates = [rate for rate, _ in tokens]
    print_fit("tokens passed on", "cores", rates, [used for _, used in tokens], "n")
    print(f"wire overhead of a message: {_wire_overhead(keys):.1f} bytes")


def _measure_peers(size: int, keys: CurveKeys) -> tuple[float, float]:
    """Return processor time for each second and node, and resident bytes."""
    resident = _resident_bytes()
    peers = [_Peer(n, free_port(), keys) for n in range(size)]
    members = [peer.member for peer in peers]
    for peer in peers:
        peer.start(members)
    gevent.sleep(12)
    busy = time.process_time()
    gevent.sleep(_SECONDS)
    busy = time.process_time() - busy
    grown = _resident_bytes() - resident
    for peer in peers:
        peer.stop()
    return busy / _SECONDS / size, grown / size


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def _wire_overhead(keys: CurveKeys) -> float:
    """Return the bytes on the wire beyond the payload of one message."""
    ports = [free_port(), free_port()]
    relay = Relay(ports[1])
    addresses = [f"tcp://127.0.0.1:{port}" for port in ports]
    sender, receiver = (ZmqTransport(address, keys) for address in addresses)
    received = _Counter()
    sender.start(received)
    receiver.start(received)
    address = f"tcp://127.0.0.1:{relay.port}"
    sender.send(address, b"x")
    gevent.sleep(0.5)
    before = relay.bytes_relayed
    for _ in range(_MESSAGES):
        sender.send(address, b"x" * 100)
        gevent.sleep(0.0005)
    gevent.sleep(0.5)
    relayed = relay.bytes_relayed - before
    count = received.count - 1
    sender.close()
    receiver.close()
    relay.close()
    return relayed / count - 100


class _Counter(Receiver):
    """Counts what a transport receives."""

    def __init__(self) -> None:
        self.count = 0

    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        """Count a message."""
        self.count += 1

    def receive_reply(self, payload: bytes) -> None:
        """Ignore replies; there are none."""
