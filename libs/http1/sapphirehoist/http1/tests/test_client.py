"""Connections to endpoints: complete, mismatched and broken responses, and reuse."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import (
    EndpointConnectionPool,
    EndpointResponse,
    Headers,
    Lost,
    NotSent,
    OutboundRequest,
    RequestHead,
    TcpConnector,
    TruncatedBody,
)
from sapphirehoist.http1.messages import ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import reset_on_close

MATCHING_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown"
MISMATCHED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Id: stray\r\nContent-Length: 5\r\n\r\nstray"
)
KEEP_ALIVE_HEADER = b"Keep-Alive: timeout=5\r\n"


@dataclass(slots=True)
class ScriptedEndpoint:
    """Sends one of `responses` for each request, then calls `after_responses`."""

    responses: list[bytes] = field(default_factory=list)
    after_responses: Callable[[socket.socket], None] = lambda sock: gevent.sleep(5)
    connection_count: int = 0
    address: str = ""

    def __call__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.connection_count += 1
        while self.responses:
            if not sock.recv(65_536):
                return
            sock.sendall(self.responses.pop(0))
        self.after_responses(sock)


@pytest.fixture
def endpoint() -> Iterator[ScriptedEndpoint]:
    endpoint = ScriptedEndpoint()
    server = StreamServer(("127.0.0.1", 0), endpoint)
    server.start()
    endpoint.address = f"127.0.0.1:{server.server_port}"
    yield endpoint
    server.stop(timeout=0)


@pytest.fixture
def connections() -> EndpointConnectionPool:
    return EndpointConnectionPool(TcpConnector(), SystemClock(), Metrics())


def is_matching(head: ResponseHead, is_reused: bool) -> bool:
    return head.headers.get("X-Id") == "own"


REQUEST = OutboundRequest(RequestHead("POST", "/a", Headers([("Host", "h")])), b"body")


def call(
    connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
) -> EndpointResponse | NotSent | Lost:
    return connections.call(endpoint.address, REQUEST, is_matching)


class TestResponses:
    def test_complete(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MATCHING_RESPONSE]
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        assert response.read_all() == b"own"

    def test_mismatched_response_is_skipped(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MISMATCHED_RESPONSE + MATCHING_RESPONSE]
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        assert response.read_all() == b"own"

    def test_mismatched_response_only(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MISMATCHED_RESPONSE]
        endpoint.after_responses = lambda sock: sock.close()
        assert isinstance(call(connections, endpoint), Lost)

    def test_truncated(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MATCHING_RESPONSE[:-1]]
        endpoint.after_responses = lambda sock: sock.close()
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        assert isinstance(response.read_all(), TruncatedBody)

    def test_reset_without_content_length(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\npart"]

        def reset(sock: socket.socket) -> None:
            gevent.sleep(0.05)
            reset_on_close(sock)
            sock.close()

        endpoint.after_responses = reset
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        assert isinstance(response.read_all(), TruncatedBody)

    def test_malformed(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [b"\x00\x01 nonsense\r\n\r\n"]
        assert isinstance(call(connections, endpoint), Lost)

    def test_connection_refused(self, connections: EndpointConnectionPool) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        assert isinstance(connections.call(address, REQUEST, is_matching), NotSent)


class TestReuse:
    def exchange(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> bytes:
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        body = response.read_all()
        assert isinstance(body, bytes)
        response.close()
        return body

    def test_after_a_complete_response(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        keep_alive_response = MATCHING_RESPONSE.replace(
            b"X-Id", KEEP_ALIVE_HEADER + b"X-Id"
        )
        endpoint.responses = [keep_alive_response, keep_alive_response]
        assert self.exchange(connections, endpoint) == b"own"
        assert self.exchange(connections, endpoint) == b"own"
        assert endpoint.connection_count == 1

    @pytest.mark.parametrize("extra", [b"x", MISMATCHED_RESPONSE])
    def test_not_after_extra_bytes(
        self,
        connections: EndpointConnectionPool,
        endpoint: ScriptedEndpoint,
        extra: bytes,
    ) -> None:
        endpoint.responses = [MATCHING_RESPONSE + extra, MATCHING_RESPONSE]
        self.exchange(connections, endpoint)
        endpoint.responses = [MATCHING_RESPONSE]
        self.exchange(connections, endpoint)
        assert endpoint.connection_count == 2

    def test_not_after_extra_bytes_while_idle(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MATCHING_RESPONSE]

        def send_extra_bytes(sock: socket.socket) -> None:
            sock.sendall(MISMATCHED_RESPONSE)
            gevent.sleep(5)

        endpoint.after_responses = send_extra_bytes
        self.exchange(connections, endpoint)
        gevent.sleep(0.05)
        endpoint.responses = [MATCHING_RESPONSE]
        self.exchange(connections, endpoint)
        assert endpoint.connection_count == 2

    def test_not_after_the_idle_limit(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        endpoint.responses = [MATCHING_RESPONSE, MATCHING_RESPONSE]
        self.exchange(connections, endpoint)
        response = connections.call(
            endpoint.address, REQUEST, is_matching, max_idle_s=0.0
        )
        assert isinstance(response, EndpointResponse)
        assert endpoint.connection_count == 2

    def test_nothing_is_sent_on_a_connection_that_must_not_be_used(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        """Neither on a kept connection, nor on the new one that replaces it."""
        endpoint.responses = [MATCHING_RESPONSE]
        self.exchange(connections, endpoint)
        refused = connections.call(
            endpoint.address, REQUEST, is_matching, may_use=lambda sock: False
        )
        assert isinstance(refused, NotSent)
        assert endpoint.connection_count <= 2


class TestChunksThatArriveTogether:
    def test_read_that_times_out_loses_nothing(
        self, connections: EndpointConnectionPool, endpoint: ScriptedEndpoint
    ) -> None:
        """Guards against chunks that are lost if a timeout interrupts their joining."""
        body = b"".join(b"%d," % number for number in range(3_000))
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        head = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
        endpoint.responses = [head + chunks + b"0\r\n\r\n"]
        response = call(connections, endpoint)
        assert isinstance(response, EndpointResponse)
        # Turns are taken beside a task that has much to do.
        busy = gevent.spawn(work_without_end)
        received, timeout_count = b"", 0
        while True:
            try:
                with gevent.Timeout(0.001):
                    block = response.read_block()
            except gevent.Timeout:
                timeout_count += 1
                continue
            assert isinstance(block, bytes)
            if not block:
                break
            received += block
        busy.kill()
        assert timeout_count
        assert received == body


def work_without_end() -> None:
    clock = SystemClock()
    while True:
        started_at = clock.monotonic()
        while clock.monotonic() < started_at + 0.002:
            pass
        gevent.sleep(0)
