"""HTTP/1.1 client for endpoints, with one request at a time per connection.

A response body is either read to the end that its framing defines or reported as
`TruncatedBody`. A connection on which bytes follow that end is not reused. `NotSent`
means that no byte of the request left this node.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import h11

from sapphirehoist.clock import Clock
from sapphirehoist.http1.connector import EndpointConnector, EndpointSocket, NotSent
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import WorkTurns

_RECEIVE_BYTES = 65_536
# A request of this size fits into the kernel's buffers, so it is written before the
# response is awaited; a larger one is sent by a task of its own.
_MAX_INLINE_SEND_BYTES = 4_096
# Longest idle time of a connection whose peer announced no keep-alive timeout.
_DEFAULT_IDLE_LIMIT_S = 0.7
# Margin below an announced keep-alive timeout, so that the peer does not close the
# connection while a request is in transit.
_IDLE_LIMIT_MARGIN_S = 0.6
_MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
_MAX_RESPONSE_HEAD_BYTES = 65_536
_MAX_STATUS = 599
# Of the idle time that an endpoint states, in seconds.
_MAX_TIMEOUT_DIGITS = 9
# Responses to other requests that are skipped before the connection is closed.
_MAX_MISMATCHED_RESPONSES = 2
# A faulty endpoint may send bytes without end. What is buffered or skipped is bounded,
# and other tasks run between reads that never have to wait.
_MAX_BUFFERED_BODY_BYTES = 16 * 2**20
# Heads such as 100 and 103 before the response; endpoints send a few at most.
_MAX_INFORMATIONAL_HEADS = 100
# A block of 64 KB may hold thousands of chunks or heads, each of which is parsed.
_EVENTS_PER_TURN = 32
_RECEIVES_PER_YIELD = 16
# Small chunks that have arrived together are returned as one block of this size.
_MAX_JOINED_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have arrived, but its response was not received."""

    detail: str


@dataclass(frozen=True, slots=True)
class TruncatedBody:
    """The body ended before the end that its framing defines."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request to an endpoint; its body is always sent with a Content-Length."""

    head: RequestHead
    body: bytes = b""


# Called with the head of a response and whether the connection has served other
# requests before, whose late responses may still arrive.
ResponseMatcher = Callable[[ResponseHead, bool], bool]


class EndpointResponse:
    """A response whose head has been read and whose body is read in blocks."""

    __slots__ = ("_conn", "head")

    def __init__(self, head: ResponseHead, conn: EndpointConnection) -> None:
        self.head = head
        self._conn = conn

    @property
    def length(self) -> int | None:
        """Return the Content-Length, or None if it is absent."""
        text = self.head.headers.get("content-length")
        return int(text) if text.isdecimal() else None

    @property
    def connected_at(self) -> float:
        """Return the monotonic time at which the connection was opened, in seconds."""
        return self._conn.opened_at

    def read_block(self) -> bytes | TruncatedBody:
        """Return the next bytes of the body, or empty bytes at its end."""
        return self._conn.read_block()

    def read_all(
        self, on_block: Callable[[int], None] | None = None
    ) -> bytes | TruncatedBody:
        """Return the whole body; one that is too large to buffer is truncated.

        `on_block` is called with the size of each block before it is kept.
        """
        # Blocks that are kept one by one would fragment the heap.
        body = bytearray()
        while block := self.read_block():
            if isinstance(block, TruncatedBody):
                return block
            if on_block is not None:
                on_block(len(block))
            body += block
            if len(body) > _MAX_BUFFERED_BODY_BYTES:
                self.discard()
                return TruncatedBody(f"a body of over {_MAX_BUFFERED_BODY_BYTES} B")
        return bytes(body)

    def close(self) -> None:
        """End the exchange; reuse the connection if the body was read to its end."""
        self._conn.finish()

    def discard(self) -> None:
        """Close the connection without reusing it."""
        self._conn.close()


