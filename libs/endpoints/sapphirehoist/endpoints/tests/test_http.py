"""Replies of endpoints that are late copies, are broken off, or never end."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from sapphirehoist.clock import SystemClock
from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import (
    Answered,
    HttpEndpointClient,
    Lost,
    Refused,
    StageCall,
    Stream,
    StreamBroken,
    StreamResumeCall,
)

CALL = StageCall("request-2", "book", 1, "team", b"body", timeout_s=2.0)
IDS = "X-Request-Id: request-2\r\nX-Stage: book\r\nX-Attempt: 1\r\n"
EARLIER_IDS = IDS.replace("request-2", "request-1")


def reply(status: str, headers: str, body: bytes = b"") -> bytes:
    """Return a reply with a length."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@dataclass(slots=True)
class ScriptedEndpoint:
    """Sends the next of `replies` for each request, then closes the connection."""

    replies: list[bytes] = field(default_factory=list)
    after_replies: Callable[[socket.socket], None] = lambda sock: None
    url: str = ""

    def __call__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        while self.replies and sock.recv(65_536):
            sock.sendall(self.replies.pop(0))
        self.after_replies(sock)


@pytest.fixture
def scripted() -> Iterator[ScriptedEndpoint]:
    endpoint = ScriptedEndpoint()
    server = StreamServer(("127.0.0.1", 0), endpoint)
    server.start()
    endpoint.url = f"http://127.0.0.1:{server.server_port}"
    yield endpoint
    server.stop(timeout=0)


@pytest.fixture
def client() -> HttpEndpointClient:
    return HttpEndpointClient(SystemClock())


def make_endpoint(scripted: ScriptedEndpoint) -> Endpoint:
    return Endpoint(
        "e-1", scripted.url, EndpointKind.SERVICE, "pool", "region", "zone", 1
    )


class TestCall:
    def test_reply_to_this_call(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        scripted.replies = [reply("200 OK", IDS, b"ok")]
        answered = client.call(make_endpoint(scripted), CALL)
        assert isinstance(answered, Answered)
        assert answered.body == b"ok"

    @pytest.mark.parametrize("name", ["X-Load", "X-Tokens", "X-Incarnation"])
    def test_reply_with_a_number_that_is_too_long(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint, name: str
    ) -> None:
        """Guards against answers that are lost since a header is not usable."""
        headers = f"{IDS}{name}: {'9' * 5_000}\r\n"
        scripted.replies = [reply("200 OK", headers, b"ok")]
        assert isinstance(client.call(make_endpoint(scripted), CALL), Answered)

    def test_refusal_of_this_call(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        scripted.replies = [reply("503 Busy", IDS, b"busy")]
        assert isinstance(client.call(make_endpoint(scripted), CALL), Refused)

    @pytest.mark.parametrize("ids", [EARLIER_IDS, ""])
    @pytest.mark.parametrize("status", ["200 OK", "503 Busy", "409 Conflict"])
    def test_reply_that_may_be_to_an_earlier_call(
        self,
        client: HttpEndpointClient,
        scripted: ScriptedEndpoint,
        status: str,
        ids: str,
    ) -> None:
        """A refusal of an earlier call does not say that this one did not run."""
        scripted.replies = [reply(status, ids, b"?")]
        assert isinstance(client.call(make_endpoint(scripted), CALL), Lost)

    @pytest.mark.parametrize(
        "framing", ["Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", ""]
    )
    def test_reply_that_is_broken_off(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint, framing: str
    ) -> None:
        """A crashed process closes its connections as a complete reply would."""
        scripted.replies = [f"HTTP/1.1 200 OK\r\n{IDS}{framing}\r\n4\r\n".encode()]
        assert isinstance(client.call(make_endpoint(scripted), CALL), Lost)


class TestStream:
    def open_stream(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> Stream:
        scripted.replies = [f"HTTP/1.1 200 OK\r\n{IDS}\r\nid: 1\ndata: a\n\n".encode()]
        stream = client.open_stream(make_endpoint(scripted), CALL)
        assert isinstance(stream, Stream), stream
        return stream

    def test_stalled_stream_that_sends_a_byte_now_and_then_ends(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        """Each byte arrives before a timeout of single reads, but no event does."""

        def send_single_bytes(sock: socket.socket) -> None:
            for _ in range(80):
                sock.sendall(b"x")
                gevent.sleep(0.1)

        scripted.after_replies = send_single_bytes
        stream = self.open_stream(client, scripted)
        with gevent.Timeout(6):
            blocks = list(stream.events())
        assert blocks[0] == b"id: 1\ndata: a\n\n"
        assert isinstance(blocks[-1], StreamBroken)
        assert "no time left" in blocks[-1].detail

    def test_stream_without_its_last_event_is_broken(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        blocks = list(self.open_stream(client, scripted).events())
        assert isinstance(blocks[-1], StreamBroken)

    def test_name_of_the_final_event_in_a_text_does_not_end_the_stream(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        """Guards against a stream that ends as complete before its last event."""
        event = b'id: 1\ndata: "event: done"\n\n'
        scripted.replies = [f"HTTP/1.1 200 OK\r\n{IDS}\r\n".encode() + event]
        stream = client.open_stream(make_endpoint(scripted), CALL)
        assert isinstance(stream, Stream)
        blocks = list(stream.events())
        assert blocks[0] == event
        assert isinstance(blocks[-1], StreamBroken)

    def test_answer_for_another_stream_does_not_resume_one(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        headers = "X-Stream-Id: other\r\nContent-Type: text/event-stream\r\n"
        scripted.replies = [f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode()]
        resume = StreamResumeCall("stream-1", 5, 2.0)
        assert isinstance(client.resume_stream(make_endpoint(scripted), resume), Lost)

    def test_late_refusal_does_not_refuse_a_stream(
        self, client: HttpEndpointClient, scripted: ScriptedEndpoint
    ) -> None:
        scripted.replies = [reply("503 Busy", EARLIER_IDS, b"busy")]
        assert isinstance(client.open_stream(make_endpoint(scripted), CALL), Lost)
