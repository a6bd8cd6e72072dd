"""ZeroMQ transport: one ROUTER socket for incoming requests, one DEALER per peer.

Replies are sent on the connection of their request. With a key pair, connections are
encrypted with CURVE and only clients that hold the same pair are authenticated; without
one, the network between the VMs has to be private.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
import zmq.green as zmq
from zmq.utils import z85

from sapphirehoist.peers.transport import PeerTransport, Receiver

_HIGH_WATER_MARK_MESSAGES = 256
_MIN_RECONNECT_DELAY_MS = 100
_MAX_RECONNECT_DELAY_MS = 2_000
_HEARTBEAT_INTERVAL_MS = 5_000
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_SOCKET_BUFFER_BYTES = 64 * 1024
# A connection that has not completed its handshake by then is closed.
_HANDSHAKE_TIMEOUT_MS = 3_000
_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_ZAP_VERSION = b"1.0"


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Key pair shared by all daemons of the fleet, in Z85 encoding."""

    public: str
    secret: str


class ZmqTransport(PeerTransport):
    """Transport over ZeroMQ sockets on TCP.

    Parameters
    ----------
    listen : str
        Address to bind, such as ``tcp://10.0.0.1:7300``.
    keys : CurveKeys or None
        Key pair of the fleet; None disables encryption and authentication.
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
        """Bind the address and start delivering received messages."""
        self._receiver = receiver
        router = self._new_socket(zmq.ROUTER)
        if self._keys is not None:
            zap_socket = self._context.socket(zmq.REP)
            zap_socket.bind(_ZAP_ENDPOINT)
            self._tasks.append(
                gevent.spawn(self._authenticate_clients, zap_socket, self._keys)
            )
            router.curve_server = True
            router.zap_domain = b"fleet"
        router.bind(self._listen)
        self._tasks.append(gevent.spawn(self._receive_requests, router))

    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`.

        Return False if the queue is full or the transport is closed.
        """
        if self._context.closed:
            return False
        try:
            self._get_dealer(address).send(payload, zmq.NOBLOCK)
        except zmq.ZMQError:
            # The queue is full, or a member's row contains no address.
            return False
        return True

    def disconnect(self, address: str) -> None:
        """Close the connection to `address`."""
        dealer_and_task = self._dealers.pop(address, None)
        if dealer_and_task is not None:
            dealer, task = dealer_and_task
            task.kill(block=False)
            dealer.close()

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self._dealers):
            self.disconnect(address)
        for task in self._tasks:
            task.kill(block=False)
        self._context.destroy(linger=0)

    def _new_socket(self, socket_type: int) -> zmq.Socket:
        sock = self._context.socket(socket_type)
        sock.linger = 0
        sock.sndhwm = _HIGH_WATER_MARK_MESSAGES
        sock.rcvhwm = _HIGH_WATER_MARK_MESSAGES
        sock.sndbuf = _SOCKET_BUFFER_BYTES
        sock.rcvbuf = _SOCKET_BUFFER_BYTES
        sock.maxmsgsize = _MAX_MESSAGE_BYTES
        sock.reconnect_ivl = _MIN_RECONNECT_DELAY_MS
        sock.reconnect_ivl_max = _MAX_RECONNECT_DELAY_MS
        sock.handshake_ivl = _HANDSHAKE_TIMEOUT_MS
        sock.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        if self._keys is not None:
            sock.curve_publickey = self._keys.public.encode()
            sock.curve_secretkey = self._keys.secret.encode()
        return sock

    def _get_dealer(self, address: str) -> zmq.Socket:
        dealer_and_task = self._dealers.get(address)
        if dealer_and_task is None:
            dealer = self._new_socket(zmq.DEALER)
            if self._keys is not None:
                dealer.curve_serverkey = self._keys.public.encode()
            try:
                dealer.connect(address)
            except zmq.ZMQError:
                dealer.close()
                raise
            task = gevent.spawn(self._receive_replies, dealer)
            dealer_and_task = self._dealers[address] = (dealer, task)
        return dealer_and_task[0]

    def _receive_replies(self, dealer: zmq.Socket) -> None:
        assert self._receiver is not None
        while True:
            self._receiver.receive_reply(dealer.recv())

    def _receive_requests(self, router: zmq.Socket) -> None:
        assert self._receiver is not None
        while True:
            frames = router.recv_multipart()
            send_reply = self._make_reply_sender(router, frames[0])
            self._receiver.receive_request(frames[-1], send_reply)

    def _make_reply_sender(
        self, router: zmq.Socket, identity: bytes
    ) -> Callable[[bytes], None]:
        def send_reply(payload: bytes) -> None:
            try:
                router.send_multipart([identity, payload], zmq.NOBLOCK)
            except zmq.ZMQError:
                return  # The requester disconnected or reads too slowly; it retries.

        return send_reply

    def _authenticate_clients(self, zap_socket: zmq.Socket, keys: CurveKeys) -> None:
        """Reply to ZAP requests; only the public key of the fleet is accepted."""
        assert self._receiver is not None
        fleet_public_key = z85.decode(keys.public.encode())
        while True:
            frames = zap_socket.recv_multipart()
            request_id, mechanism, credentials = frames[1], frames[5], frames[6:]
            is_authenticated = mechanism == b"CURVE" and credentials == [
                fleet_public_key
            ]
            if not is_authenticated:
                self._receiver.count_refused_connection()
            status = [b"200", b"OK"] if is_authenticated else [b"400", b"unknown key"]
            zap_socket.send_multipart([_ZAP_VERSION, request_id, *status, b"", b""])
