"""Tests of the TCP transport: replies, restarted and unresponsive peers, bad frames."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket

from sapphirehoist.peers import Receiver, TcpTransport
from sapphirehoist.testing import free_port, wait_until


@dataclass(slots=True, eq=False)
class EchoReceiver(Receiver):
    """Replies to each request with its payload, and records requests and replies."""

    requests: list[bytes] = field(default_factory=list)
    replies: list[bytes] = field(default_factory=list)

    def receive_request(
        self, payload: bytes, send_reply: Callable[[bytes], None]
    ) -> None:
        self.requests.append(payload)
        send_reply(payload)

    def receive_reply(self, payload: bytes) -> None:
        self.replies.append(payload)


class PeerHarness:
    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.address = f"tcp://127.0.0.1:{self.port}"
        self.receiver = EchoReceiver()
        self.transport = TcpTransport(self.address)
        self.transport.start(self.receiver)


@pytest.fixture
def peers() -> Iterator[list[PeerHarness]]:
    peers = [PeerHarness(), PeerHarness()]
    yield peers
    for peer in peers:
        peer.transport.close()


def test_replies_return_in_order(peers: list[PeerHarness]) -> None:
    client, server = peers
    payloads = [bytes([i]) * (i * 1_000) for i in range(1, 60)]
    for payload in payloads:
        assert client.transport.send(server.address, payload)
    wait_until(lambda: len(client.receiver.replies) == len(payloads), "replies")
    assert server.receiver.requests == payloads
    assert client.receiver.replies == payloads


def test_reconnects_to_a_restarted_peer(peers: list[PeerHarness]) -> None:
    client, server = peers
    client.transport.send(server.address, b"one")
    wait_until(lambda: client.receiver.replies, "the first reply")
    server.transport.close()
    gevent.sleep(0.1)
    peers[1] = PeerHarness(server.port)

    def has_second_reply() -> bool:
        client.transport.send(server.address, b"two")
        gevent.sleep(0.05)
        return b"two" in client.receiver.replies

    wait_until(has_second_reply, "the restarted peer")


def test_messages_to_an_unreachable_peer_are_dropped(peers: list[PeerHarness]) -> None:
    client, _ = peers
    port = free_port()
    client.transport.send(f"tcp://127.0.0.1:{port}", b"old")
    gevent.sleep(0.5)
    later_peer = PeerHarness(port)
    peers.append(later_peer)
    client.transport.send(later_peer.address, b"new")
    wait_until(lambda: later_peer.receiver.requests, "a message")
    assert later_peer.receiver.requests == [b"new"]


def test_a_full_queue_drops_messages(peers: list[PeerHarness]) -> None:
    client, _ = peers
    with socket.socket() as unresponsive:
        unresponsive.bind(("127.0.0.1", 0))
        address = f"tcp://127.0.0.1:{unresponsive.getsockname()[1]}"
        results = [client.transport.send(address, b"x") for _ in range(300)]
    assert results[0]
    assert not results[-1]


@pytest.mark.parametrize(
    "malformed", [b"\xff\xff\xff\xff", b"\x00\x00", b"GET / HTTP/1.1"]
)
def test_malformed_data_closes_only_its_own_connection(
    peers: list[PeerHarness], malformed: bytes
) -> None:
    client, server = peers
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.sendall(malformed)
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(5)
        assert sock.recv(1) == b""
    client.transport.send(server.address, b"one")
    wait_until(lambda: client.receiver.replies == [b"one"], "the reply")
