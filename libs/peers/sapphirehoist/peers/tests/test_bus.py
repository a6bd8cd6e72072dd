"""Replies are matched to their requests; whatever is not is dropped and counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import gevent
import zmq

from sapphirehoist.clock import HybridClock, ManualClock, SystemClock
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import (
    CurveKeys,
    MemoryNetwork,
    MemoryTransport,
    NoReply,
    PeerBus,
    PeerMessage,
    PeerTransport,
    Receiver,
    ZmqTransport,
)
from sapphirehoist.testing import free_port, wait_until


class Question(PeerMessage, frozen=True, array_like=True):
    KIND: ClassVar[str] = "test.question"
    number: int


class Reply(PeerMessage, frozen=True, array_like=True):
    KIND: ClassVar[str] = "test.reply"
    number: int


class HeldTransport(PeerTransport):
    """Holds replies back so that a test can reorder, repeat and delay them."""

    def __init__(self) -> None:
        self.replies: list[Callable[[], None]] = []

    def start(self, receiver: Receiver) -> None:
        self.receiver = receiver

    def send(self, address: str, payload: bytes) -> bool:
        self.receiver.receive_request(payload, self.hold)
        return True

    def hold(self, payload: bytes) -> None:
        self.replies.append(lambda: self.receiver.receive_reply(payload))

    def forget(self, address: str) -> None:
        pass

    def close(self) -> None:
        pass


def test_reordered_repeated_and_late_replies() -> None:
    clock = ManualClock()
    transport = HeldTransport()
    metrics = Metrics()
    bus = PeerBus("vm-1", transport, clock, HybridClock(clock), metrics)
    bus.subscribe(Question, lambda sender, question: Reply(question.number))
    bus.start()
    tasks = [
        gevent.spawn(bus.ask, "vm-1", Question(n), Reply, 1.0 if n else 0.1)
        for n in range(4)
    ]
    clock.advance(0.2)
    for deliver in [*reversed(transport.replies), *transport.replies]:
        deliver()
    clock.settle()
    assert isinstance(tasks[0].get(timeout=0), NoReply)
    assert [task.get(timeout=0).number for task in tasks[1:]] == [1, 2, 3]
    # One late reply, delivered twice, and three repeated ones.
    assert metrics.total("peer_late_replies_total") == 5


def test_truncated_and_foreign_messages_are_counted() -> None:
    clock = ManualClock()
    network = MemoryNetwork(clock)
    metrics = Metrics()
    transport = MemoryTransport(network, "a")
    bus = PeerBus("vm-1", transport, clock, HybridClock(clock), metrics)
    bus.subscribe(Question, lambda sender, question: Reply(question.number))
    bus.start()
    sealed = bus._seal(Question(1), 1)
    for payload in (b"", b"\x93", sealed[:-1], sealed[:10], b"{}", b"\xff" * 50):
        bus.receive_request(payload, lambda reply: None)
        bus.receive_reply(payload)
    clock.settle()
    assert metrics.total("peer_malformed_total") == 12
    answer = gevent.spawn(bus.ask, "a", Question(7), Reply, 1.0)
    clock.advance(0.1)
    assert answer.get(timeout=0) == Reply(7)


class Counting(Receiver):
    """Counts what arrives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.refused = 0

    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        self.received.append(payload)

    def receive_reply(self, payload: bytes) -> None:
        pass

    def count_refused_connection(self) -> None:
        self.refused += 1


def test_a_wrong_key_gets_nothing_through() -> None:
    def keys() -> CurveKeys:
        return CurveKeys(*[key.decode() for key in zmq.curve_keypair()])

    fleet = keys()
    address = f"tcp://127.0.0.1:{free_port()}"
    receiver = Counting()
    server = ZmqTransport(address, fleet)
    server.start(receiver)
    other = ZmqTransport("tcp://127.0.0.1:1", keys())
    member = ZmqTransport("tcp://127.0.0.1:1", fleet)
    # The stranger knows the public key, which servers do not hide.
    impostor = ZmqTransport("tcp://127.0.0.1:1", keys())
    other.send(address, b"other")
    dealer = impostor._new_socket(zmq.DEALER)
    dealer.curve_serverkey = fleet.public.encode()
    dealer.connect(address)
    dealer.send(b"impostor with the server's key")
    member.send(address, b"member")
    wait_until(lambda: b"member" in receiver.received, "the member is heard")
    SystemClock().sleep(0.5)
    assert receiver.received == [b"member"]
    assert receiver.refused >= 1
    for transport in (server, other, member, impostor):
        transport.close()
