"""Callers' connections: strict parsing, one request at a time, its caller watched."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
import h11
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from sapphirehoist.clock import Clock
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import reset_on_close, watch_peer

_logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
# Blocks that are read ahead of a request that is being answered.
_READ_AHEAD_BLOCKS = 4
_ACCEPT_BACKLOG = 1_024
# An answer that its caller does not read is given up after this time.
_WRITE_TIMEOUT_S = 10.0
_LINGER_S = 0.5
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413


class CallerLeft(BaseException):
    """Raised in the task of a request whose caller has closed its connection."""


class ReadLimits(Protocol):
    """Bounds on what a caller may send; read anew for each request."""

    @property
    def header_bytes(self) -> int:
        """Return the largest head."""

    @property
    def body_bytes(self) -> int:
        """Return the largest body."""

    @property
    def header_s(self) -> float:
        """Return the longest time for a head, and between parts of a body."""

    @property
    def idle_s(self) -> float:
        """Return the longest idle time of a connection."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was read whole.

    Attributes
    ----------
    head, body : RequestHead, bytes
        What the caller sent, without its framing.
    arrived : float
        Monotonic time of the first byte.
    """

    head: RequestHead
    body: bytes
    arrived: float


@dataclass(frozen=True, slots=True)
class _Unreadable:
    """Why a request could not be read; status 0 where nothing is answered."""

    status: int
    detail: str


class Exchange:
    """Answers one request."""

    __slots__ = ("_conn", "is_begun", "is_done")

    def __init__(self, conn: _CallerConnection) -> None:
        self._conn = conn
        self.is_begun = False
        self.is_done = False

    def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a whole answer."""
        self.begin(head, len(body), body)
        self.finish()

    def begin(self, head: ResponseHead, length: int | None, first: bytes = b"") -> None:
        """Send the head with the first bytes; without a length in chunks."""
        self.is_begun = True
        self._conn.send_head(head, length, first)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._conn.send_data(data)

    def finish(self) -> None:
        """Say that the body is complete."""
        self._conn.send_end()
        self.is_done = True

    def abort(self) -> None:
        """Break the connection off, so that the answer is seen to be cut."""
        self._conn.abort()
        self.is_done = True


Handler = Callable[[CallerRequest, Exchange], None]


