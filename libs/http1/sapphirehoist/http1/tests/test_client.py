"""Connections to endpoints: whole answers, stray answers, broken ones, reuse."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import (
    Broken,
    EndpointConnections,
    Headers,
    Lost,
    NotSent,
    OutboundRequest,
    Reply,
    RequestHead,
)
from sapphirehoist.http1.messages import ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import reset_on_close

OWN = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown"
STRAY = b"HTTP/1.1 200 OK\r\nX-Id: stray\r\nContent-Length: 5\r\n\r\nstray"
KEEP = b"Keep-Alive: timeout=5\r\n"


@dataclass(slots=True)
class Endpoint:
    """Sends prepared bytes for each request, then does what the test says."""

    answers: list[bytes] = field(default_factory=list)
    then: Callable[[socket.socket], None] = lambda sock: gevent.sleep(5)
    connections: int = 0
    address: str = ""

    def __call__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.connections += 1
        while self.answers:
            if not sock.recv(65_536):
                return
            sock.sendall(self.answers.pop(0))
        self.then(sock)


@pytest.fixture
def endpoint() -> Iterator[Endpoint]:
    endpoint = Endpoint()
    server = StreamServer(("127.0.0.1", 0), endpoint)
    server.start()
    endpoint.address = f"127.0.0.1:{server.server_port}"
    yield endpoint
    server.stop(timeout=0)


@pytest.fixture
def connections() -> EndpointConnections:
    return EndpointConnections(SystemClock(), Metrics())


def is_own(head: ResponseHead) -> bool:
    return head.headers.get("X-Id") == "own"


REQUEST = OutboundRequest(RequestHead("POST", "/a", Headers([("Host", "h")])), b"body")


def call(
    connections: EndpointConnections, endpoint: Endpoint
) -> Reply | NotSent | Lost:
    return connections.call(endpoint.address, REQUEST, is_own)


class TestAnswers:
    def test_whole(self, connections: EndpointConnections, endpoint: Endpoint) -> None:
        endpoint.answers = [OWN]
        reply = call(connections, endpoint)
        assert isinstance(reply, Reply)
        assert reply.read_all() == b"own"

    def test_a_stray_answer_is_skipped(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [STRAY + OWN]
        reply = call(connections, endpoint)
        assert isinstance(reply, Reply)
        assert reply.read_all() == b"own"

    def test_a_stray_answer_only(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [STRAY]
        endpoint.then = lambda sock: sock.close()
        assert isinstance(call(connections, endpoint), Lost)

    def test_truncated(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [OWN[:-1]]
        endpoint.then = lambda sock: sock.close()
        reply = call(connections, endpoint)
        assert isinstance(reply, Reply)
        assert isinstance(reply.read_all(), Broken)

    def test_without_length_and_reset(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\npart"]

        def reset(sock: socket.socket) -> None:
            gevent.sleep(0.05)
            reset_on_close(sock)
            sock.close()

        endpoint.then = reset
        reply = call(connections, endpoint)
        assert isinstance(reply, Reply)
        assert isinstance(reply.read_all(), Broken)

    def test_not_http(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [b"\x00\x01 nonsense\r\n\r\n"]
        assert isinstance(call(connections, endpoint), Lost)

    def test_nobody_listens(self, connections: EndpointConnections) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        assert isinstance(connections.call(address, REQUEST, is_own), NotSent)


class TestReuse:
    def exchange(self, connections: EndpointConnections, endpoint: Endpoint) -> bytes:
        reply = call(connections, endpoint)
        assert isinstance(reply, Reply)
        body = reply.read_all()
        assert isinstance(body, bytes)
        reply.close()
        return body

    def test_after_a_whole_answer(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        kept = OWN.replace(b"X-Id", KEEP + b"X-Id")
        endpoint.answers = [kept, kept]
        assert self.exchange(connections, endpoint) == b"own"
        assert self.exchange(connections, endpoint) == b"own"
        assert endpoint.connections == 1

    @pytest.mark.parametrize("extra", [b"x", STRAY])
    def test_not_after_extra_bytes(
        self, connections: EndpointConnections, endpoint: Endpoint, extra: bytes
    ) -> None:
        endpoint.answers = [OWN + extra, OWN]
        self.exchange(connections, endpoint)
        endpoint.answers = [OWN]
        self.exchange(connections, endpoint)
        assert endpoint.connections == 2

    def test_not_after_extra_bytes_that_come_late(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [OWN]

        def send_late(sock: socket.socket) -> None:
            sock.sendall(STRAY)
            gevent.sleep(5)

        endpoint.then = send_late
        self.exchange(connections, endpoint)
        gevent.sleep(0.05)
        endpoint.answers = [OWN]
        self.exchange(connections, endpoint)
        assert endpoint.connections == 2

    def test_not_when_it_was_idle_for_too_long(
        self, connections: EndpointConnections, endpoint: Endpoint
    ) -> None:
        endpoint.answers = [OWN, OWN]
        self.exchange(connections, endpoint)
        reply = connections.call(endpoint.address, REQUEST, is_own, freshest_s=0.0)
        assert isinstance(reply, Reply)
        assert endpoint.connections == 2
