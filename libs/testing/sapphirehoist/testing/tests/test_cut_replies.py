"""Clients of endpoints and platform services whose replies end before they are whole.

Each reply is cut after each of its bytes, by FIN and by reset.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from sapphirehoist.clock import SystemClock
from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import (
    Answered,
    HttpEndpointClient,
    Lost,
    StageCall,
    Stream,
    StreamBroken,
    StreamResumeCall,
)
from sapphirehoist.storage import (
    Committed,
    Conflict,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    Rows,
    Unavailable,
    Undecided,
    Write,
)
from sapphirehoist.testing import CutReplies, Ending

IDS = "X-Request-Id: request-2\r\nX-Stage: book\r\nX-Attempt: 1\r\n"
STREAM_ID = "X-Stream-Id: stream-1\r\nContent-Type: text/event-stream\r\n"
CALL = StageCall("request-2", "book", 1, "team", b"body", timeout_s=2.0)
RESUME = StreamResumeCall("stream-1", 5, 2.0)
EVENTS = b'id: 1\ndata: "a"\n\nid: 2\nevent: done\ndata: {}\n\n'
STATUSES = ["200 OK", "404 Not Found", "409 Conflict", "503 Busy"]
INFORMATIONAL = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
}


@pytest.fixture
def server() -> Iterator[CutReplies]:
    server = CutReplies()
    yield server
    server.stop()


def make_endpoint(server: CutReplies) -> Endpoint:
    url = f"http://{server.address}"
    return Endpoint("e-1", url, EndpointKind.SERVICE, "pool", "region", "zone", 1)


def with_length(status: str, headers: str, body: bytes) -> bytes:
    """Return a reply; a cut within its last header leaves another length."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def with_chunks(status: str, headers: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
    return head.encode() + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


def head_size(reply: bytes) -> int:
    return reply.index(b"\r\n\r\n") + 4


def results_of_cuts(
    server: CutReplies,
    ending: Ending,
    reply: bytes,
    sizes: range,
    call: Callable[[], Any],
) -> dict[bytes, Any]:
    """Return what `call` gets for the first bytes of a reply, by these bytes."""
    server.ending = ending
    results = {}
    for size in sizes:
        server.reply = reply[:size]
        results[server.reply] = call()
    return results


def all_but(results: dict[bytes, Any], expected: type) -> dict[bytes, Any]:
    return {cut: r for cut, r in results.items() if not isinstance(r, expected)}


@pytest.mark.parametrize("ending", list(Ending))
class TestEndpointReplies:
    """Guards against replies of endpoints that are taken as whole, or as a refusal that
    says that the call did not run, though they are cut.
    """

    @pytest.mark.parametrize("status", STATUSES)
    def test_head_of_a_call(
        self, server: CutReplies, ending: Ending, status: str
    ) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        reply = with_length(status, IDS, b"twelve bytes")
        results = results_of_cuts(
            server,
            ending,
            reply,
            range(head_size(reply)),
            lambda: client.call(endpoint, CALL),
        )
        assert not all_but(results, Lost)

    @pytest.mark.parametrize("encode", [with_length, with_chunks])
    def test_body_of_a_call(
        self, server: CutReplies, ending: Ending, encode: Callable
    ) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        reply = encode("200 OK", IDS, b"twelve bytes")
        results = results_of_cuts(
            server,
            ending,
            reply,
            range(head_size(reply), len(reply.rstrip(b"\r\n"))),
            lambda: client.call(endpoint, CALL),
        )
        assert not all_but(results, Lost)

    @pytest.mark.parametrize("status", STATUSES)
    def test_head_of_a_stream(
        self, server: CutReplies, ending: Ending, status: str
    ) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        reply = f"HTTP/1.1 {status}\r\n{IDS}{STREAM_ID}\r\n".encode()
        results = results_of_cuts(
            server,
            ending,
            reply,
            range(len(reply)),
            lambda: client.open_stream(endpoint, CALL),
        )
        assert not all_but(results, Lost)

    @pytest.mark.parametrize("status", STATUSES)
    def test_head_of_a_resumed_stream(
        self, server: CutReplies, ending: Ending, status: str
    ) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        reply = f"HTTP/1.1 {status}\r\n{STREAM_ID}\r\n".encode()
        results = results_of_cuts(
            server,
            ending,
            reply,
            range(len(reply)),
            lambda: client.resume_stream(endpoint, RESUME),
        )
        assert not all_but(results, Lost)

    def test_call_after_a_cancellation(
        self, server: CutReplies, ending: Ending
    ) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        answer = with_length("200 OK", IDS, b"twelve bytes")
        cancelled = b"HTTP/1.1 204 No Content\r\nX-Stage: cancel\r\n\r\n"
        for size in range(len(cancelled)):
            server.reply, server.ending = cancelled[:size], ending
            client.cancel(endpoint, "request-2")
            server.reply, server.ending = answer, Ending.CLOSE
            assert isinstance(client.call(endpoint, CALL), Answered)


class TestEvents:
    def test_stream_that_is_cut_is_not_complete(self, server: CutReplies) -> None:
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)

        def read_stream() -> list[bytes | StreamBroken]:
            stream = client.open_stream(endpoint, CALL)
            assert isinstance(stream, Stream), stream
            return list(stream.events())

        reply = f"HTTP/1.1 200 OK\r\n{IDS}{STREAM_ID}\r\n".encode() + EVENTS
        sizes = range(head_size(reply), len(reply))
        results = results_of_cuts(server, Ending.CLOSE, reply, sizes, read_stream)
        assert all(isinstance(r[-1], StreamBroken) for r in results.values())


