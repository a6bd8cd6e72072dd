"""Tests of request matching, of malformed messages and of CURVE authentication."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import gevent
import pytest
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
    TcpTransport,
    ZmqTransport,
)
from sapphirehoist.testing import free_port, wait_until


class Question(PeerMessage, frozen=True, array_like=True):
    KIND: ClassVar[str] = "test.question"
    number: int


class Reply(PeerMessage, frozen=True, array_like=True):
    KIND: ClassVar[str] = "test.reply"
    number: int


class ReplyHoldingTransport(PeerTransport):
    """Holds replies so that a test can reorder, duplicate and delay them."""

    def __init__(self) -> None:
        self.held_replies: list[Callable[[], None]] = []

    def start(self, receiver: Receiver) -> None:
        self.receiver = receiver

    def send(self, address: str, payload: bytes) -> bool:
        self.receiver.receive_request(payload, self.hold_reply)
        return True

    def hold_reply(self, payload: bytes) -> None:
        self.held_replies.append(lambda: self.receiver.receive_reply(payload))

    def disconnect(self, address: str) -> None:
        pass

    def close(self) -> None:
        pass


def test_reordered_duplicate_and_late_replies() -> None:
    clock = ManualClock()
    transport = ReplyHoldingTransport()
    metrics = Metrics()
    bus = PeerBus("vm-1", transport, clock, HybridClock(clock), metrics)
    bus.subscribe(Question, lambda sender, question: Reply(question.number))
    bus.start()
    tasks = [
        gevent.spawn(bus.request, "vm-1", Question(n), Reply, 1.0 if n else 0.1)
        for n in range(4)
    ]
    clock.advance(0.2)
    for deliver_reply in [*reversed(transport.held_replies), *transport.held_replies]:
        deliver_reply()
    clock.settle()
    assert isinstance(tasks[0].get(timeout=0), NoReply)
    assert [task.get(timeout=0).number for task in tasks[1:]] == [1, 2, 3]
    # One late reply, delivered twice, and three duplicates.
    assert metrics.total("peer_late_replies_total") == 5


def test_reply_to_an_earlier_process_at_the_address_is_dropped() -> None:
    """Guards against replies that a restarted process takes for those of its own calls,
    since each process counts its calls from 1.
    """
    clock = ManualClock()
    network = MemoryNetwork(clock)

    def start_bus(vm: str, address: str) -> PeerBus:
        transport = MemoryTransport(network, address)
        bus = PeerBus(vm, transport, clock, HybridClock(clock), Metrics())
        bus.subscribe(Question, answer_slowly)
        bus.start()
        return bus

    def answer_slowly(sender: str, question: Question) -> Reply:
        clock.sleep(1.0)
        return Reply(question.number)

    start_bus("vm-2", "b")
    first = start_bus("vm-1", "a")
    gevent.spawn(first.request, "b", Question(1), Reply, 5.0)
    clock.advance(0.5)
    first.close()
    restarted = start_bus("vm-1", "a")
    task = gevent.spawn(restarted.request, "b", Question(2), Reply, 5.0)
    clock.advance(0.6)
    clock.advance(0.6)
    assert task.get(timeout=0) == Reply(2)


def test_malformed_messages_are_counted() -> None:
    clock = ManualClock()
    network = MemoryNetwork(clock)
    metrics = Metrics()
    transport = MemoryTransport(network, "a")
    bus = PeerBus("vm-1", transport, clock, HybridClock(clock), metrics)
    bus.subscribe(Question, lambda sender, question: Reply(question.number))
    bus.start()
    encoded = bus._encode_envelope(Question(1), 1)
    for payload in (b"", b"\x93", encoded[:-1], encoded[:10], b"{}", b"\xff" * 50):
        bus.receive_request(payload, lambda reply: None)
        bus.receive_reply(payload)
    clock.settle()
    assert metrics.total("peer_malformed_total") == 12
    task = gevent.spawn(bus.request, "a", Question(7), Reply, 1.0)
    clock.advance(0.1)
    assert task.get(timeout=0) == Reply(7)


@pytest.mark.parametrize("transport_type", [ZmqTransport, TcpTransport])
@pytest.mark.parametrize(
    "address", ["", "nowhere", "tcp://127.0.0.1:", "tcp://127.0.0.1:\u0663"]
)
def test_message_to_something_that_is_no_address_is_dropped(
    transport_type: type[PeerTransport], address: str
) -> None:
    """Guards against rows of members that end the tasks that send to all members."""
    own_address = f"tcp://127.0.0.1:{free_port()}"
    transport = (
        ZmqTransport(own_address, None)
        if transport_type is ZmqTransport
        else TcpTransport(own_address)
    )
    transport.start(RecordingReceiver())
    assert not transport.send(address, b"message")
    transport.close()


class RecordingReceiver(Receiver):
    """Records requests and counts refused connections."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.refused_connections = 0

    def receive_request(
        self, payload: bytes, send_reply: Callable[[bytes], None]
    ) -> None:
        self.requests.append(payload)

    def receive_reply(self, payload: bytes) -> None:
        pass

    def count_refused_connection(self) -> None:
        self.refused_connections += 1


def test_clients_with_foreign_keys_are_refused() -> None:
    def new_keys() -> CurveKeys:
        return CurveKeys(*[key.decode() for key in zmq.curve_keypair()])

    fleet_keys = new_keys()
    address = f"tcp://127.0.0.1:{free_port()}"
    receiver = RecordingReceiver()
    server = ZmqTransport(address, fleet_keys)
    server.start(receiver)
    foreign = ZmqTransport("tcp://127.0.0.1:1", new_keys())
    fleet_member = ZmqTransport("tcp://127.0.0.1:1", fleet_keys)
    # The impostor knows the public key of the fleet, which is not a secret, but has its
    # own key pair.
    impostor = ZmqTransport("tcp://127.0.0.1:1", new_keys())
    foreign.send(address, b"other")
    dealer = impostor._new_socket(zmq.DEALER)
    dealer.curve_serverkey = fleet_keys.public.encode()
    dealer.connect(address)
    dealer.send(b"impostor with the server's key")
    fleet_member.send(address, b"member")
    wait_until(
        lambda: b"member" in receiver.requests, "the request of the fleet member"
    )
    SystemClock().sleep(0.5)
    assert receiver.requests == [b"member"]
    assert receiver.refused_connections >= 1
    for transport in (server, foreign, fleet_member, impostor):
        transport.close()
