"""HTTP/1.1 server for callers, with strict parsing and disconnect detection.

A connection serves one request at a time; its handler is interrupted when the caller
closes the connection.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from contextlib import suppress
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
from sapphirehoist.sockets import configure_tcp_socket, reset_on_close

_logger = logging.getLogger(__name__)

_RECEIVE_BYTES = 65_536
# Received blocks that are buffered while a request is being handled.
_MAX_READ_AHEAD_BLOCKS = 4
_ACCEPT_BACKLOG = 1_024
# A write fails if the caller does not read for this long.
_WRITE_TIMEOUT_S = 10.0
# The same for a caller with buffered responses, and what the kernel holds unsent then.
_PAUSE_TIMEOUT_MS = 10_000
_MAX_UNSENT_BYTES = 65_536
_REFUSAL_LINGER_S = 0.5
_STATUS_BAD_REQUEST = 400
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_CONTENT_TOO_LARGE = 413


class CallerDisconnected(BaseException):
    """Raised in the handler of a request whose caller closed the connection.

    Not an `Exception`, so that handlers' ``except Exception`` does not catch it.
    """


class ReadLimits(Protocol):
    """Limits on what a caller may send; read again for each request."""

    @property
    def max_header_bytes(self) -> int:
        """Return the largest size of a request head in bytes."""

    @property
    def max_body_bytes(self) -> int:
        """Return the largest size of a request body in bytes."""

    @property
    def header_timeout_s(self) -> float:
        """Return the longest time in seconds from the first byte of a head to its end.

        The same limit applies between received parts of a body.
        """

    @property
    def idle_timeout_s(self) -> float:
        """Return the longest idle time of a connection in seconds."""


class BodyMemory(Protocol):
    """Memory in which request bodies are held until their response is complete."""

    def reserve(self, byte_count: int) -> bool:
        """Reserve memory for a part of a body, if it fits."""

    def release(self, byte_count: int) -> None:
        """Release the memory of a body."""

    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a request whose body does not fit."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was received completely.

    Attributes
    ----------
    head, body : RequestHead, bytes
        Head as sent by the caller, and body without its framing.
    first_byte_at : float
        Monotonic time of the first byte in seconds.
    """

    head: RequestHead
    body: bytes
    first_byte_at: float


@dataclass(frozen=True, slots=True)
class _InvalidRequest:
    """Why no valid request was received; status 0 if no response is sent.

    `response` is sent to a request that is valid, but has no memory for its body.
    """

    status: int
    detail: str
    response: tuple[ResponseHead, bytes] | None = None


class ResponseWriter(Protocol):
    """Writes the bytes of one response to its caller, in their order."""

    def write(self, data: bytes) -> None:
        """Write `data`, now or later."""

    def flush(self) -> None:
        """Wait until everything is written."""

    def close(self) -> None:
        """Discard what is not written yet."""