@pytest.mark.parametrize("status", INFORMATIONAL)
class TestInformationalHeads:
    @pytest.mark.parametrize("ending", list(Ending))
    def test_cut_within_or_after_them(
        self, server: CutReplies, status: str, ending: Ending
    ) -> None:
        """Guards against an informational head that is taken for a refusal."""
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        final = f"HTTP/1.1 200 OK\r\n{STREAM_ID}\r\n".encode()
        reply = INFORMATIONAL[status] + final
        results = results_of_cuts(
            server,
            ending,
            reply,
            range(len(reply)),
            lambda: client.resume_stream(endpoint, RESUME),
        )
        assert not all_but(results, Lost)

    def test_reply_behind_them(self, server: CutReplies, status: str) -> None:
        """Guards against sound replies that are lost, or read by the next call."""
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        answer = with_length("200 OK", IDS, b"twelve bytes")
        server.reply = INFORMATIONAL[status] * 2 + answer
        answered = client.call(endpoint, CALL)
        assert isinstance(answered, Answered)
        assert answered.body == b"twelve bytes"

    def test_without_end(self, server: CutReplies, status: str) -> None:
        """Guards against a call that reads them until its caller has given up."""
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        server.reply = INFORMATIONAL[status] * 20_000
        with gevent.Timeout(1.0):
            assert isinstance(client.call(endpoint, CALL), Lost)


ROW = b'[{"key":"a","value":"eA==","revision":3}]'
ERA = "Store-Era: 12\r\n"
WRITES = [Write("a", b"x")]


@pytest.mark.parametrize("ending", list(Ending))
@pytest.mark.parametrize("encode", [with_length, with_chunks])
class TestPlatformReplies:
    """Guards against rows, objects and VMs that disappear, and against writes whose
    effect is taken as known, though the reply is cut.
    """

    @pytest.fixture
    def replies(
        self, server: CutReplies, ending: Ending, encode: Callable
    ) -> Callable[[str, bytes, Callable[[], Any]], dict[bytes, Any]]:
        def get_results(
            status: str, body: bytes, call: Callable[[], Any]
        ) -> dict[bytes, Any]:
            reply = encode(status, ERA, body)
            end = len(reply.rstrip(b"\r\n"))
            return results_of_cuts(server, ending, reply, range(end), call)

        return get_results

    @pytest.mark.parametrize("status", STATUSES)
    def test_rows(self, server: CutReplies, replies: Callable, status: str) -> None:
        table = HttpTableService(f"http://{server.address}")
        results = replies(status, ROW, lambda: table.read_prefix("a"))
        assert not all_but(results, Unavailable)

    @pytest.mark.parametrize("status", STATUSES)
    def test_transaction(
        self, server: CutReplies, replies: Callable, status: str
    ) -> None:
        table = HttpTableService(f"http://{server.address}")
        body = b'{"type":"Committed","revision":12}'
        if status.startswith("409"):
            body = b'{"type":"Conflict","rows":' + ROW + b"}"
        results = replies(status, body, lambda: table.transact([], WRITES))
        assert not all_but(results, Undecided)

    @pytest.mark.parametrize("status", STATUSES)
    def test_object(self, server: CutReplies, replies: Callable, status: str) -> None:
        store = HttpObjectStore(f"http://{server.address}")
        results = replies(status, b"an object", lambda: store.get("a"))
        assert not all_but(results, Unavailable)

    @pytest.mark.parametrize("status", STATUSES)
    def test_write_of_an_object(
        self, server: CutReplies, replies: Callable, status: str
    ) -> None:
        store = HttpObjectStore(f"http://{server.address}")
        results = replies(status, b"twelve bytes", lambda: store.put("a", b"x"))
        assert not all_but(results, Undecided)

    @pytest.mark.parametrize("status", STATUSES)
    def test_removal_of_an_object(
        self, server: CutReplies, replies: Callable, status: str
    ) -> None:
        store = HttpObjectStore(f"http://{server.address}")
        results = replies(status, b"twelve bytes", lambda: store.delete("a"))
        assert not any(results.values())

    @pytest.mark.parametrize("status", STATUSES)
    def test_vms(self, server: CutReplies, replies: Callable, status: str) -> None:
        vms = HttpVmList(f"http://{server.address}")
        results = replies(status, b'{"type":"VmStates","vms":[]}', vms.read_vms)
        assert not all_but(results, Unavailable)


class TestWholePlatformReplies:
    """Guards against sound replies that are refused."""

    @pytest.mark.parametrize("encode", [with_length, with_chunks])
    def test_they_are_taken(self, server: CutReplies, encode: Callable) -> None:
        url = f"http://{server.address}"
        server.reply = encode("200 OK", ERA, b"an object")
        assert HttpObjectStore(url).get("a") == b"an object"
        server.reply = encode("200 OK", ERA, b"{}")
        assert isinstance(HttpObjectStore(url).put("a", b"x"), Committed)
        server.reply = encode("200 OK", ERA, ROW)
        assert isinstance(HttpTableService(url).read_prefix("a"), Rows)
        server.reply = encode("409 Conflict", ERA, b'{"type":"Conflict","rows":[]}')
        table = HttpTableService(url)
        assert isinstance(table.transact([], WRITES), Conflict)

    def test_object_of_unknown_length_is_not_taken(self, server: CutReplies) -> None:
        """Guards against a part of an object that is taken for the whole."""
        server.reply = b"HTTP/1.1 200 OK\r\n\r\nan obj"
        store = HttpObjectStore(f"http://{server.address}")
        assert isinstance(store.get("a"), Unavailable)
