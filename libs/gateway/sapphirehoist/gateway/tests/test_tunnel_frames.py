"""Tunnels whose connection ends within what the endpoint has sent."""

from __future__ import annotations

import pytest
from gevent import socket

from sapphirehoist.gateway.tunnel_messages import TunnelSocket, send_data
from sapphirehoist.sockets import reset_on_close

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n"
END_FRAME = bytes(4)


def make_frames() -> bytes:
    """Return the frames of a head that arrives in three parts, without an end frame."""
    helper, reader = socket.socketpair()
    for part in (HEAD[:9], HEAD[9:30], HEAD[30:]):
        send_data(helper, part)
    helper.close()
    frames = bytearray()
    while block := reader.recv(65_536):
        frames += block
    return bytes(frames)


def receive(sent: bytes, is_reset: bool) -> bytes:
    """Return what is read up to the end of the endpoint's connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    helper, _ = listener.accept()
    listener.close()
    tunnel = TunnelSocket(near, lambda: None, "region-a")
    helper.sendall(sent)
    if is_reset:
        reset_on_close(helper)
    helper.close()
    received = bytearray()
    try:
        while block := tunnel.recv(16):
            received += block
    finally:
        tunnel.close()
    return bytes(received)


@pytest.mark.parametrize("is_reset", [False, True])
def test_end_of_the_tunnel_is_not_the_end_of_the_answer(is_reset: bool) -> None:
    """Guards against an answer without a length that is whole once its helper dies."""
    frames = make_frames()
    for size in range(len(frames + END_FRAME)):
        with pytest.raises(ConnectionResetError):
            receive((frames + END_FRAME)[:size], is_reset)


def test_end_frame_ends_the_answer() -> None:
    assert receive(make_frames() + END_FRAME, False) == HEAD
