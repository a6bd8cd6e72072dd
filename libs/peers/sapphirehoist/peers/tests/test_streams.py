"""Byte streams between daemons over TCP."""

from __future__ import annotations

from typing import ClassVar

import gevent

from sapphirehoist.clock import HybridClock, SystemClock
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import (
    IncomingStream,
    NoReply,
    OpenedStream,
    PeerBus,
    PeerMessage,
    TcpTransport,
)
from sapphirehoist.testing import free_port


class Text(PeerMessage, frozen=True, array_like=True):
    KIND: ClassVar[str] = "test.text"

    text: str


def start_bus(vm: str) -> tuple[PeerBus, str]:
    address = f"tcp://127.0.0.1:{free_port()}"
    clock = SystemClock()
    return PeerBus(
        vm, TcpTransport(address), clock, HybridClock(clock), Metrics()
    ), address


def test_stream_carries_bytes_after_one_message_each_way() -> None:
    (client, _), (server, address) = start_bus("vm-1"), start_bus("vm-2")

    def echo(sender: str, message: Text, stream: IncomingStream) -> None:
        stream.reply(Text(f"{sender} {message.text}"))
        while data := stream.sock.recv(100):
            stream.sock.sendall(data)

    server.subscribe_streams(Text, echo)
    server.subscribe(Text, lambda sender, message: Text("reply"))
    server.start()
    client.start()
    opened = client.open_stream(address, Text("hello"), Text, 2.0)
    assert isinstance(opened, OpenedStream)
    assert opened.reply == Text("vm-1 hello")
    opened.sock.sendall(b"bytes")
    assert opened.sock.recv(100) == b"bytes"
    assert client.request(address, Text("x"), Text, 2.0) == Text("reply")
    opened.sock.close()
    client.close()
    server.close()


def test_stream_that_is_not_replied_to_is_given_up() -> None:
    (client, _), (server, address) = start_bus("vm-1"), start_bus("vm-2")
    server.subscribe_streams(Text, lambda sender, message, stream: gevent.sleep(2))
    server.start()
    assert isinstance(client.open_stream(address, Text("x"), Text, 0.1), NoReply)
    server.close()
    assert isinstance(client.open_stream(address, Text("x"), Text, 0.1), NoReply)
