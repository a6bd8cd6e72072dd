"""ZeroMQ transport: one ROUTER for requests received, one DEALER per peer called.

Replies return on the connection of their request. With a key pair every connection is
encrypted with CURVE, and only holders of the pair are admitted; without one the network
between the VMs has to be private.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
import zmq.green as zmq
from zmq.utils import z85

from sapphirehoist.peers.transport import PeerTransport, Receiver

_SEND_QUEUE_MESSAGES = 256
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 2_000
_HEARTBEAT_INTERVAL_MS = 5_000
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_KERNEL_BUFFER_BYTES = 64 * 1024
_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_ZAP_VERSION = b"1.0"


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """The fleet's key pair in Z85 encoding."""

    public: str
    secret: str


class ZmqTransport(PeerTransport):
    """Transport over TCP.

    Parameters
    ----------
    listen : str
        Address to bind, such as ``tcp://10.0.0.1:7300``.
    keys : CurveKeys or None
        The fleet's key pair.
    """

    __slots__ = ("_context", "_dealers", "_keys", "_listen", "_receiver", "_tasks")

    def __init__(self, listen: str, keys: CurveKeys | None) -> None:
        self._listen = listen
        self._keys = keys
        self._context = zmq.Context()
        self._dealers: dict[str, tuple[zmq.Socket, gevent.Greenlet]] = {}
        self._receiver: Receiver | None = None
        self._tasks: list[gevent.Greenlet] = []

    def start(self, receiver: Receiver) -> None:
        """Bind the address and begin to deliver received messages."""
        self._receiver = receiver
        router = self._new_socket(zmq.ROUTER)
        if self._keys is not None:
            zap = self._context.socket(zmq.REP)
            zap.bind(_ZAP_ENDPOINT)
            self._tasks.append(gevent.spawn(self._admit_clients, zap, self._keys))
            router.curve_server = True
            router.zap_domain = b"fleet"
        router.bind(self._listen)
        self._tasks.append(gevent.spawn(self._receive_requests, router))

    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`; False where its queue is full."""
        if self._context.closed:
            return False
        try:
            self._dealer(address).send(payload, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def forget(self, address: str) -> None:
        """Close the connection to `address`."""
        entry = self._dealers.pop(address, None)
        if entry is not None:
            dealer, task = entry
            task.kill(block=False)
            dealer.close()

    def close(self) -> None:
        """Close every socket."""
        for address in list(self._dealers):
            self.forget(address)
        for task in self._tasks:
            task.kill(block=False)
        self._context.destroy(linger=0)

    def _new_socket(self, kind: int) -> zmq.Socket:
        sock = self._context.socket(kind)
        sock.linger = 0
        sock.sndhwm = _SEND_QUEUE_MESSAGES
        sock.rcvhwm = _SEND_QUEUE_MESSAGES
        sock.sndbuf = _KERNEL_BUFFER_BYTES
        sock.rcvbuf = _KERNEL_BUFFER_BYTES
        sock.maxmsgsize = _MAX_MESSAGE_BYTES
        sock.reconnect_ivl = _RECONNECT_MIN_MS
        sock.reconnect_ivl_max = _RECONNECT_MAX_MS
        sock.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        if self._keys is not None:
            sock.curve_publickey = self._keys.public.encode()
            sock.curve_secretkey = self._keys.secret.encode()
        return sock

    def _dealer(self, address: str) -> zmq.Socket:
        entry = self._dealers.get(address)
        if entry is None:
            dealer = self._new_socket(zmq.DEALER)
            if self._keys is not None:
                dealer.curve_serverkey = self._keys.public.encode()
            dealer.connect(address)
            task = gevent.spawn(self._receive_replies, dealer)
            entry = self._dealers[address] = (dealer, task)
        return entry[0]

    def _receive_replies(self, dealer: zmq.Socket) -> None:
        assert self._receiver is not None
        while True:
            self._receiver.receive_reply(dealer.recv())

    def _receive_requests(self, router: zmq.Socket) -> None:
        assert self._receiver is not None
        while True:
            frames = router.recv_multipart()
            reply = self._reply_path(router, frames[0])
            self._receiver.receive_request(frames[-1], reply)

    def _reply_path(
        self, router: zmq.Socket, identity: bytes
    ) -> Callable[[bytes], None]:
        def reply(payload: bytes) -> None:
            try:
                router.send_multipart([identity, payload], zmq.NOBLOCK)
            except zmq.ZMQError:
                return  # the caller went away or reads too slowly; it asks again

        return reply

    def _admit_clients(self, zap: zmq.Socket, keys: CurveKeys) -> None:
        """Answer ZAP requests: only the fleet's own public key is admitted."""
        assert self._receiver is not None
        fleet_key = z85.decode(keys.public.encode())
        while True:
            frames = zap.recv_multipart()
            request_id, mechanism, credentials = frames[1], frames[5], frames[6:]
            is_fleet = mechanism == b"CURVE" and credentials == [fleet_key]
            if not is_fleet:
                self._receiver.count_refused_connection()
            status = [b"200", b"OK"] if is_fleet else [b"400", b"unknown key"]
            zap.send_multipart([_ZAP_VERSION, request_id, *status, b"", b""])
