"""Receives the requests of one connection within limits and sends their responses."""

from __future__ import annotations

import logging
import ssl
from abc import ABC, abstractmethod
from collections import deque
from contextlib import suppress

import gevent
import h11
from gevent import socket
from gevent.event import Event

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import ConnectionPhase
from sapphirehoist.http1.caller_request import (
    CallerDisconnected,
    CallerRequest,
    InvalidRequest,
    ReadLimits,
)
from sapphirehoist.http1.connection_limits import (
    FIELD_BYTES,
    MAX_FRAMING_FACTOR,
    MAX_RECEIVE_S,
    READ_AHEAD_BYTES,
)
from sapphirehoist.http1.exchange import Exchange
from sapphirehoist.http1.head_checks import check_head, to_request_head
from sapphirehoist.http1.held_memory import HeldMemory, RequestMemory
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import WorkTurns, configure_tcp_socket, reset_on_close

_logger = logging.getLogger(__name__)

# A write fails if the caller does not read for this long.
_WRITE_TIMEOUT_S = 10.0
# The same for a caller with buffered responses, and what the kernel holds unsent then.
_PAUSE_TIMEOUT_MS = 10_000
_MAX_UNSENT_BYTES = 65_536
_REFUSAL_LINGER_S = 0.5
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_CONTENT_TOO_LARGE = 413
# Work after which a task waits for its turn: parts of a body, and bytes of a head.
_PARTS_PER_TURN = 32
_HEAD_BYTES_PER_TURN = 4_096


class ConnectionOwner(ABC):
    """What connections share: the listener that has accepted them."""

    __slots__ = ()

    request_memory: RequestMemory | None
    turns: WorkTurns
    interrupts_handlers: bool
    is_closing: bool

    @abstractmethod
    def read_limits(self) -> ReadLimits:
        """Return the limits in force."""

    @abstractmethod
    def handle(self, request: CallerRequest, exchange: Exchange) -> None:
        """Handle one request and complete its response."""

    @abstractmethod
    def enter(self, conn: CallerConnection, phase: ConnectionPhase) -> None:
        """Record the phase of a connection."""

    @abstractmethod
    def forget(self, conn: CallerConnection) -> None:
        """Stop counting a connection, and release its memory."""

    @abstractmethod
    def make_room(self, conn: CallerConnection) -> bool:
        """Take memory from another connection; return whether there was one."""


