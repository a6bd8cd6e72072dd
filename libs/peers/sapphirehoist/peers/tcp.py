"""Plain TCP transport: one outgoing connection per peer, length-prefixed frames.

Replies are sent on the connection of their request. A byte stream has a connection of
its own, which begins with a mark that is no valid length. There is no encryption, so
the network between the VMs has to be private. Messages that cannot be delivered soon
are dropped, so that a peer that was unreachable does not receive outdated messages.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from sapphirehoist.clock import Clock, SystemClock
from sapphirehoist.peers.incoming_connections import (
    FIRST_MESSAGE_TIMEOUT_S,
    IncomingConnections,
)
from sapphirehoist.peers.stream import (
    LENGTH_PREFIX_BYTES,
    MAX_MESSAGE_BYTES,
    receive_exactly,
    receive_frame,
    send_frame,
)
from sapphirehoist.peers.transport import PeerTransport, Receiver
from sapphirehoist.sockets import ConnectionCounts, configure_tcp_socket

_MAX_QUEUED_MESSAGES = 256
_MAX_PORT = 65_535
_STREAM_MARK = b"\xff" * LENGTH_PREFIX_BYTES
_READ_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
# Messages are dropped for this time after a failed connection.
_RECONNECT_DELAY_S = 0.2
_LISTEN_BACKLOG = 256
_MAX_ACCEPTED_AT_A_TIME = 8
# The message that opens a stream names an endpoint only.
_MAX_STREAM_REQUEST_BYTES = 65_536


class TcpTransport(PeerTransport):
    """Transport over plain TCP; only for use in the thread of the gevent hub.

    Parameters
    ----------
    listen : str
        Address to bind, such as ``tcp://10.0.0.1:7300``.
    max_connections : int or None
        Largest number of incoming connections; None for a share of the process's
        descriptors.
    clock : Clock or None
        Measures how long incoming connections wait; None for the system's clock.
    """

    __slots__ = (
        "_address",
        "_incoming",
        "_incoming_sockets",
        "_is_closed",
        "_outgoing",
        "_receiver",
        "_server",
    )

    def __init__(
        self,
        listen: str,
        max_connections: int | None = None,
        clock: Clock | None = None,
    ) -> None:
        listen_address = _parse_address(listen)
        assert listen_address is not None, f"no address to listen on: {listen}"
        self._address = listen_address
        self._outgoing: dict[str, _OutgoingConnection] = {}
        if max_connections is None:
            max_connections = ConnectionCounts.from_process().peers
        self._incoming = IncomingConnections(max_connections, clock or SystemClock())
        self._incoming_sockets: set[socket.socket] = set()
        self._receiver: Receiver | None = None
        self._server: StreamServer | None = None
        self._is_closed = False

    def start(self, receiver: Receiver) -> None:
        """Bind the address and start delivering received messages."""
        self._receiver = receiver
        self._server = StreamServer(
            self._address, self._serve_connection, backlog=_LISTEN_BACKLOG
        )
        self._server.max_accept = _MAX_ACCEPTED_AT_A_TIME
        self._server.start()

    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`.

        Return False if the queue is full or the transport is closed.
        """
        if self._is_closed:
            return False
        connection = self._outgoing.get(address)
        if connection is None:
            assert self._receiver is not None
            target = _parse_address(address)
            if target is None:
                return False
            connection = self._outgoing[address] = _OutgoingConnection(
                target, self._receiver.receive_reply
            )
        return connection.send(payload)

    def open_stream(self, address: str, payload: bytes) -> socket.socket | None:
        """Open a byte stream to `address` that begins with `payload`."""
        target = _parse_address(address)
        if target is None:
            return None
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        is_open = False
        try:
            configure_tcp_socket(sock)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect(target)
            sock.settimeout(None)
            sock.sendall(_STREAM_MARK)
            send_frame(sock, payload)
            is_open = True
        except OSError:
            return None
        finally:
            if not is_open:
                sock.close()
        return sock

    def disconnect(self, address: str) -> None:
        """Close the connection to `address`."""
        connection = self._outgoing.pop(address, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for address in list(self._outgoing):
            self.disconnect(address)
        for sock in list(self._incoming_sockets):
            sock.close()

    def _serve_connection(
        self, sock: socket.socket, peer_address: tuple[str, int]
    ) -> None:
        """Deliver the requests of one incoming connection and write their replies."""
        if not self._incoming.add(sock):
            sock.close()
            return
        self._incoming_sockets.add(sock)
        try:
            configure_tcp_socket(sock)
            prefix = None
            with gevent.Timeout(FIRST_MESSAGE_TIMEOUT_S, False):
                prefix = receive_exactly(sock, LENGTH_PREFIX_BYTES)
            if prefix == _STREAM_MARK:
                self._receive_stream(sock)
            elif prefix is not None:
                self._receive_messages(sock, prefix)
        except OSError:
            return  # closed while it was accepted
        finally:
            self._incoming_sockets.discard(sock)
            self._incoming.remove(sock)
            sock.close()

    def _receive_stream(self, sock: socket.socket) -> None:
        assert self._receiver is not None
        payload = None
        with gevent.Timeout(FIRST_MESSAGE_TIMEOUT_S, False):
            payload = receive_frame(sock, _MAX_STREAM_REQUEST_BYTES)
        if payload is not None:
            self._incoming.trust(sock)
            self._receiver.receive_stream(payload, sock)

    def _receive_messages(self, sock: socket.socket, first_bytes: bytes) -> None:
        replies: Queue = Queue(_MAX_QUEUED_MESSAGES)
        writer = gevent.spawn(_write_frames, sock, replies)
        try:
            self._incoming.read_frames(
                sock,
                lambda payload: self._receive_request(payload, replies),
                first_bytes,
            )
        finally:
            writer.kill(block=False)

    def _receive_request(self, payload: bytes, replies: Queue) -> bool | None:
        assert self._receiver is not None

        def send_reply(reply: bytes) -> None:
            _try_enqueue(replies, reply)

        return self._receiver.receive_request(payload, send_reply)


class _OutgoingConnection:
    """Connection to one peer, opened for queued messages and reopened on failure."""

    __slots__ = ("_address", "_on_reply", "_queue", "_task")

    def __init__(
        self, address: tuple[str, int], on_reply: Callable[[bytes], None]
    ) -> None:
        self._address = address
        self._on_reply = on_reply
        self._queue: Queue = Queue(_MAX_QUEUED_MESSAGES)
        self._task = gevent.spawn(self._run)

    def send(self, payload: bytes) -> bool:
        return _try_enqueue(self._queue, payload)

    def close(self) -> None:
        self._task.kill(block=False)

    def _run(self) -> None:
        while True:
            try:
                self._queue.peek()
                is_connected = self._connect_and_exchange()
            except _ConnectionClosed:
                continue
            if not is_connected:
                self._clear_queue()
                gevent.sleep(_RECONNECT_DELAY_S)
                self._clear_queue()

    def _connect_and_exchange(self) -> bool:
        """Send queued messages and read replies until the connection fails.

        Return False if connecting or writing failed. If the peer closes the connection,
        `_ConnectionClosed` is raised in this greenlet.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reader = None
        try:
            configure_tcp_socket(sock)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect(self._address)
            sock.settimeout(None)
            writer = gevent.getcurrent()
            reader = gevent.spawn(self._read_replies, sock, writer)
            _write_frames(sock, self._queue)
        except OSError:
            return False
        finally:
            if reader is not None:
                reader.kill(block=False)
            sock.close()
        return True

    def _read_replies(self, sock: socket.socket, writer: gevent.Greenlet) -> None:
        _read_frames(sock, self._on_reply)
        gevent.kill(writer, _ConnectionClosed)

    def _clear_queue(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()


class _ConnectionClosed(Exception):
    """Raised in the writing greenlet when the reading one sees the connection end."""


def _try_enqueue(queue: Queue, payload: bytes) -> bool:
    try:
        queue.put_nowait(payload)
    except Full:
        return False
    return True


def _write_frames(sock: socket.socket, queue: Queue) -> None:
    """Write queued payloads as frames until writing fails.

    All payloads that are queued at a time are written with one call.
    """
    while True:
        payload = queue.get()
        frames = [len(payload).to_bytes(LENGTH_PREFIX_BYTES), payload]
        while not queue.empty():
            payload = queue.get_nowait()
            frames += [len(payload).to_bytes(LENGTH_PREFIX_BYTES), payload]
        sock.sendall(b"".join(frames))


def _read_frames(sock: socket.socket, deliver: Callable[[bytes], None]) -> None:
    """Deliver the payloads of complete frames until the connection ends.

    Return early if a frame, including its prefix, exceeds `MAX_MESSAGE_BYTES`.
    """
    buffer = b""
    while True:
        try:
            chunk = sock.recv(_READ_CHUNK_BYTES)
        except OSError:
            return
        if not chunk:
            return
        buffer += chunk
        while len(buffer) >= LENGTH_PREFIX_BYTES:
            frame_end = LENGTH_PREFIX_BYTES + int.from_bytes(
                buffer[:LENGTH_PREFIX_BYTES]
            )
            if frame_end > MAX_MESSAGE_BYTES:
                return
            if len(buffer) < frame_end:
                break
            deliver(buffer[LENGTH_PREFIX_BYTES:frame_end])
            buffer = buffer[frame_end:]


def _parse_address(address: str) -> tuple[str, int] | None:
    """Return host and port; None if members' rows contain something else."""
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    is_valid = port.isascii() and port.isdecimal() and len(port) <= len(str(_MAX_PORT))
    if not is_valid or int(port) > _MAX_PORT or not (host.isascii() and host):
        return None
    return host, int(port)
