"""Typed requests, replies and notifications between daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

import gevent
from gevent import socket
from gevent.event import AsyncResult

from sapphirehoist.clock import Clock, HybridClock
from sapphirehoist.messages import MalformedMessage, decode_msgpack, encode_msgpack
from sapphirehoist.observability import Metrics
from sapphirehoist.peers.message import Envelope, PeerMessage
from sapphirehoist.peers.stream import IncomingStream, OpenedStream, receive_frame
from sapphirehoist.peers.transport import PeerTransport, Receiver

M = TypeVar("M", bound=PeerMessage)
R = TypeVar("R", bound=PeerMessage)


@dataclass(frozen=True, slots=True)
class NoReply:
    """A request failed: not sent, timed out, or its reply could not be decoded."""

    detail: str


@dataclass(frozen=True, slots=True)
class _Subscription:
    message_type: type[PeerMessage]
    handler: Callable[[str, PeerMessage], PeerMessage | None]


@dataclass(frozen=True, slots=True)
class _StreamSubscription:
    message_type: type[PeerMessage]
    handler: Callable[[str, PeerMessage, IncomingStream], None]


class PeerBus(Receiver):
    """Sends and receives typed messages, and counts the bytes of each kind.

    A request waits for a reply; a notification is a one-way message. A stream begins
    with a request and its reply, and goes on with bytes of any meaning.

    Parameters
    ----------
    vm : str
        Name of this VM.
    transport : PeerTransport
        Delivers encoded messages.
    clock : Clock
        Measures the timeouts of requests.
    hybrid_clock : HybridClock
        Timestamps sent messages and is advanced by received ones.
    metrics : Metrics
        Receives the counters ``peer_*_total``.
    """

    __slots__ = (
        "_clock",
        "_hybrid_clock",
        "_last_call_id",
        "_metrics",
        "_pending_replies",
        "_stream_subscriptions",
        "_subscriptions",
        "_transport",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        transport: PeerTransport,
        clock: Clock,
        hybrid_clock: HybridClock,
        metrics: Metrics,
    ) -> None:
        self._vm = vm
        self._transport = transport
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._metrics = metrics
        self._subscriptions: dict[str, _Subscription] = {}
        self._stream_subscriptions: dict[str, _StreamSubscription] = {}
        self._pending_replies: dict[int, AsyncResult] = {}
        self._last_call_id = 0

    def start(self) -> None:
        """Start receiving messages; all handlers have to be subscribed before."""
        self._transport.start(self)

    def close(self) -> None:
        """Stop the transport."""
        self._transport.close()

    def disconnect(self, address: str) -> None:
        """Close the connection to `address`."""
        self._transport.disconnect(address)

    def subscribe(
        self, message_type: type[M], handler: Callable[[str, M], PeerMessage | None]
    ) -> None:
        """Call `handler(sender, message)` for each received message of `message_type`.

        `sender` is the VM of the sender. Each call runs in its own greenlet. If the
        message is a request, the handler returns the reply.
        """
        subscription = _Subscription(message_type, handler)  # type: ignore[arg-type]
        self._subscriptions[message_type.KIND] = subscription

    def subscribe_streams(
        self, message_type: type[M], handler: Callable[[str, M, IncomingStream], None]
    ) -> None:
        """Call `handler(sender, message, stream)` for streams of `message_type`.

        The handler replies, and the stream is closed when it returns.
        """
        subscription = _StreamSubscription(message_type, handler)  # type: ignore[arg-type]
        self._stream_subscriptions[message_type.KIND] = subscription

    def notify(self, address: str, message: PeerMessage) -> bool:
        """Send a notification; return False if the transport dropped it at once."""
        return self._send(address, message, call_id=0)

    def notify_all(self, addresses: Iterable[str], message: PeerMessage) -> None:
        """Send a notification to several addresses; it is encoded once."""
        payload: bytes | None = None
        for address in addresses:
            if payload is None:
                payload = self._encode_envelope(message, call_id=0)
            else:
                self._count_sent(message.KIND, len(payload))
            if not self._transport.send(address, payload):
                self._metrics.count("peer_dropped_total", kind=message.KIND)

    def request(
        self, address: str, message: PeerMessage, reply_type: type[R], timeout_s: float
    ) -> R | NoReply:
        """Send a request, and wait up to `timeout_s` for a reply of `reply_type`."""
        self._last_call_id += 1
        call_id = self._last_call_id
        pending_reply = self._pending_replies[call_id] = AsyncResult()
        try:
            if not self._send(address, message, call_id):
                return NoReply(f"{message.KIND}: {address}: not sent")
            if not self._clock.wait(pending_reply, timeout_s):
                return NoReply(f"{message.KIND}: {address}: no reply for {timeout_s} s")
            envelope = pending_reply.get()
        finally:
            del self._pending_replies[call_id]
        reply = decode_msgpack(envelope.body, reply_type)
        if isinstance(reply, MalformedMessage):
            self._metrics.count("peer_malformed_total", kind=reply_type.KIND)
            return NoReply(f"{message.KIND}: {address}: {reply.detail}")
        return reply

    def open_stream(
        self, address: str, message: PeerMessage, reply_type: type[R], timeout_s: float
    ) -> OpenedStream[R] | NoReply:
        """Open a stream, and wait up to `timeout_s` for a reply of `reply_type`.

        The bytes that follow the reply are received from the connection in the result.
        """
        sock = None
        reply: R | MalformedMessage | None = None
        try:
            with gevent.Timeout(timeout_s, False):
                envelope = self._encode_envelope(message, call_id=0)
                sock = self._transport.open_stream(address, envelope)
                payload = receive_frame(sock) if sock is not None else None
                if payload is not None:
                    reply = self._decode_stream_reply(payload, reply_type)
            if sock is None or reply is None or isinstance(reply, MalformedMessage):
                return NoReply(f"{message.KIND}: {address}: no stream")
            opened, sock = OpenedStream(reply, sock), None
            return opened
        finally:
            if sock is not None:
                sock.close()

    def receive_stream(self, payload: bytes, sock: socket.socket) -> None:
        """Decode the request that opens a stream and call its handler."""
        envelope = self._decode_envelope(payload)
        if envelope is None:
            return
        subscription = self._stream_subscriptions.get(envelope.kind)
        if subscription is None:
            self._metrics.count("peer_malformed_total", kind="unknown")
            return
        message = decode_msgpack(envelope.body, subscription.message_type)
        if isinstance(message, MalformedMessage):
            self._metrics.count("peer_malformed_total", kind=envelope.kind)
            return
        stream = IncomingStream(sock, lambda reply: self._encode_envelope(reply, 0))
        subscription.handler(envelope.sender, message, stream)

    def _decode_stream_reply(
        self, payload: bytes, reply_type: type[R]
    ) -> R | MalformedMessage | None:
        envelope = self._decode_envelope(payload)
        if envelope is None:
            return None
        return decode_msgpack(envelope.body, reply_type)

    def receive_request(
        self, payload: bytes, send_reply: Callable[[bytes], None]
    ) -> bool:
        """Decode a request or notification and call its handler in a new greenlet.

        Return whether it is a message.
        """
        envelope = self._decode_envelope(payload)
        if envelope is None:
            return False
        gevent.spawn(self._handle_request, envelope, send_reply)
        return True

    def count_refused_connection(self) -> None:
        """Count a connection that failed authentication."""
        self._metrics.count("peer_refused_connections_total")

    def receive_reply(self, payload: bytes) -> None:
        """Match a reply to its request; drop a late or duplicate reply."""
        envelope = self._decode_envelope(payload)
        if envelope is None:
            return
        pending_reply = self._pending_replies.get(envelope.call_id)
        if pending_reply is None or pending_reply.ready():
            self._metrics.count("peer_late_replies_total", kind=envelope.kind)
            return
        pending_reply.set(envelope)

    def _send(self, address: str, message: PeerMessage, call_id: int) -> bool:
        payload = self._encode_envelope(message, call_id)
        is_queued = self._transport.send(address, payload)
        if not is_queued:
            self._metrics.count("peer_dropped_total", kind=message.KIND)
        return is_queued

    def _encode_envelope(self, message: PeerMessage, call_id: int) -> bytes:
        body = encode_msgpack(message)
        sent_at = self._hybrid_clock.tick()
        payload = encode_msgpack(
            Envelope(self._vm, message.KIND, call_id, sent_at, body)
        )
        self._count_sent(message.KIND, len(payload))
        return payload

    def _count_sent(self, kind: str, payload_bytes: int) -> None:
        self._metrics.count("peer_sent_bytes_total", payload_bytes, kind=kind)
        self._metrics.count("peer_sent_total", kind=kind)

    def _decode_envelope(self, payload: bytes) -> Envelope | None:
        envelope = decode_msgpack(payload, Envelope)
        if isinstance(envelope, MalformedMessage):
            self._metrics.count("peer_malformed_total", kind="envelope")
            return None
        self._hybrid_clock.observe(envelope.sent_at)
        self._metrics.count(
            "peer_received_bytes_total", len(payload), kind=envelope.kind
        )
        return envelope

    def _handle_request(
        self, envelope: Envelope, send_reply: Callable[[bytes], None]
    ) -> None:
        subscription = self._subscriptions.get(envelope.kind)
        if subscription is None:
            self._metrics.count("peer_malformed_total", kind="unknown")
            return
        message = decode_msgpack(envelope.body, subscription.message_type)
        if isinstance(message, MalformedMessage):
            self._metrics.count("peer_malformed_total", kind=envelope.kind)
            return
        reply = subscription.handler(envelope.sender, message)
        if reply is not None and envelope.call_id:
            send_reply(self._encode_envelope(reply, envelope.call_id))