class EndpointConnection:
    """One connection to an endpoint.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the endpoint, for error details.
    sock : EndpointSocket
        Connected socket.
    on_idle : callable
        Called with the connection when it can serve another request.
    turns : WorkTurns
        Turns of the connections that have much to parse.

    Attributes
    ----------
    idle_limit_s : float
        Longest idle time after which the connection may be reused, in seconds.
    idle_since : float
        Monotonic time at which the connection became idle, in seconds.
    opened_at : float
        Monotonic time at which the connection was opened, in seconds.
    is_closed : bool
        Whether this node closed the connection.
    """

    __slots__ = (
        "_address",
        "_event_count",
        "_has_mismatched_response",
        "_is_matching",
        "_is_reused",
        "_joined",
        "_method",
        "_on_idle",
        "_parsed",
        "_parser",
        "_receive_count",
        "_request",
        "_send_task",
        "_sock",
        "_turns",
        "idle_limit_s",
        "idle_since",
        "is_closed",
        "opened_at",
    )

    def __init__(
        self,
        address: str,
        sock: EndpointSocket,
        on_idle: Callable[[EndpointConnection], None],
        turns: WorkTurns,
    ) -> None:
        self._address = address
        self._sock = sock
        self._on_idle = on_idle
        self._turns = turns
        # What follows a block whose chunks were joined.
        self._parsed: h11.Event | type[h11.PAUSED] | Exception | None = None
        # Chunks that were parsed and not yet returned.
        self._joined = bytearray()
        self._parser = _new_parser()
        self._send_task: gevent.Greenlet | None = None
        self._has_mismatched_response = False
        self._is_reused = False
        self._receive_count = 0
        # Since the last receive.
        self._event_count = 0
        self.is_closed = False
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S

    def may_serve(self, may_use: Callable[[EndpointSocket], bool] | None) -> bool:
        """Return whether `may_use` allows this connection; None allows any."""
        return may_use is None or may_use(self._sock)

    def has_no_unread_input(self) -> bool:
        """Return whether the peer neither sent nor closed since its last response."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN | select.POLLHUP)
        return not poll.poll(0)

    def send(
        self, request: h11.Request, body: bytes, is_matching: ResponseMatcher
    ) -> EndpointResponse | Lost:
        """Send a request with its body and read the head of its response."""
        self._is_matching = is_matching
        self._request = request
        head = self._encode_request(body)
        try:
            if len(head) + len(body) <= _MAX_INLINE_SEND_BYTES:
                self._sock.sendall(head + body)
            else:
                # An endpoint may respond before it has read a long body.
                self._send_task = gevent.spawn(self._send_in_background, head, body)
            return self._read_matching_head()
        except (OSError, h11.RemoteProtocolError) as exc:
            self.close()
            return Lost(f"{self._address}: {exc}")

    def read_block(self) -> bytes | TruncatedBody:
        """Return the next bytes of the body, or empty bytes at its end."""
        try:
            if not self._joined:
                event = self._next_event()
                if not isinstance(event, h11.Data):
                    return b""
                self._joined += event.data
        except (OSError, h11.RemoteProtocolError) as exc:
            self.close()
            return TruncatedBody(f"{self._address}: {exc}")
        self._join_chunks()
        block = bytes(self._joined)
        self._joined.clear()
        return block

    def _join_chunks(self) -> None:
        """Join a chunk with those behind it that have arrived.

        A timeout of the caller may interrupt it; the next read goes on from there.
        """
        while len(self._joined) < _MAX_JOINED_BYTES:
            try:
                following = self._parse_event()
            except h11.RemoteProtocolError as exc:
                self._parsed = exc
                break
            if not isinstance(following, h11.Data):
                self._parsed = following
                break
            self._joined += following.data

    def finish(self) -> None:
        """Make the connection reusable if the exchange is complete, else close it."""
        if self.is_closed:
            return
        is_request_sent = self._send_task is None or self._send_task.ready()
        is_exchange_done = (
            self._parser.our_state is self._parser.their_state is h11.DONE
        )
        if (
            not (is_request_sent and is_exchange_done)
            or self._has_mismatched_response
            or self._parsed is not None
            or self._joined
            or self._parser.trailing_data[0]
        ):
            self.close()
            return
        self._parser.start_next_cycle()
        self._is_reused = True
        self._send_task = None
        self._on_idle(self)

    def close(self) -> None:
        """Close at once, which cancels a request in progress."""
        if not self.is_closed:
            self.is_closed = True
            if self._send_task is not None:
                self._send_task.kill(block=False)
            self._sock.close()

    def _encode_request(self, body: bytes) -> bytes:
        """Return the head; the body follows as it is, since its length is known."""
        head = self._parser.send(self._request) or b""
        if body:
            self._parser.send(h11.Data(data=body))
        self._parser.send(h11.EndOfMessage())
        return head

    def _send_in_background(self, head: bytes, body: bytes) -> None:
        # The body of a slow endpoint is not copied, so that it counts once.
        try:
            self._sock.sendall(head)
            self._sock.sendall(body)
        except OSError:
            return  # reading fails too, or reaches the end of a whole response

    def _read_matching_head(self) -> EndpointResponse | Lost:
        for _ in range(_MAX_MISMATCHED_RESPONSES + 1):
            event = self._next_event()
            informational_count = 0
            while isinstance(event, h11.InformationalResponse):
                informational_count += 1
                if informational_count > _MAX_INFORMATIONAL_HEADS:
                    raise h11.RemoteProtocolError("informational heads without end")
                event = self._next_event()
            if not isinstance(event, h11.Response):
                self.close()
                return Lost(f"{self._address}: closed without an answer")
            head = _to_response_head(event)
            if self._is_matching(head, self._is_reused):
                self._apply_keep_alive_timeout(head)
                return EndpointResponse(head, self)
            self._has_mismatched_response = True
            self._skip_mismatched_response()
        self.close()
        return Lost(f"{self._address}: answers to other requests only")

    def _skip_mismatched_response(self) -> None:
        """Skip the body of another request's response and reset the parser."""
        skipped_bytes = 0
        while isinstance(event := self._next_event(), h11.Data):
            skipped_bytes += len(event.data)
            if skipped_bytes > _MAX_BUFFERED_BODY_BYTES:
                raise h11.RemoteProtocolError("an endless answer to another request")
        unparsed, is_eof = self._parser.trailing_data
        if is_eof or self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("closed after an answer to another request")
        self._parser = _new_parser()
        self._parser.send(self._request)
        # The request has been sent already; only the new parser needs its framing.
        length = next(v for n, v in self._request.headers if n == b"content-length")
        if int(length):
            self._parser.send(h11.Data(data=bytes(int(length))))
        self._parser.send(h11.EndOfMessage())
        if unparsed:
            self._parser.receive_data(unparsed)

    def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._parse_event()
            if event is not None:
                return event
            self._event_count = 0
            self._receive_count += 1
            if self._receive_count % _RECEIVES_PER_YIELD == 0:
                gevent.sleep(0)
            self._parser.receive_data(self._sock.recv(_RECEIVE_BYTES))

    def _parse_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event; None if it has not arrived as a whole."""
        parsed, self._parsed = self._parsed, None
        if isinstance(parsed, Exception):
            raise parsed
        if parsed is not None:
            return parsed
        self._event_count += 1
        if self._event_count % _EVENTS_PER_TURN == 0:
            self._turns.wait()
        event = self._parser.next_event()
        if isinstance(event, h11.Event):
            _check_status(event)
            return event
        return h11.PAUSED if event is h11.PAUSED else None

    def _apply_keep_alive_timeout(self, head: ResponseHead) -> None:
        for part in head.headers.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            is_number = value.isdecimal() and len(value) <= _MAX_TIMEOUT_DIGITS
            if name.lower() == "timeout" and is_number:
                limit_s = int(value) - _IDLE_LIMIT_MARGIN_S
                self.idle_limit_s = max(limit_s, _DEFAULT_IDLE_LIMIT_S / 2)
                return
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S


class EndpointConnectionPool:
    """Pool of connections to endpoints, by address.

    Parameters
    ----------
    connector : EndpointConnector
        Opens connections.
    clock : Clock
        Measures the idle time of connections.
    metrics : Metrics
        Counts ``endpoint_connections_total``.
    """

    __slots__ = ("_clock", "_connector", "_idle", "_metrics", "_open", "_turns")

    def __init__(
        self, connector: EndpointConnector, clock: Clock, metrics: Metrics
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._turns = WorkTurns(clock)
        self._idle: dict[str, list[EndpointConnection]] = {}
        # May contain closed ones.
        self._open: dict[str, list[EndpointConnection]] = {}

    def call(
        self,
        address: str,
        request: OutboundRequest,
        is_matching: ResponseMatcher,
        max_idle_s: float | None = None,
        may_use: Callable[[EndpointSocket], bool] | None = None,
        relay_regions: frozenset[str] | None = None,
    ) -> EndpointResponse | NotSent | Lost:
        """Send a request on an idle connection or a new one.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        request : OutboundRequest
            Request to send.
        is_matching : callable
            Returns whether a response head belongs to this request; also receives
            whether the connection has served other requests before.
        max_idle_s : float, optional
            Limit on the idle time of a reused connection in seconds, in addition to the
            connection's own limit; for requests that must not be sent while the peer
            closes the connection.
        may_use : callable, optional
            Returns whether the request may be sent on a connection; called immediately
            before it is sent.
        relay_regions : frozenset of str, optional
            Regions whose VMs may relay a new connection; any by default.

        Returns
        -------
        EndpointResponse, NotSent or Lost
            Response with its head read, or why there is none.
        """
        encoded_request = _encode_request_head(request)
        if isinstance(encoded_request, NotSent):
            return encoded_request
        conn = self._pop_idle(address, max_idle_s, may_use)
        if conn is None:
            connected = self._connect(address, relay_regions)
            if isinstance(connected, NotSent):
                return connected
            conn = connected
            if not conn.may_serve(may_use):
                conn.close()
                return NotSent(f"{address}: must not be used any more")
        has_outcome = False
        try:
            response = conn.send(encoded_request, request.body, is_matching)
            has_outcome = True
            return response
        finally:
            if not has_outcome:
                conn.close()

    def connected_at(self, address: str) -> list[float]:
        """Return the monotonic times at which the open connections were opened."""
        return [c.opened_at for c in self._open.get(address, ()) if not c.is_closed]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an endpoint that no longer exists."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close_stale(self) -> None:
        """Close the connections that have reached their idle limit."""
        for address, conns in list(self._open.items()):
            self._open[address] = [conn for conn in conns if not conn.is_closed]
            if not self._open[address]:
                del self._open[address]
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
        self,
        address: str,
        max_idle_s: float | None,
        may_use: Callable[[EndpointSocket], bool] | None,
    ) -> EndpointConnection | None:
        conns = self._idle.get(address, [])
        while conns:
            conn = conns.pop()
            if (
                self._is_fresh(conn, max_idle_s)
                and conn.may_serve(may_use)
                and conn.has_no_unread_input()
            ):
                return conn
            conn.close()
        return None

    def _is_fresh(self, conn: EndpointConnection, max_idle_s: float | None) -> bool:
        limit_s = conn.idle_limit_s
        if max_idle_s is not None:
            limit_s = min(limit_s, max_idle_s)
        return self._clock.monotonic() - conn.idle_since < limit_s

    def _connect(
        self, address: str, relay_regions: frozenset[str] | None
    ) -> EndpointConnection | NotSent:
        sock = self._connector.connect(address, relay_regions)
        if isinstance(sock, NotSent):
            return sock
        self._metrics.count("endpoint_connections_total")
        on_idle = self._idle_callback(address)
        if not self._connector.is_reusable(sock):
            on_idle = EndpointConnection.close
        conn = EndpointConnection(address, sock, on_idle, self._turns)
        conn.opened_at = self._clock.monotonic()
        self._open.setdefault(address, []).append(conn)
        return conn

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


def _encode_request_head(request: OutboundRequest) -> h11.Request | NotSent:
    """Return the head of a request, or why HTTP cannot express it.

    It may contain texts of other writers, such as the name of an endpoint.
    """
    headers = [*request.head.headers.items(), *_framing_headers(request)]
    try:
        return h11.Request(
            method=request.head.method,
            target=request.head.target,
            # The inverse of how received headers are decoded.
            headers=[(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers],
        )
    except (h11.LocalProtocolError, UnicodeError) as exc:
        return NotSent(f"the request cannot be encoded: {exc}")


def _framing_headers(request: OutboundRequest) -> list[tuple[str, str]]:
    return [("Content-Length", str(len(request.body)))]


def _check_status(event: h11.Event) -> None:
    """Raise an error for a response whose status HTTP does not know."""
    if isinstance(event, h11.Response) and event.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f"status {event.status_code}")


def _to_response_head(event: h11.Response) -> ResponseHead:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    ]
    return ResponseHead(event.status_code, Headers(headers))
