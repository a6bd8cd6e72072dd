"""TCP transport of one thread: one connection to each peer called, messages framed.

Replies return on the connection of their request. There is no encryption; the network
between the VMs has to be private. What cannot be delivered soon is dropped, so that a
peer that was away does not get old messages.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from sapphirehoist.peers.transport import PeerTransport, Receiver
from sapphirehoist.sockets import watch_peer

_QUEUED_MESSAGES = 256
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_LENGTH_BYTES = 4
_READ_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
# After a failed connection messages are dropped this long, then it is tried again.
_RECONNECT_S = 0.2
_BACKLOG = 256


class TcpTransport(PeerTransport):
    """Transport over plain TCP, in gevent's thread only.

    Parameters
    ----------
    listen : str
        Address to bind, such as ``tcp://10.0.0.1:7300``.
    """

    __slots__ = (
        "_address",
        "_connections",
        "_is_closed",
        "_links",
        "_receiver",
        "_server",
    )

    def __init__(self, listen: str) -> None:
        self._address = _host_and_port(listen)
        self._links: dict[str, _Link] = {}
        self._connections: set[socket.socket] = set()
        self._receiver: Receiver | None = None
        self._server: StreamServer | None = None
        self._is_closed = False

    def start(self, receiver: Receiver) -> None:
        """Bind the address and begin to deliver received messages."""
        self._receiver = receiver
        self._server = StreamServer(self._address, self._serve, backlog=_BACKLOG)
        self._server.start()

    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`; False where its queue is full."""
        if self._is_closed:
            return False
        link = self._links.get(address)
        if link is None:
            assert self._receiver is not None
            link = self._links[address] = _Link(address, self._receiver.receive_reply)
        return link.send(payload)

    def forget(self, address: str) -> None:
        """Close the connection to `address`."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close every connection."""
        self._is_closed = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for address in list(self._links):
            self.forget(address)
        for sock in list(self._connections):
            sock.close()

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Deliver the requests of one peer, and write the replies to them."""
        assert self._receiver is not None
        watch_peer(sock)
        self._connections.add(sock)
        replies: Queue = Queue(_QUEUED_MESSAGES)
        writer = gevent.spawn(_write_all, sock, replies)
        try:
            _read_all(sock, lambda p: self._receive(p, replies))
        finally:
            writer.kill(block=False)
            self._connections.discard(sock)
            sock.close()

    def _receive(self, payload: bytes, replies: Queue) -> None:
        assert self._receiver is not None

        def reply(answer: bytes) -> None:
            _offer(replies, answer)

        self._receiver.receive_request(payload, reply)


class _Link:
    """The connection to one peer, made again when it breaks."""

    __slots__ = ("_address", "_on_reply", "_queue", "_task")

    def __init__(self, address: str, on_reply: Callable[[bytes], None]) -> None:
        self._address = _host_and_port(address)
        self._on_reply = on_reply
        self._queue: Queue = Queue(_QUEUED_MESSAGES)
        self._task = gevent.spawn(self._run)

    def send(self, payload: bytes) -> bool:
        return _offer(self._queue, payload)

    def close(self) -> None:
        self._task.kill(block=False)

    def _run(self) -> None:
        while True:
            try:
                self._queue.peek()
                is_connected = self._exchange()
            except _Broken:
                continue
            if not is_connected:
                self._drop_queued()
                gevent.sleep(_RECONNECT_S)
                self._drop_queued()

    def _exchange(self) -> bool:
        """Write and read until the connection breaks; return whether there was one."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reader = None
        try:
            watch_peer(sock)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect(self._address)
            sock.settimeout(None)
            writer = gevent.getcurrent()
            reader = gevent.spawn(self._read, sock, writer)
            _write_all(sock, self._queue)
        except OSError:
            return False
        finally:
            if reader is not None:
                reader.kill(block=False)
            sock.close()
        return True

    def _read(self, sock: socket.socket, writer: gevent.Greenlet) -> None:
        _read_all(sock, self._on_reply)
        gevent.kill(writer, _Broken)

    def _drop_queued(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()


class _Broken(Exception):
    """The peer closed the connection."""


def _offer(queue: Queue, payload: bytes) -> bool:
    try:
        queue.put_nowait(payload)
    except Full:
        return False
    return True


def _write_all(sock: socket.socket, queue: Queue) -> None:
    """Write frames until the connection breaks."""
    while True:
        payload = queue.get()
        frames = [len(payload).to_bytes(_LENGTH_BYTES), payload]
        while not queue.empty():
            payload = queue.get_nowait()
            frames += [len(payload).to_bytes(_LENGTH_BYTES), payload]
        sock.sendall(b"".join(frames))


def _read_all(sock: socket.socket, deliver: Callable[[bytes], None]) -> None:
    """Deliver whole frames until the connection ends or a frame is too long."""
    data = b""
    while True:
        try:
            received = sock.recv(_READ_BYTES)
        except OSError:
            return
        if not received:
            return
        data += received
        while len(data) >= _LENGTH_BYTES:
            end = _LENGTH_BYTES + int.from_bytes(data[:_LENGTH_BYTES])
            if end > _MAX_MESSAGE_BYTES:
                return
            if len(data) < end:
                break
            deliver(data[_LENGTH_BYTES:end])
            data = data[end:]


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    return host, int(port)