class Exchange:
    """Sends the response to one request.

    Attributes
    ----------
    has_begun : bool
        Whether sending of the response has begun.
    is_done : bool
        Whether the response is complete or aborted.
    """

    __slots__ = ("_conn", "_writer", "has_begun", "is_done")

    def __init__(self, conn: _CallerConnection) -> None:
        self._conn = conn
        self._writer: ResponseWriter | None = None
        self.has_begun = False
        self.is_done = False

    def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a complete response."""
        self.begin(head, len(body), body)
        self.finish()

    def begin(
        self, head: ResponseHead, length: int | None, first_bytes: bytes = b""
    ) -> None:
        """Send the head and the first bytes; without a length, the body is chunked."""
        self.has_begun = True
        self._write(self._conn.encode_head(head, length, first_bytes))

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(self._conn.encode_data(data))

    def finish(self) -> None:
        """Send the end of the body."""
        self._write(self._conn.encode_end())
        if self._writer is not None:
            self._writer.flush()
        self.is_done = True

    def abort(self) -> None:
        """Reset the connection, so that the response is visibly truncated."""
        if self._writer is not None:
            self._writer.close()
        self._conn.abort()
        self.is_done = True

    def write_through(self, writer: ResponseWriter) -> None:
        """Pass the bytes of the response to `writer` instead of the socket."""
        self._writer = writer
        self._conn.allow_pauses()

    def write_now(self, data: bytes) -> int:
        """Write what the socket accepts at once and return the number of bytes."""
        return self._conn.write_now(data)

    def write_some(self, data: bytes) -> int:
        """Wait until the socket accepts a part of `data` and return its length."""
        return self._conn.write_some(data)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        if self._writer is None:
            self._conn.write(data)
        else:
            self._writer.write(data)


RequestHandler = Callable[[CallerRequest, Exchange], None]


class CallerServer:
    """Accepts callers' connections at one address, with one task per connection.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Handles one request and responds through its `Exchange`.
    limits : callable
        Returns the limits in force.
    clock : Clock
        Gives the arrival times of requests.
    metrics : Metrics
        Counts ``caller_*_total``.
    body_memory : BodyMemory or None
        Memory for request bodies; None for no limit on all of them together.

    Attributes
    ----------
    is_closing : bool
        Whether each connection is closed after its next response.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_metrics",
        "_server",
        "body_memory",
        "handler",
        "is_closing",
        "limits",
    )

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        limits: Callable[[], ReadLimits],
        clock: Clock,
        metrics: Metrics,
        body_memory: BodyMemory | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.handler = handler
        self.limits = limits
        self.body_memory = body_memory
        self.is_closing = False
        self._clock = clock
        self._metrics = metrics
        self._connections: set[_CallerConnection] = set()
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=_ACCEPT_BACKLOG
        )

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.server_port

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    @property
    def active_count(self) -> int:
        """Return the number of requests that are being received or answered."""
        return sum(conn.is_active for conn in self._connections)

    def begin_closing(self) -> None:
        """Close idle connections now and the others after their next response."""
        self.is_closing = True
        for conn in list(self._connections):
            conn.close_if_idle()

    def stop(self) -> None:
        """Stop accepting connections."""
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
    """One caller's connection, with a receiving task and a handling task."""

    __slots__ = (
        "_clock",
        "_first_byte_at",
        "_handler_task",
        "_has_input",
        "_is_eof",
        "_is_idle",
        "_may_pause",
        "_metrics",
        "_parser",
        "_read_task",
        "_received_blocks",
        "_reserved_bytes",
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
        self._received_blocks: deque[bytes] = deque()
        self._has_input = Event()
        self._is_eof = False
        self._is_idle = False
        self._may_pause = False
        self._reserved_bytes = 0
        self._first_byte_at = 0.0
        self._handler_task: gevent.Greenlet | None = None
        self._read_task: gevent.Greenlet | None = None
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().max_header_bytes
        )

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        configure_tcp_socket(self._sock)
        self._read_task = gevent.spawn(self._read_blocks)
        try:
            while self._serve_request():
                pass
        except CallerDisconnected:
            self._metrics.count("caller_left_total")
        except (OSError, gevent.Timeout):
            self._metrics.count("caller_broken_total")
        finally:
            self._read_task.kill(block=False)
            self._sock.close()

    @property
    def is_active(self) -> bool:
        """Return whether a request is being received or answered."""
        return not self._is_idle or bool(self._received_blocks)

    def close_if_idle(self) -> None:
        """Close unless a request is being received or handled."""
        if not self.is_active:
            self._sock.shutdown(socket.SHUT_RD)

    def encode_head(
        self, head: ResponseHead, length: int | None, first_bytes: bytes
    ) -> bytes:
        """Return the head of the response and the first bytes of its body."""
        framing = _framing_headers(length)
        if self._server.is_closing:
            framing.append(("Connection", "close"))
        headers = [*head.headers.items(), *framing]
        event = h11.Response(
            status_code=head.status,
            # The inverse of how received headers are decoded.
            headers=[(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers],
        )
        data = self._parser.send(event) or b""
        if first_bytes:
            data += self._parser.send(h11.Data(data=first_bytes)) or b""
        return data

    def encode_data(self, data: bytes) -> bytes:
        """Return a part of the body with its framing."""
        return self._parser.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Return the end of the body."""
        return self._parser.send(h11.EndOfMessage()) or b""

    def abort(self) -> None:
        """Reset the connection."""
        reset_on_close(self._sock)
        self._parser.send_failed()
        self._sock.close()

    def allow_pauses(self) -> None:
        """Let the caller pause reading, and leave buffering to the response's writer.

        A zero window would end the connection after the usual user timeout, and the
        kernel would buffer megabytes that no budget counts.
        """
        if not self._may_pause:
            self._may_pause = True
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _PAUSE_TIMEOUT_MS
            )
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _MAX_UNSENT_BYTES
            )

    def write(self, data: bytes) -> None:
        """Write `data`, unless the caller does not read for too long."""
        with gevent.Timeout(_WRITE_TIMEOUT_S):
            self._sock.sendall(data)

    def write_now(self, data: bytes) -> int:
        """Write what the socket accepts at once and return the number of bytes."""
        written_count = 0
        with memoryview(data) as view, suppress(BlockingIOError):
            while written_count < len(data):
                written_count += self._sock.send(view[written_count:], 0, 0.0)
        return written_count

    def write_some(self, data: bytes) -> int:
        """Wait until the socket accepts a part of `data` and return its length."""
        return self._sock.send(data)

    def _read_blocks(self) -> None:
        """Buffer received blocks; at end of stream, interrupt the handler."""
        while True:
            while len(self._received_blocks) >= _MAX_READ_AHEAD_BLOCKS:
                gevent.sleep(0.01)
            try:
                data = self._sock.recv(_RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            self._received_blocks.append(data)
            self._has_input.set()
        self._is_eof = True
        self._has_input.set()
        if self._handler_task is not None:
            gevent.kill(self._handler_task, CallerDisconnected)

    def _serve_request(self) -> bool:
        try:
            return self._receive_and_handle()
        finally:
            if self._reserved_bytes:
                assert self._server.body_memory is not None
                self._server.body_memory.release(self._reserved_bytes)
                self._reserved_bytes = 0

    def _receive_and_handle(self) -> bool:
        limits = self._server.limits()
        request = self._receive_request(limits)
        if isinstance(request, _InvalidRequest):
            self._send_refusal(request)
            return False
        exchange = Exchange(self)
        self._handler_task = gevent.getcurrent()
        try:
            if self._is_eof:
                raise CallerDisconnected
            self._server.handler(request, exchange)
        finally:
            self._handler_task = None
        assert exchange.is_done, "the handler returned without completing the response"
        if (
            self._parser.our_state is not h11.DONE
            or self._parser.their_state is not h11.DONE
        ):
            return False
        self._parser.start_next_cycle()
        return True

    def _receive_request(self, limits: ReadLimits) -> CallerRequest | _InvalidRequest:
        self._is_idle = True
        self._first_byte_at = 0.0
        head: RequestHead | None = None
        blocks: list[bytes] = []
        body_bytes = 0
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                return _InvalidRequest(exc.error_status_hint, str(exc))
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.write(self._parser.send(continue_response) or b"")
                invalid = self._feed_parser(limits, is_head_complete=head is not None)
                if invalid is not None:
                    return invalid
            elif isinstance(event, h11.Request):
                self._is_idle = False
                invalid = _check_framing(event)
                if invalid is not None:
                    return invalid
                head = _to_request_head(event)
                length = head.headers.get("content-length") or "0"
                refusal = self._reserve_body(
                    head, min(int(length), limits.max_body_bytes)
                )
                if refusal is not None:
                    return refusal
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                if body_bytes > limits.max_body_bytes:
                    return _InvalidRequest(
                        _STATUS_CONTENT_TOO_LARGE, "body over the limit"
                    )
                assert head is not None
                refusal = self._reserve_body(head, body_bytes)
                if refusal is not None:
                    return refusal
                blocks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                first_byte_at = self._first_byte_at or self._clock.monotonic()
                return CallerRequest(head, b"".join(blocks), first_byte_at)
            else:
                return _InvalidRequest(0, "closed by the caller")

    def _reserve_body(
        self, head: RequestHead, byte_count: int
    ) -> _InvalidRequest | None:
        """Reserve memory for `byte_count` bytes of the body, or return a refusal."""
        memory, missing_bytes = (
            self._server.body_memory,
            byte_count - self._reserved_bytes,
        )
        if memory is None or missing_bytes <= 0:
            return None
        if memory.reserve(missing_bytes):
            self._reserved_bytes = byte_count
            return None
        response = memory.refuse(head, self._first_byte_at)
        return _InvalidRequest(response[0].status, "no memory", response)

    def _feed_parser(
        self, limits: ReadLimits, is_head_complete: bool
    ) -> _InvalidRequest | None:
        """Wait for the next received block and pass it to the parser."""
        has_request_begun = not self._is_idle
        limit_s = (
            limits.header_timeout_s if has_request_begun else limits.idle_timeout_s
        )
        started_at = self._clock.monotonic()
        if has_request_begun and not is_head_complete:
            started_at = self._first_byte_at
        while not self._received_blocks and not self._is_eof:
            self._has_input.clear()
            timeout_s = started_at + limit_s - self._clock.monotonic()
            if timeout_s <= 0 or not self._has_input.wait(timeout_s):
                status = _STATUS_REQUEST_TIMEOUT if has_request_begun else 0
                return _InvalidRequest(status, f"not received within {limit_s} s")
        if not self._received_blocks:
            self._parser.receive_data(b"")
            return None
        if not has_request_begun:
            self._first_byte_at = self._clock.monotonic()
            self._is_idle = False
        self._parser.receive_data(self._received_blocks.popleft())
        return None

    def _send_refusal(self, invalid: _InvalidRequest) -> None:
        if invalid.response is not None:
            head, body = invalid.response
            if not self._server.is_closing:
                headers = head.headers.adding([("Connection", "close")])
                head = ResponseHead(head.status, headers)
            self._send_last_response(head, body)
            self._discard_input()
            return
        if not invalid.status or self._parser.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        self._metrics.count("caller_unreadable_total", status=str(invalid.status))
        _logger.info(
            "invalid request refused",
            extra={"status": invalid.status, "detail": invalid.detail},
        )
        headers = Headers([("Connection", "close")])
        body = invalid.detail.encode()
        self._send_last_response(ResponseHead(invalid.status, headers), body)
        # Closing with unread input would reset the connection before the caller has
        # read this response.
        gevent.sleep(_REFUSAL_LINGER_S)

    def _send_last_response(self, head: ResponseHead, body: bytes) -> None:
        """Send a response to a request that was not received completely."""
        self.write(self.encode_head(head, len(body), body) + self.encode_end())
        self._sock.shutdown(socket.SHUT_WR)

    def _discard_input(self) -> None:
        """Read on, so that a caller that sends a long body reads its response."""
        with gevent.Timeout(_WRITE_TIMEOUT_S, False):
            while not self._is_eof:
                self._received_blocks.clear()
                self._has_input.clear()
                if not self._has_input.wait(_REFUSAL_LINGER_S):
                    return


def _framing_headers(length: int | None) -> list[tuple[str, str]]:
    if length is None:
        return [("Transfer-Encoding", "chunked")]
    return [("Content-Length", str(length))]


def _check_framing(event: h11.Request) -> _InvalidRequest | None:
    """Refuse framing that allows request smuggling, and targets without a path."""
    names = [name for name, _ in event.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return _InvalidRequest(_STATUS_BAD_REQUEST, "both a length and chunks")
    if names.count(b"host") > 1:
        return _InvalidRequest(_STATUS_BAD_REQUEST, "more than one Host")
    if not event.target.startswith(b"/"):
        return _InvalidRequest(
            _STATUS_BAD_REQUEST, "the target must begin with a slash"
        )
    return None


def _to_request_head(event: h11.Request) -> RequestHead:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    ]
    return RequestHead(
        event.method.decode("ascii"),
        event.target.decode("latin-1"),
        Headers(headers),
    )
