"""Typed requests, replies and notices between daemons."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
from gevent.event import AsyncResult

from sapphirehoist.clock import Clock, HybridClock
from sapphirehoist.messages import Malformed, decode_msgpack, encode_msgpack
from sapphirehoist.observability import Metrics
from sapphirehoist.peers.message import Envelope, PeerMessage
from sapphirehoist.peers.transport import PeerTransport, Receiver

M = TypeVar("M", bound=PeerMessage)
R = TypeVar("R", bound=PeerMessage)


@dataclass(frozen=True, slots=True)
class NoReply:
    """No reply came within the timeout, or it did not decode."""

    detail: str


@dataclass(frozen=True, slots=True)
class _Subscription:
    kind: type[PeerMessage]
    handler: Callable[[str, PeerMessage], PeerMessage | None]


class PeerBus(Receiver):
    """Sends and receives typed messages; counts the bytes of each kind.

    Parameters
    ----------
    vm : str
        Name of this VM.
    transport : PeerTransport
        Carries the encoded messages.
    clock : Clock
        Times out requests.
    hybrid : HybridClock
        Stamps and orders messages.
    metrics : Metrics
        Takes the counters ``peer_*_total``.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_hybrid",
        "_metrics",
        "_next_call_id",
        "_subscriptions",
        "_transport",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        transport: PeerTransport,
        clock: Clock,
        hybrid: HybridClock,
        metrics: Metrics,
    ) -> None:
        self._vm = vm
        self._transport = transport
        self._clock = clock
        self._hybrid = hybrid
        self._metrics = metrics
        self._subscriptions: dict[str, _Subscription] = {}
        self._calls: dict[int, AsyncResult] = {}
        self._next_call_id = 0

    def start(self) -> None:
        """Begin to receive; subscribe before this call."""
        self._transport.start(self)

    def close(self) -> None:
        """Stop the transport."""
        self._transport.close()

    def forget(self, address: str) -> None:
        """Release the connection to `address`."""
        self._transport.forget(address)

    def subscribe(
        self, kind: type[M], handler: Callable[[str, M], PeerMessage | None]
    ) -> None:
        """Call `handler(sender, message)` for each message of `kind`.

        The handler runs in a task of its own; what it returns is sent as the reply.
        """
        subscription = _Subscription(kind, handler)  # type: ignore[arg-type]
        self._subscriptions[kind.KIND] = subscription

    def tell(self, address: str, message: PeerMessage) -> bool:
        """Send a notice; False where it was dropped at once."""
        return self._send(address, message, call_id=0)

    def ask(
        self, address: str, message: PeerMessage, reply: type[R], timeout_s: float
    ) -> R | NoReply:
        """Send a request and wait for its reply of type `reply`."""
        self._next_call_id += 1
        call_id = self._next_call_id
        pending = self._calls[call_id] = AsyncResult()
        try:
            if not self._send(address, message, call_id):
                return NoReply(f"{message.KIND}: {address}: not sent")
            if not self._clock.wait(pending, timeout_s):
                return NoReply(f"{message.KIND}: {address}: no reply for {timeout_s} s")
            envelope = pending.get()
        finally:
            del self._calls[call_id]
        answer = decode_msgpack(envelope.body, reply)
        if isinstance(answer, Malformed):
            self._metrics.count("peer_malformed_total", kind=reply.KIND)
            return NoReply(f"{message.KIND}: {address}: {answer.detail}")
        return answer

    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        """Take a message from the transport; handle it in its own task."""
        envelope = self._open(payload)
        if envelope is not None:
            gevent.spawn(self._handle, envelope, reply)

    def count_refused_connection(self) -> None:
        """Count a connection whose key is not the fleet's."""
        self._metrics.count("peer_refused_connections_total")

    def receive_reply(self, payload: bytes) -> None:
        """Match a reply to its request; a late or repeated one is dropped."""
        envelope = self._open(payload)
        if envelope is None:
            return
        pending = self._calls.get(envelope.call_id)
        if pending is None or pending.ready():
            self._metrics.count("peer_late_replies_total", kind=envelope.kind)
            return
        pending.set(envelope)

    def _send(self, address: str, message: PeerMessage, call_id: int) -> bool:
        payload = self._seal(message, call_id)
        is_queued = self._transport.send(address, payload)
        if not is_queued:
            self._metrics.count("peer_dropped_total", kind=message.KIND)
        return is_queued

    def _seal(self, message: PeerMessage, call_id: int) -> bytes:
        body = encode_msgpack(message)
        at = self._hybrid.tick()
        payload = encode_msgpack(Envelope(self._vm, message.KIND, call_id, at, body))
        self._metrics.count("peer_sent_bytes_total", len(payload), kind=message.KIND)
        self._metrics.count("peer_sent_total", kind=message.KIND)
        return payload

    def _open(self, payload: bytes) -> Envelope | None:
        envelope = decode_msgpack(payload, Envelope)
        if isinstance(envelope, Malformed):
            self._metrics.count("peer_malformed_total", kind="envelope")
            return None
        self._hybrid.observe(envelope.at)
        self._metrics.count(
            "peer_received_bytes_total", len(payload), kind=envelope.kind
        )
        return envelope

    def _handle(self, envelope: Envelope, reply: Callable[[bytes], None]) -> None:
        subscription = self._subscriptions.get(envelope.kind)
        if subscription is None:
            self._metrics.count("peer_malformed_total", kind="unknown")
            return
        message = decode_msgpack(envelope.body, subscription.kind)
        if isinstance(message, Malformed):
            self._metrics.count("peer_malformed_total", kind=envelope.kind)
            return
        answer = subscription.handler(envelope.sender, message)
        if answer is not None and envelope.call_id:
            reply(self._seal(answer, envelope.call_id))