class CallerConnection:
    """One caller's connection, with a receiving task and a handling task.

    Parameters
    ----------
    owner : ConnectionOwner
        Listener that has accepted the connection.
    sock : socket
        Connected socket.
    connection_bytes : int
        Memory that is reserved for the connection itself.
    clock : Clock
        Gives the arrival times of requests.
    metrics : Metrics
        Counts ``caller_*_total``.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_first_byte_at",
        "_handler_task",
        "_has_input",
        "_has_room",
        "_head",
        "_held",
        "_is_eof",
        "_is_idle",
        "_may_pause",
        "_metrics",
        "_owner",
        "_parser",
        "_read_ahead_bytes",
        "_read_task",
        "_received_blocks",
        "_received_bytes",
        "_refusal",
        "_sock",
        "_task",
    )

    def __init__(
        self,
        owner: ConnectionOwner,
        sock: socket.socket,
        connection_bytes: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._owner = owner
        self._sock = sock
        self._held = HeldMemory(
            owner.request_memory, connection_bytes, lambda: owner.make_room(self)
        )
        self._clock = clock
        self._metrics = metrics
        self._received_blocks: deque[bytes] = deque()
        self._read_ahead_bytes = 0
        self._has_input = Event()
        self._has_room = Event()
        self._is_eof = False
        self._is_idle = True
        self._may_pause = False
        self._received_bytes = 0
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._refusal: InvalidRequest | None = None
        self._first_byte_at = 0.0
        self._task = gevent.getcurrent()
        self._handler_task: gevent.Greenlet | None = None
        self._read_task: gevent.Greenlet | None = None
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=owner.read_limits().max_header_bytes
        )

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        configure_tcp_socket(self._sock)
        self._read_task = gevent.spawn(self._read_blocks)
        try:
            while self._serve_request():
                pass
        except CallerDisconnected:
            if self._refusal is None:
                self._metrics.count("caller_left_total")
        except (OSError, gevent.Timeout):
            self._metrics.count("caller_broken_total")
        finally:
            self._read_task.kill(block=False)
            self._sock.close()

    def reserve_memory(self) -> bool:
        """Reserve the memory of the connection itself, before it is used."""
        return self._held.reserve_connection()

    def wrap(self, tls: ssl.SSLContext) -> None:
        """Speak TLS from here on, after its handshake.

        Raises
        ------
        OSError
            If the caller does not speak TLS, or closes the connection.
        """
        self._sock = tls.wrap_socket(
            self._sock, server_side=True, do_handshake_on_connect=False
        )
        self._sock.do_handshake()

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def release_all(self) -> None:
        """Release all memory of the connection."""
        self._drop_request()
        self._held.release_all()

    @property
    def is_active(self) -> bool:
        """Return whether a request is being received or answered."""
        return not self._is_idle or bool(self._received_blocks)

    def close_if_idle(self) -> None:
        """Close unless a request is being received or handled."""
        if not self.is_active:
            self._sock.shutdown(socket.SHUT_RD)

    def close_now(self) -> None:
        """Close at once for another connection, after a refusal if there is a request.

        What the socket does not accept is not sent.
        """
        is_receiving_body = self._parser.our_state is h11.SEND_RESPONSE
        if self._refusal is None and self._head is not None and is_receiving_body:
            refusal = self._refuse_for_memory(self._head)
            with suppress(OSError):
                self.write_now(self._encode_refusal(refusal))
        self._refusal = self._refusal or InvalidRequest(0, "closed for another one")
        self._owner.forget(self)
        self._sock.close()
        # Its task may wait for its turn, behind those of many others.
        gevent.kill(self._task, CallerDisconnected)

    def give_up_request(self) -> None:
        """Release the memory of an unfinished request, and refuse it."""
        if self._is_idle:
            self.close_now()
            return
        if self._head is not None:
            self._refuse_for_memory(self._head)
        else:
            detail = "not received before the memory was full"
            self._refusal = InvalidRequest(_STATUS_REQUEST_TIMEOUT, detail)
        self._drop_request()
        self._owner.enter(self, ConnectionPhase.DELIVERING)
        self._has_input.set()

    def encode_head(self, head: ResponseHead, length: int | None) -> bytes:
        """Return the head of the response."""
        framing = _framing_headers(length)
        if self._owner.is_closing:
            framing.append(("Connection", "close"))
        headers = [*head.headers.items(), *framing]
        event = h11.Response(
            status_code=head.status,
            # The inverse of how received headers are decoded.
            headers=[(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers],
        )
        return self._parser.send(event) or b""

    def encode_data(self, data: bytes) -> bytes:
        """Return a part of the body with its framing."""
        return self._parser.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Return the end of the body."""
        return self._parser.send(h11.EndOfMessage()) or b""

    def begin_delivery(self) -> None:
        """Record that only the caller's reading is waited for."""
        self._owner.enter(self, ConnectionPhase.DELIVERING)

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

    def write_some(self, data: bytes | memoryview) -> int:
        """Wait until the socket accepts a part of `data` and return its length."""
        return self._sock.send(data)

    def _read_blocks(self) -> None:
        """Buffer received blocks; at end of stream, interrupt the handler."""
        while True:
            while self._read_ahead_bytes >= READ_AHEAD_BYTES:
                self._has_room.clear()
                self._has_room.wait()
            try:
                data = self._sock.recv(READ_AHEAD_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            self._received_blocks.append(data)
            self._read_ahead_bytes += len(data)
            self._has_input.set()
        self._is_eof = True
        self._has_input.set()
        if self._handler_task is not None:
            gevent.kill(self._handler_task, CallerDisconnected)

    def _take_block(self) -> bytes:
        """Return the next received block and let the receiving task go on."""
        block = self._received_blocks.popleft()
        self._read_ahead_bytes -= len(block)
        self._has_room.set()
        return block

    def _serve_request(self) -> bool:
        try:
            return self._receive_and_handle()
        finally:
            self._drop_request()

    def _receive_and_handle(self) -> bool:
        request = self._receive_request(self._owner.read_limits())
        if isinstance(request, InvalidRequest):
            self._owner.enter(self, ConnectionPhase.DELIVERING)
            self._send_refusal(request)
            return False
        exchange = Exchange(self)
        if self._owner.interrupts_handlers:
            self._handler_task = gevent.getcurrent()
        self._owner.enter(self, ConnectionPhase.ANSWERING)
        try:
            if self._is_eof:
                raise CallerDisconnected
            self._owner.handle(request, exchange)
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

    def _receive_request(self, limits: ReadLimits) -> CallerRequest | InvalidRequest:
        self._is_idle = True
        self._first_byte_at = 0.0
        self._received_bytes = 0
        self._owner.enter(self, ConnectionPhase.IDLE)
        part_count = 0
        if self._parser.trailing_data[0] or self._received_blocks:
            # The caller sends requests ahead of their responses.
            self._owner.turns.wait()
        while True:
            if self._refusal is not None:
                return self._refusal
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                return InvalidRequest(exc.error_status_hint, str(exc))
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.write(self._parser.send(continue_response) or b"")
                invalid = self._feed_parser(limits)
            elif isinstance(event, h11.Request):
                invalid = self._accept_head(event, limits)
            elif isinstance(event, h11.Data):
                part_count += 1
                if part_count % _PARTS_PER_TURN == 0:
                    self._owner.turns.wait()
                invalid = self._accept_part(event.data, limits)
            elif isinstance(event, h11.EndOfMessage):
                return self._complete_request()
            else:
                invalid = InvalidRequest(0, "closed by the caller")
            if invalid is not None:
                return invalid

    def _accept_head(
        self, event: h11.Request, limits: ReadLimits
    ) -> InvalidRequest | None:
        """Check a head and reserve memory for it, and for the length of its body."""
        if self._is_idle:
            self._begin_request()
        invalid = check_head(event, limits)
        if invalid is not None:
            return invalid
        head = self._head = to_request_head(event)
        length = int(head.headers.get("content-length") or "0")
        if length > limits.max_body_bytes:
            return _body_too_large()
        self._received_bytes = 0
        field_count = len(event.headers)
        return self._reserve_request(field_count * FIELD_BYTES + length)

    def _accept_part(
        self, data: bytes | bytearray, limits: ReadLimits
    ) -> InvalidRequest | None:
        """Keep a part of the body, unless it is over a limit or does not fit."""
        body_bytes = len(self._body) + len(data)
        if body_bytes > limits.max_body_bytes:
            return _body_too_large()
        if self._refusal is not None:
            return self._refusal
        assert self._head is not None
        field_count = self._head.headers.field_count
        refusal = self._reserve_request(field_count * FIELD_BYTES + body_bytes)
        if refusal is None:
            self._body += data
        return refusal

    def _complete_request(self) -> CallerRequest:
        assert self._head is not None
        first_byte_at = self._first_byte_at or self._clock.monotonic()
        request = CallerRequest(self._head, bytes(self._body), first_byte_at)
        self._body = bytearray()
        return request

    def _begin_request(self) -> None:
        self._first_byte_at = self._clock.monotonic()
        self._is_idle = False
        self._owner.enter(self, ConnectionPhase.RECEIVING)

    def _feed_parser(self, limits: ReadLimits) -> InvalidRequest | None:
        """Wait for the next received block and pass it to the parser."""
        invalid = self._wait_for_input(limits)
        if invalid is not None:
            return invalid
        if not self._received_blocks:
            self._parser.receive_data(b"")
            return None
        if self._is_idle:
            self._begin_request()
        block = self._take_block()
        self._received_bytes += len(block)
        max_bytes = limits.max_body_bytes * MAX_FRAMING_FACTOR + limits.max_header_bytes
        if self._head is None:
            if len(block) >= _HEAD_BYTES_PER_TURN:
                self._owner.turns.wait()
            if self._refusal is not None:
                return self._refusal
            if not self._held.reserve_request(self._received_bytes):
                detail = "no memory for the head"
                return InvalidRequest(_STATUS_REQUEST_TIMEOUT, detail)
        elif self._received_bytes > max_bytes:
            return InvalidRequest(
                _STATUS_CONTENT_TOO_LARGE, "framing of the body over the limit"
            )
        self._parser.receive_data(block)
        return None

    def _wait_for_input(self, limits: ReadLimits) -> InvalidRequest | None:
        """Wait until a block was received, the caller closed, or a limit passed."""
        limit_s = limits.idle_timeout_s if self._is_idle else limits.header_timeout_s
        ends_at = self._clock.monotonic() + limit_s
        if not self._is_idle:
            if self._head is None:
                ends_at = self._first_byte_at + limit_s
            ends_at = min(ends_at, self._first_byte_at + MAX_RECEIVE_S)
        while not self._received_blocks and not self._is_eof:
            self._has_input.clear()
            timeout_s = ends_at - self._clock.monotonic()
            if timeout_s <= 0 or not self._has_input.wait(timeout_s):
                status = 0 if self._is_idle else _STATUS_REQUEST_TIMEOUT
                return InvalidRequest(status, f"not received within {limit_s} s")
            if self._refusal is not None:
                return self._refusal
        return None

    def _reserve_request(self, byte_count: int) -> InvalidRequest | None:
        """Reserve memory for a request of `byte_count` bytes, or return a refusal."""
        if self._refusal is None and not self._held.reserve_request(byte_count):
            assert self._head is not None
            self._refuse_for_memory(self._head)
        return self._refusal

    def _drop_request(self) -> None:
        """Forget a request, and release its memory."""
        self._head = None
        self._body = bytearray()
        self._held.release_request()

    def _refuse_for_memory(self, head: RequestHead) -> InvalidRequest:
        memory = self._owner.request_memory
        if memory is None:
            self._refusal = InvalidRequest(_STATUS_REQUEST_TIMEOUT, "too many callers")
        else:
            response = memory.refuse(head, self._first_byte_at)
            self._refusal = InvalidRequest(response[0].status, "no memory", response)
        return self._refusal

    def _send_refusal(self, invalid: InvalidRequest) -> None:
        if not invalid.status or self._parser.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        self._drop_request()
        if invalid.response is None:
            self._metrics.count("caller_unreadable_total", status=str(invalid.status))
            _logger.info(
                "invalid request refused",
                extra={"status": invalid.status, "detail": invalid.detail},
            )
        self.write(self._encode_refusal(invalid))
        self._sock.shutdown(socket.SHUT_WR)
        if invalid.response is not None:
            self._discard_input()
        else:
            # Closing with unread input would reset the connection before the caller has
            # read this response.
            gevent.sleep(_REFUSAL_LINGER_S)

    def _encode_refusal(self, invalid: InvalidRequest) -> bytes:
        """Return the response to a request that was not received completely."""
        head, body = invalid.response or (
            ResponseHead(invalid.status, Headers()),
            invalid.detail.encode(),
        )
        if not self._owner.is_closing:
            headers = head.headers.adding([("Connection", "close")])
            head = ResponseHead(head.status, headers)
        data = self.encode_head(head, len(body))
        return data + self.encode_data(body) + self.encode_end()

    def _discard_input(self) -> None:
        """Read on, so that a caller that sends a long body reads its response."""
        with gevent.Timeout(_WRITE_TIMEOUT_S, False):
            while not self._is_eof:
                while self._received_blocks:
                    self._take_block()
                self._has_input.clear()
                if not self._has_input.wait(_REFUSAL_LINGER_S):
                    return


def _framing_headers(length: int | None) -> list[tuple[str, str]]:
    if length is None:
        return [("Transfer-Encoding", "chunked")]
    return [("Content-Length", str(length))]


def _body_too_large() -> InvalidRequest:
    return InvalidRequest(_STATUS_CONTENT_TOO_LARGE, "body over the limit")
