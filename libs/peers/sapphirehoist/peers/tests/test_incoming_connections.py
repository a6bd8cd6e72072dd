"""Senders at the address for peers that may be no peers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket

from sapphirehoist.peers import Receiver, TcpTransport, incoming_connections
from sapphirehoist.testing import free_port, wait_until

MAX_CONNECTIONS = 4
WAIT_S = 5.0
FRAME = (2).to_bytes(4) + b"ok"


class Recorder(Receiver):
    """Knows ``ok`` as the only message."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def receive_request(
        self, payload: bytes, send_reply: Callable[[bytes], None]
    ) -> bool:
        self.received.append(payload)
        return payload == b"ok"

    def receive_reply(self, payload: bytes) -> None:
        pass


class Listener:
    def __init__(self) -> None:
        self.address = ("127.0.0.1", free_port())
        self.recorder = Recorder()
        self.transport = TcpTransport(
            f"tcp://127.0.0.1:{self.address[1]}", MAX_CONNECTIONS
        )
        self.transport.start(self.recorder)

    def connect(self, data: bytes) -> socket.socket:
        sock = socket.create_connection(self.address, WAIT_S)
        sock.sendall(data)
        gevent.sleep(0.02)
        return sock


@pytest.fixture
def listener() -> Iterator[Listener]:
    started = Listener()
    yield started
    started.transport.close()


def is_closed(sock: socket.socket) -> bool:
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def test_peer_keeps_its_connection_in_a_crowd(listener: Listener) -> None:
    peer = listener.connect(FRAME)
    crowd = [listener.connect(b"\x00") for _ in range(2 * MAX_CONNECTIONS)]
    late = listener.connect(FRAME)
    assert is_closed(crowd[0])
    peer.sendall(FRAME * 100)
    wait_until(lambda: len(listener.recorder.received) == 102, "all messages")
    late.close()


def test_sender_of_something_else_is_disconnected(listener: Listener) -> None:
    assert is_closed(listener.connect((1).to_bytes(4) + b"x" + FRAME))
    assert listener.recorder.received == [b"x"]


def test_sender_without_a_message_is_disconnected(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(incoming_connections, "FIRST_MESSAGE_TIMEOUT_S", 0.2)
    assert is_closed(listener.connect((1_000).to_bytes(4) + b"x"))


def test_unfinished_frames_are_bounded(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(incoming_connections, "_MAX_UNFINISHED_BYTES", 100_000)
    peer = listener.connect(FRAME)
    with pytest.raises(OSError):  # noqa: PT012
        stranger = listener.connect((500_000).to_bytes(4))
        for _ in range(50):
            stranger.sendall(b"x" * 10_000)
            gevent.sleep(0.005)
        if is_closed(stranger):
            raise ConnectionResetError
    payload = b"x" * 300_000
    peer.sendall(len(payload).to_bytes(4) + payload)
    wait_until(lambda: listener.recorder.received == [b"ok", payload], "the frame")
