"""The TCP transport: replies, restarts of a peer, silence, nonsense."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket

from sapphirehoist.peers import Receiver, TcpTransport
from sapphirehoist.testing import free_port, wait_until


@dataclass(slots=True, eq=False)
class Echo(Receiver):
    """Answers each request with itself, and keeps what it gets."""

    requests: list[bytes] = field(default_factory=list)
    replies: list[bytes] = field(default_factory=list)

    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        self.requests.append(payload)
        reply(payload)

    def receive_reply(self, payload: bytes) -> None:
        self.replies.append(payload)


class Peer:
    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.address = f"tcp://127.0.0.1:{self.port}"
        self.echo = Echo()
        self.transport = TcpTransport(self.address)
        self.transport.start(self.echo)


@pytest.fixture
def peers() -> Iterator[list[Peer]]:
    peers = [Peer(), Peer()]
    yield peers
    for peer in peers:
        peer.transport.close()


def test_replies_return_in_order(peers: list[Peer]) -> None:
    a, b = peers
    sent = [bytes([i]) * (i * 1_000) for i in range(1, 60)]
    for payload in sent:
        assert a.transport.send(b.address, payload)
    wait_until(lambda: len(a.echo.replies) == len(sent), "replies")
    assert b.echo.requests == sent
    assert a.echo.replies == sent


def test_a_peer_that_restarts_is_reached_again(peers: list[Peer]) -> None:
    a, b = peers
    a.transport.send(b.address, b"one")
    wait_until(lambda: a.echo.replies, "the first reply")
    b.transport.close()
    gevent.sleep(0.1)
    peers[1] = Peer(b.port)

    def is_reached() -> bool:
        a.transport.send(b.address, b"two")
        gevent.sleep(0.05)
        return b"two" in a.echo.replies

    wait_until(is_reached, "the restarted peer")


def test_nothing_old_is_delivered_to_a_peer_that_was_away(peers: list[Peer]) -> None:
    a, _ = peers
    port = free_port()
    a.transport.send(f"tcp://127.0.0.1:{port}", b"old")
    gevent.sleep(0.5)
    late = Peer(port)
    peers.append(late)
    a.transport.send(late.address, b"new")
    wait_until(lambda: late.echo.requests, "a message")
    assert late.echo.requests == [b"new"]


def test_a_full_queue_drops(peers: list[Peer]) -> None:
    a, _ = peers
    with socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        address = f"tcp://127.0.0.1:{silent.getsockname()[1]}"
        results = [a.transport.send(address, b"x") for _ in range(300)]
    assert results[0]
    assert not results[-1]


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\x00\x00", b"GET / HTTP/1.1"])
def test_nonsense_ends_only_its_own_connection(peers: list[Peer], data: bytes) -> None:
    a, b = peers
    with socket.create_connection(("127.0.0.1", b.port)) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(5)
        assert sock.recv(1) == b""
    a.transport.send(b.address, b"one")
    wait_until(lambda: a.echo.replies == [b"one"], "the reply")
