"""Connections to endpoints: one request at a time, with its end known exactly.

A response is read to its framing's end or reported as broken; bytes beyond it end the
connection. `NotSent` means that no byte of the request left this node.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import h11
from gevent import socket

from sapphirehoist.clock import Clock
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import watch_peer

# A round trip between regions takes 40 ms; a lost opening packet goes again after 1 s.
_CONNECT_TIMEOUT_S = 1.2
_RECEIVE_BYTES = 65_536
# A body that fits the kernel's buffers is written before the answer is awaited.
_MAX_INLINE_SEND_BYTES = 4_096
# Idle time allowed on a connection whose peer announced no limit.
_DEFAULT_IDLE_LIMIT_S = 0.7
# Margin under an announced idle limit, against closing while a request is on its way.
_IDLE_LIMIT_MARGIN_S = 0.6
_MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
_MAX_RESPONSE_HEAD_BYTES = 65_536
# Answers to other requests that are skipped before the connection is given up.
_MAX_MISMATCHED_RESPONSES = 2


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be had: nothing left this node."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have arrived, but no answer to it can be had."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The body ended before its framing's end."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """What is sent to an endpoint; the body is always sent with its length."""

    head: RequestHead
    body: bytes = b""


ResponseMatcher = Callable[[ResponseHead], bool]


class Reply:
    """An answer whose head has been read; the body follows in blocks."""

    __slots__ = ("_conn", "head")

    def __init__(self, head: ResponseHead, conn: EndpointConnection) -> None:
        self.head = head
        self._conn = conn

    @property
    def length(self) -> int | None:
        """Return the body's announced length, or None."""
        text = self.head.headers.get("content-length")
        return int(text) if text.isdecimal() else None

    def read_block(self) -> bytes | Broken:
        """Return the next bytes of the body; empty at its proper end."""
        return self._conn.read_block()

    def limit_gap(self, seconds: float) -> None:
        """Take the body as broken once nothing arrives for `seconds`."""
        self._conn.limit_gap(seconds)

    def read_all(self) -> bytes | Broken:
        """Return the whole body."""
        blocks = []
        while block := self.read_block():
            if isinstance(block, Broken):
                return block
            blocks.append(block)
        return b"".join(blocks)

    def close(self) -> None:
        """Give up the rest of the body; keeps the connection if it is reusable."""
        self._conn.finish()

    def discard(self) -> None:
        """Close the connection, whatever its state."""
        self._conn.close()


