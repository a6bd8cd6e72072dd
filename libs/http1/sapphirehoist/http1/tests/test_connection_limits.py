"""What connections may hold, how many there are, and how long a request may last."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket

from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import (
    CallerRequest,
    CallerServer,
    Exchange,
    Headers,
    RequestHead,
    ResponseHead,
    caller_connection,
)
from sapphirehoist.observability import Metrics

WAIT_S = 5.0
MAX_CONNECTIONS = 4
GET_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


@dataclass(frozen=True, slots=True)
class Limits:
    max_header_bytes: int = 8_000
    max_body_bytes: int = 50_000
    header_timeout_s: float = 0.5
    idle_timeout_s: float = 5.0


@dataclass(slots=True)
class Memory:
    """Memory of a fixed size, of which connections take none."""

    free_bytes: int = 60_000
    refusal_count: int = 0

    def may_fit(self, byte_count: int) -> bool:
        return byte_count <= 60_000

    def reserve_connection(self, byte_count: int) -> bool:
        return True

    def release_connection(self, byte_count: int) -> None:
        pass

    def reserve(self, byte_count: int, held_bytes: int) -> bool:
        if byte_count > self.free_bytes:
            return False
        self.free_bytes -= byte_count
        return True

    def release(self, byte_count: int) -> None:
        self.free_bytes += byte_count

    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        self.refusal_count += 1
        return ResponseHead(503, Headers([("Retry-After", "1")])), b"full"


@dataclass(slots=True)
class Backend:
    """Records requests and passes each exchange to `respond`, set by the test."""

    respond: Callable[[Exchange], None] = lambda exchange: exchange.respond(
        ResponseHead(200, Headers()), b"ok"
    )
    requests: list[CallerRequest] = field(default_factory=list)

    def __call__(self, request: CallerRequest, exchange: Exchange) -> None:
        self.requests.append(request)
        self.respond(exchange)


class UnreadResponse:
    """Writer of a response that its caller does not read."""

    def write(self, data: bytes) -> None:
        pass

    def flush(self) -> None:
        gevent.sleep(WAIT_S)

    def close(self) -> None:
        pass


@dataclass(slots=True)
class RunningServer:
    backend: Backend
    memory: Memory
    server: CallerServer

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.server.port), WAIT_S)


@pytest.fixture
def running_server() -> Iterator[RunningServer]:
    backend, memory = Backend(), Memory()
    server = CallerServer(
        "127.0.0.1:0",
        backend,
        Limits,
        SystemClock(),
        Metrics(),
        memory,
        MAX_CONNECTIONS,
    )
    server.start()
    yield RunningServer(backend, memory, server)
    server.stop()


def read_all(sock: socket.socket) -> bytes:
    received = b""
    while block := sock.recv(65_536):
        received += block
    return received


class TestConnectionCount:
    def test_longest_idle_connection_gives_way(
        self, running_server: RunningServer
    ) -> None:
        idle = []
        for _ in range(MAX_CONNECTIONS):
            idle.append(running_server.connect())
            gevent.sleep(0.02)
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
            assert idle[0].recv(1) == b""
            idle[1].sendall(GET_REQUEST)
            assert idle[1].recv(65_536).startswith(b"HTTP/1.1 200 ")

    def test_unfinished_request_gives_way_with_a_promise(
        self, running_server: RunningServer
    ) -> None:
        unfinished = []
        for _ in range(MAX_CONNECTIONS):
            unfinished.append(running_server.connect())
            unfinished[-1].sendall(HEAD + b"Content-Length: 5\r\n\r\nabcd")
            gevent.sleep(0.02)
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert read_all(unfinished[0]).startswith(b"HTTP/1.1 503 ")
        assert [r.head.method for r in running_server.backend.requests] == ["GET"]

    def test_requests_that_are_answered_keep_their_places(
        self, running_server: RunningServer
    ) -> None:
        def respond_late(exchange: Exchange) -> None:
            gevent.sleep(0.3)
            exchange.respond(ResponseHead(200, Headers()), b"ok")

        running_server.backend.respond = respond_late
        callers = [running_server.connect() for _ in range(MAX_CONNECTIONS)]
        for caller in callers:
            caller.sendall(GET_REQUEST)
        gevent.sleep(0.1)
        with running_server.connect() as late, pytest.raises(OSError):
            late.sendall(GET_REQUEST)
            if not late.recv(65_536):
                raise ConnectionResetError
        for caller in callers:
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")

    def test_response_that_is_not_read_gives_way_without_a_refusal(
        self, running_server: RunningServer
    ) -> None:
        """Its request has run."""

        def respond_to_nobody(exchange: Exchange) -> None:
            exchange.write_through(UnreadResponse())
            exchange.respond(ResponseHead(200, Headers()), b"ok")

        running_server.backend.respond = respond_to_nobody
        unread = [running_server.connect() for _ in range(MAX_CONNECTIONS)]
        for sock in unread:
            sock.sendall(GET_REQUEST)
        gevent.sleep(0.2)
        running_server.backend.respond = Backend().respond
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert running_server.memory.refusal_count == 0


class TestMemory:
    def test_request_that_stopped_gives_way_to_another_one(
        self, running_server: RunningServer
    ) -> None:
        stopped, other = running_server.connect(), running_server.connect()
        stopped.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(60):
            # Every part comes within the time for parts.
            stopped.sendall(b"320\r\n" + b"x" * 800 + b"\r\n")
            gevent.sleep(0.02)
        other.sendall(HEAD + b"Content-Length: 30000\r\n\r\n" + b"x" * 30_000)
        assert other.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert stopped.recv(65_536).startswith(b"HTTP/1.1 503 ")
        assert len(running_server.backend.requests) == 1

    def test_request_that_never_fits_takes_nothing_from_others(
        self, running_server: RunningServer
    ) -> None:
        with running_server.connect() as idle, running_server.connect() as sock:
            idle.sendall(GET_REQUEST)
            assert idle.recv(65_536).startswith(b"HTTP/1.1 200 ")
            gevent.sleep(1.1)
            fields = b"a:\r\n" * 50
            sock.sendall(HEAD + fields + b"Content-Length: 49999\r\n\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 503 ")
            idle.sendall(GET_REQUEST)
            assert idle.recv(65_536).startswith(b"HTTP/1.1 200 ")

    def test_fields_of_a_head_are_counted(self, running_server: RunningServer) -> None:
        """Many short fields take far more memory than their bytes."""
        held: list[int] = []

        def respond(exchange: Exchange) -> None:
            held.append(60_000 - running_server.memory.free_bytes)
            exchange.respond(ResponseHead(200, Headers()), b"ok")

        running_server.backend.respond = respond
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST[:-2] + b"a:\r\n" * 100 + b"\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert held[0] > 50_000
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST[:-2] + b"a:\r\n" * 300 + b"\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 503 ")
        gevent.sleep(0.1)
        assert running_server.memory.free_bytes == 60_000


class TestSizeAndTime:
    def test_whole_head_over_the_limit_is_refused(
        self, running_server: RunningServer
    ) -> None:
        """The parser checks heads that arrive in parts only."""
        with running_server.connect() as sock:
            sock.sendall(GET_REQUEST[:-2] + b"a: " + b"x" * 9_000 + b"\r\n\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 431 ")

    def test_length_over_the_limit_is_refused_at_once(
        self, running_server: RunningServer
    ) -> None:
        with running_server.connect() as sock:
            sock.sendall(HEAD + b"Content-Length: 50001\r\n\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 413 ")

    def test_framing_is_bounded(self, running_server: RunningServer) -> None:
        with running_server.connect() as sock:
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            chunk = b"1;" + b"e" * 6_000 + b"\r\nx\r\n"
            with pytest.raises(OSError):  # noqa: PT012
                for _ in range(100):
                    sock.sendall(chunk)
                    gevent.sleep(0.001)
                assert sock.recv(65_536).startswith(b"HTTP/1.1 413 ")
                raise ConnectionResetError
        assert not running_server.backend.requests

    def test_request_that_never_ends_is_refused(
        self, running_server: RunningServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(caller_connection, "MAX_RECEIVE_S", 1.0)
        with running_server.connect() as sock:
            sock.sendall(HEAD + b"Content-Length: 50000\r\n\r\n")
            for _ in range(12):
                sock.sendall(b"x")
                gevent.sleep(0.1)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 408 ")

    def test_body_in_tiny_chunks_is_whole(self, running_server: RunningServer) -> None:
        with running_server.connect() as sock:
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"1\r\nx\r\n" * 5_000 + b"0\r\n\r\n")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert running_server.backend.requests[0].body == b"x" * 5_000


def test_other_callers_are_served_between_parts_of_a_body(
    running_server: RunningServer,
) -> None:
    """A block of tiny chunks used to be parsed while all other tasks waited."""
    answered_after: list[int] = []
    busy = [running_server.connect() for _ in range(2)]
    for sock in busy:
        sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        sock.sendall(b"1\r\nx\r\n" * 2_500)
    with running_server.connect() as sock:
        sock.sendall(GET_REQUEST)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
        answered_after.append(len(running_server.backend.requests))
    for sock in busy:
        sock.sendall(b"0\r\n\r\n")
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")
    assert answered_after == [1]
