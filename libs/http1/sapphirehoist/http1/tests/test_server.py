"""Callers' connections: disconnects, framing, limits and aborted responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import (
    CallerDisconnected,
    CallerRequest,
    CallerServer,
    Exchange,
    Headers,
    ResponseHead,
)
from sapphirehoist.observability import Metrics

WAIT_S = 5.0


@dataclass(slots=True)
class Limits:
    max_header_bytes: int = 2_000
    max_body_bytes: int = 1_000
    header_timeout_s: float = 0.3
    idle_timeout_s: float = 5.0


@dataclass(slots=True)
class Backend:
    """Records requests and passes each exchange to `respond`, set by the test."""

    respond: Callable[[Exchange], None] = lambda exchange: exchange.respond(
        ResponseHead(200, Headers()), b"ok"
    )
    requests: list[CallerRequest] = field(default_factory=list)
    started: Event = field(default_factory=Event)
    caller_disconnected: Event = field(default_factory=Event)

    def __call__(self, request: CallerRequest, exchange: Exchange) -> None:
        self.requests.append(request)
        self.started.set()
        try:
            self.respond(exchange)
        except CallerDisconnected:
            self.caller_disconnected.set()
            raise


@dataclass(slots=True)
class RunningServer:
    backend: Backend
    server: CallerServer

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.settimeout(WAIT_S)
        return sock

    def exchange(self, data: bytes) -> bytes:
        """Send `data` and return all bytes received until the server closes."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    received = b""
    while block := sock.recv(65_536):
        received += block
    return received


@pytest.fixture
def running_server() -> Iterator[RunningServer]:
    backend = Backend()
    server = CallerServer("127.0.0.1:0", backend, Limits, SystemClock(), Metrics())
    server.start()
    yield RunningServer(backend, server)
    server.stop()


GET_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
GET_AND_CLOSE_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class TestCallerDisconnects:
    def test_while_awaiting_the_response(self, running_server: RunningServer) -> None:
        running_server.backend.respond = lambda exchange: gevent.sleep(WAIT_S)
        sock = running_server.connect()
        sock.sendall(GET_REQUEST)
        assert running_server.backend.started.wait(WAIT_S)
        sock.close()
        assert running_server.backend.caller_disconnected.wait(WAIT_S)

    def test_on_a_reused_connection(self, running_server: RunningServer) -> None:
        sock = running_server.connect()
        sock.sendall(GET_REQUEST)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
        running_server.backend.respond = lambda exchange: gevent.sleep(WAIT_S)
        running_server.backend.started.clear()
        sock.sendall(GET_REQUEST)
        assert running_server.backend.started.wait(WAIT_S)
        sock.close()
        assert running_server.backend.caller_disconnected.wait(WAIT_S)


class TestFraming:
    def test_chunked_body(self, running_server: RunningServer) -> None:
        head = GET_AND_CLOSE_REQUEST.replace(b"GET", b"POST")[:-2]
        chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        running_server.exchange(head + chunks)
        assert running_server.backend.requests[0].body == b"abc"

    @pytest.mark.parametrize(
        "lines",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Host: other\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Content-Length: +3\r\n",
            b"X-A : b\r\n",
        ],
    )
    def test_ambiguous_requests_are_refused(
        self, running_server: RunningServer, lines: bytes
    ) -> None:
        data = b"POST /a HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n0\r\n\r\n"
        response = running_server.exchange(data)
        assert response.split(b" ")[1] in (b"400", b"501")
        assert not running_server.backend.requests

    def test_request_smuggled_in_a_body_is_not_run(
        self, running_server: RunningServer
    ) -> None:
        smuggled = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        length = f"Content-Length: {len(smuggled)}\r\n\r\n".encode()
        running_server.exchange(head + length + smuggled)
        assert [r.head.target for r in running_server.backend.requests] == ["/a"]

    def test_pipelined_requests_are_handled_in_order(
        self, running_server: RunningServer
    ) -> None:
        running_server.exchange(
            GET_REQUEST.replace(b"/a", b"/1")
            + GET_AND_CLOSE_REQUEST.replace(b"/a", b"/2")
        )
        assert [r.head.target for r in running_server.backend.requests] == ["/1", "/2"]


class TestLimits:
    def test_head_over_the_limit(self, running_server: RunningServer) -> None:
        data = b"GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + b"a" * 3_000
        assert b" 431 " in running_server.exchange(data)

    def test_body_over_the_limit(self, running_server: RunningServer) -> None:
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
        assert b" 413 " in running_server.exchange(data + b"a" * 2_000)

    def test_head_timeout(self, running_server: RunningServer) -> None:
        assert b" 408 " in running_server.exchange(b"GET /a HTTP/1.1\r\nHos")

    def test_head_that_arrives_byte_by_byte(
        self, running_server: RunningServer
    ) -> None:
        """Each byte arrives in time, but the whole head does not."""
        head = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 60
        with running_server.connect() as sock:
            sock.settimeout(0.05)
            for byte in head:
                sock.sendall(bytes([byte]))
                with suppress(TimeoutError):
                    assert sock.recv(65_536).startswith(b"HTTP/1.1 408")
                    return
        raise AssertionError("the whole head could be sent")

    def test_long_body_that_arrives_in_parts(
        self, running_server: RunningServer
    ) -> None:
        with running_server.connect() as sock:
            sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                gevent.sleep(0.1)
                sock.sendall(b"x")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200")


class TestResponses:
    def test_aborted_response_does_not_look_complete(
        self, running_server: RunningServer
    ) -> None:
        def respond_and_abort(exchange: Exchange) -> None:
            exchange.begin(ResponseHead(200, Headers()), None, b"part")
            exchange.abort()

        running_server.backend.respond = respond_and_abort
        with running_server.connect() as sock:
            sock.sendall(b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                read_all(sock)

    def test_closing_server_sends_connection_close(
        self, running_server: RunningServer
    ) -> None:
        running_server.server.is_closing = True
        assert b"connection: close" in running_server.exchange(GET_REQUEST).lower()

    def test_closing_server_closes_idle_connections(
        self, running_server: RunningServer
    ) -> None:
        sock = running_server.connect()
        sock.sendall(GET_REQUEST)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
        running_server.server.begin_closing()
        assert sock.recv(1) == b""