class EndpointConnection:
    """One connection to an endpoint."""

    __slots__ = (
        "_address",
        "_parser",
        "_has_mismatched_response",
        "_is_matching",
        "_method",
        "_on_idle",
        "_request",
        "_send_task",
        "_sock",
        "idle_limit_s",
        "idle_since",
        "is_closed",
    )

    def __init__(
        self,
        address: str,
        sock: socket.socket,
        on_idle: Callable[[EndpointConnection], None],
    ) -> None:
        self._address = address
        self._sock = sock
        self._on_idle = on_idle
        self._parser = _new_parser()
        self._send_task: gevent.Greenlet | None = None
        self._has_mismatched_response = False
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S

    def has_no_unread_input(self) -> bool:
        """Return whether nothing has arrived since the last answer."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN | select.POLLHUP)
        return not poll.poll(0)

    def send(
        self, request: OutboundRequest, is_matching: ResponseMatcher
    ) -> Reply | Lost:
        """Send `request` and read the head of its answer."""
        self._is_matching = is_matching
        self._request = h11.Request(
            method=request.head.method,
            target=request.head.target,
            headers=[*request.head.headers.items(), *_framing_headers(request)],
        )
        data = self._encode_request(request.body)
        try:
            if len(data) <= _MAX_INLINE_SEND_BYTES:
                self._sock.sendall(data)
            else:
                # An endpoint may answer before it has read a long body.
                self._send_task = gevent.spawn(self._send_in_background, data)
            return self._read_matching_head()
        except (OSError, h11.RemoteProtocolError) as exc:
            self.close()
            return Lost(f"{self._address}: {exc}")

    def read_block(self) -> bytes | Broken:
        """Return the next bytes of the body; empty at its proper end."""
        try:
            event = self._next_event()
        except (OSError, h11.RemoteProtocolError) as exc:
            self.close()
            return Broken(f"{self._address}: {exc}")
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b""

    def limit_gap(self, seconds: float) -> None:
        """Take the body as broken once nothing arrives for `seconds`."""
        self._sock.settimeout(seconds)

    def finish(self) -> None:
        """End the exchange: reuse the connection if its state allows, else close it."""
        if self.is_closed:
            return
        is_request_sent = self._send_task is None or self._send_task.ready()
        is_exchange_done = (
            self._parser.our_state is self._parser.their_state is h11.DONE
        )
        if (
            not (is_request_sent and is_exchange_done)
            or self._has_mismatched_response
            or self._parser.trailing_data[0]
        ):
            self.close()
            return
        self._parser.start_next_cycle()
        self._sock.settimeout(None)
        self._send_task = None
        self._on_idle(self)

    def close(self) -> None:
        """Close at once; a request under way is cancelled by that."""
        if not self.is_closed:
            self.is_closed = True
            if self._send_task is not None:
                self._send_task.kill(block=False)
            self._sock.close()

    def _encode_request(self, body: bytes) -> bytes:
        head = self._parser.send(self._request) or b""
        data = self._parser.send(h11.Data(data=body)) if body else b""
        self._parser.send(h11.EndOfMessage())
        return head + (data or b"")

    def _send_in_background(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError:
            return  # the reader sees the same end, and reports it

    def _read_matching_head(self) -> Reply | Lost:
        for _ in range(_MAX_MISMATCHED_RESPONSES + 1):
            event = self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._next_event()
            if not isinstance(event, h11.Response):
                self.close()
                return Lost(f"{self._address}: closed without an answer")
            head = _to_response_head(event)
            if self._is_matching(head):
                self._apply_keep_alive_timeout(head)
                return Reply(head, self)
            self._has_mismatched_response = True
            self._skip_mismatched_response()
        self.close()
        return Lost(f"{self._address}: answers to other requests only")

    def _skip_mismatched_response(self) -> None:
        """Read past an answer to an earlier request and await the own one."""
        while isinstance(self._next_event(), h11.Data):
            pass
        unparsed, is_eof = self._parser.trailing_data
        if is_eof or self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("closed after an answer to another request")
        self._parser = _new_parser()
        self._parser.send(self._request)
        # The request has left already; only the parser needs to know its framing.
        length = next(v for n, v in self._request.headers if n == b"content-length")
        if int(length):
            self._parser.send(h11.Data(data=bytes(int(length))))
        self._parser.send(h11.EndOfMessage())
        if unparsed:
            self._parser.receive_data(unparsed)

    def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return h11.PAUSED
            self._parser.receive_data(self._sock.recv(_RECEIVE_BYTES))

    def _apply_keep_alive_timeout(self, head: ResponseHead) -> None:
        for part in head.headers.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                limit_s = int(value) - _IDLE_LIMIT_MARGIN_S
                self.idle_limit_s = max(limit_s, _DEFAULT_IDLE_LIMIT_S / 2)
                return
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S


class EndpointConnections:
    """Connections to all endpoints, by address.

    Parameters
    ----------
    clock : Clock
        Ages idle connections.
    metrics : Metrics
        Takes ``endpoint_connections_total``.
    """

    __slots__ = ("_clock", "_idle", "_metrics")

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[str, list[EndpointConnection]] = {}

    def call(
        self,
        address: str,
        request: OutboundRequest,
        is_matching: ResponseMatcher,
        freshest_s: float | None = None,
    ) -> Reply | NotSent | Lost:
        """Send a request on an idle connection or a new one.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        request : OutboundRequest
            What to send.
        is_own : callable
            Whether an answer's head belongs to this request.
        freshest_s : float, optional
            Longest idle time of a connection that may be used, for requests that must
            not meet a connection on its way to being closed.
        """
        conn = self._pop_idle(address, freshest_s)
        if conn is None:
            connected = self._connect(address)
            if isinstance(connected, NotSent):
                return connected
            conn = connected
        has_outcome = False
        try:
            reply = conn.send(request, is_matching)
            has_outcome = True
            return reply
        finally:
            if not has_outcome:
                conn.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close_stale(self) -> None:
        """Close the connections whose idle limit has passed."""
        for address, conns in list(self._idle.items()):
            kept = [conn for conn in conns if self._is_fresh(conn, None)]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _pop_idle(
        self, address: str, freshest_s: float | None
    ) -> EndpointConnection | None:
        conns = self._idle.get(address, [])
        while conns:
            conn = conns.pop()
            if self._is_fresh(conn, freshest_s) and conn.has_no_unread_input():
                return conn
            conn.close()
        return None

    def _is_fresh(self, conn: EndpointConnection, freshest_s: float | None) -> bool:
        limit_s = conn.idle_limit_s
        if freshest_s is not None:
            limit_s = min(limit_s, freshest_s)
        return self._clock.monotonic() - conn.idle_since < limit_s

    def _connect(self, address: str) -> EndpointConnection | NotSent:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        is_connected = False
        try:
            watch_peer(sock)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect((host, int(port)))
            sock.settimeout(None)
            is_connected = True
        except OSError as exc:
            return NotSent(f"{address}: no connection: {exc}")
        finally:
            if not is_connected:
                sock.close()
        self._metrics.count("endpoint_connections_total")
        return EndpointConnection(address, sock, self._idle_callback(address))

    def _idle_callback(self, address: str) -> Callable[[EndpointConnection], None]:
        def add_to_pool(conn: EndpointConnection) -> None:
            conns = self._idle.setdefault(address, [])
            if len(conns) >= _MAX_IDLE_CONNECTIONS_PER_ADDRESS:
                conn.close()
                return
            conn.idle_since = self._clock.monotonic()
            conns.append(conn)

        return add_to_pool


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_RESPONSE_HEAD_BYTES
    )


def _framing_headers(request: OutboundRequest) -> list[tuple[str, str]]:
    return [("Content-Length", str(len(request.body)))]


def _to_response_head(event: h11.Response) -> ResponseHead:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    ]
    return ResponseHead(event.status_code, Headers(headers))