class CallerServer:
    """Accepts callers at one address; one task for each connection.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Answers one request through its `Exchange`.
    limits : callable
        Returns the limits in force.
    clock : Clock
        Stamps requests.
    metrics : Metrics
        Takes ``caller_*_total``.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_metrics",
        "_server",
        "handler",
        "is_closing",
        "limits",
    )

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ReadLimits],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self._clock = clock
        self._metrics = metrics
        self._connections: set[_CallerConnection] = set()
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=_ACCEPT_BACKLOG
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._server.server_port

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.start()

    def begin_closing(self) -> None:
        """Close each connection after its next answer, and idle ones now."""
        self.is_closing = True
        for conn in list(self._connections):
            conn.close_if_idle()

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self._metrics.count("caller_connections_total")
        conn = _CallerConnection(self, sock, self._clock, self._metrics)
        self._connections.add(conn)
        try:
            conn.run()
        finally:
            self._connections.discard(conn)


class _CallerConnection:
    """One caller's connection: a task that reads, and one that answers."""

    __slots__ = (
        "_arrived",
        "_clock",
        "_h11",
        "_has_data",
        "_inbox",
        "_is_ended",
        "_is_idle",
        "_main",
        "_metrics",
        "_reader",
        "_server",
        "_sock",
    )

    def __init__(
        self,
        server: CallerServer,
        sock: socket.socket,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._server = server
        self._sock = sock
        self._clock = clock
        self._metrics = metrics
        self._inbox: deque[bytes] = deque()
        self._has_data = Event()
        self._is_ended = False
        self._is_idle = False
        self._arrived = 0.0
        self._main: gevent.Greenlet | None = None
        self._reader: gevent.Greenlet | None = None
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )

    def run(self) -> None:
        """Answer requests until either side closes."""
        watch_peer(self._sock)
        self._reader = gevent.spawn(self._read)
        try:
            while self._serve_one():
                pass
        except CallerLeft:
            self._metrics.count("caller_left_total")
        except (OSError, gevent.Timeout):
            self._metrics.count("caller_broken_total")
        finally:
            self._reader.kill(block=False)
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if self._is_idle and not self._inbox:
            self._sock.shutdown(socket.SHUT_RD)

    def send_head(self, head: ResponseHead, length: int | None, first: bytes) -> None:
        """Send the head of the answer and the first bytes of its body."""
        framing = _response_framing(length)
        if self._server.is_closing:
            framing.append(("Connection", "close"))
        event = h11.Response(
            status_code=head.status, headers=[*head.headers.items(), *framing]
        )
        data = self._h11.send(event) or b""
        if first:
            data += self._h11.send(h11.Data(data=first)) or b""
        self._write(data)

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(self._h11.send(h11.Data(data=data)) or b"")

    def send_end(self) -> None:
        """Send the end of the body."""
        self._write(self._h11.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Reset the connection."""
        reset_on_close(self._sock)
        self._h11.send_failed()
        self._sock.close()

    def _write(self, data: bytes) -> None:
        if data:
            with gevent.Timeout(_WRITE_TIMEOUT_S):
                self._sock.sendall(data)

    def _read(self) -> None:
        """Move received bytes to the inbox; wake the answering task at the end."""
        while True:
            while len(self._inbox) >= _READ_AHEAD_BLOCKS:
                gevent.sleep(0.01)
            try:
                data = self._sock.recv(_READ_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            self._inbox.append(data)
            self._has_data.set()
        self._is_ended = True
        self._has_data.set()
        if self._main is not None:
            gevent.kill(self._main, CallerLeft)

    def _serve_one(self) -> bool:
        limits = self._server.limits()
        request = self._receive(limits)
        if isinstance(request, _Unreadable):
            self._refuse(request)
            return False
        exchange = Exchange(self)
        self._main = gevent.getcurrent()
        try:
            if self._is_ended:
                raise CallerLeft
            self._server.handler(request, exchange)
        finally:
            self._main = None
        assert exchange.is_done, "the handler left a request without an answer"
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def _receive(self, limits: ReadLimits) -> CallerRequest | _Unreadable:
        self._is_idle = True
        self._arrived = 0.0
        head: RequestHead | None = None
        blocks: list[bytes] = []
        size = 0
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                return _Unreadable(exc.error_status_hint, str(exc))
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self._write(self._h11.send(go_on) or b"")
                problem = self._feed(limits, is_begun=not self._is_idle)
                if problem is not None:
                    return problem
            elif isinstance(event, h11.Request):
                self._is_idle = False
                problem = _framing_problem(event)
                if problem is not None:
                    return problem
                head = _request_head(event)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    return _Unreadable(_STATUS_TOO_LARGE, "body over the limit")
                blocks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                arrived = self._arrived or self._clock.monotonic()
                return CallerRequest(head, b"".join(blocks), arrived)
            else:
                return _Unreadable(0, "closed by the caller")

    def _feed(self, limits: ReadLimits, is_begun: bool) -> _Unreadable | None:
        """Give the next received bytes to the parser."""
        is_begun = is_begun or self._arrived > 0
        timeout_s = limits.header_s if is_begun else limits.idle_s
        while not self._inbox and not self._is_ended:
            self._has_data.clear()
            if not self._has_data.wait(timeout_s):
                status = _STATUS_TIMEOUT if is_begun else 0
                return _Unreadable(status, f"nothing received for {timeout_s} s")
        if not self._inbox:
            self._h11.receive_data(b"")
            return None
        if not is_begun:
            self._arrived = self._clock.monotonic()
            self._is_idle = False
        self._h11.receive_data(self._inbox.popleft())
        return None

    def _refuse(self, problem: _Unreadable) -> None:
        if not problem.status or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        self._metrics.count("caller_unreadable_total", status=str(problem.status))
        _logger.info(
            "request not readable",
            extra={"status": problem.status, "detail": problem.detail},
        )
        headers = Headers([("Connection", "close")])
        body = problem.detail.encode()
        self.send_head(ResponseHead(problem.status, headers), len(body), body)
        self.send_end()
        # Closing with unread bytes would reset the connection before this is read.
        self._sock.shutdown(socket.SHUT_WR)
        gevent.sleep(_LINGER_S)


def _response_framing(length: int | None) -> list[tuple[str, str]]:
    if length is None:
        return [("Transfer-Encoding", "chunked")]
    return [("Content-Length", str(length))]


def _framing_problem(event: h11.Request) -> _Unreadable | None:
    """Refuse framing that two parsers could read in two ways."""
    names = [name for name, _ in event.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return _Unreadable(_STATUS_BAD_REQUEST, "both a length and chunks")
    if names.count(b"host") > 1:
        return _Unreadable(_STATUS_BAD_REQUEST, "more than one Host")
    if not event.target.startswith(b"/"):
        return _Unreadable(_STATUS_BAD_REQUEST, "the target must begin with a slash")
    return None


def _request_head(event: h11.Request) -> RequestHead:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    ]
    return RequestHead(
        event.method.decode("ascii"),
        event.target.decode("latin-1"),
        Headers(headers),
    )
