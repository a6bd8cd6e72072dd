"""Clients of endpoints and platform services whose replies do not end.

The server sends as fast as it is read. A reply has to be given up at its limit or at
its time, and other tasks have to run meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from sapphirehoist.clock import SystemClock
from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import (
    HttpEndpointClient,
    Lost,
    StageCall,
    Stream,
    StreamBroken,
    TimedOut,
)
from sapphirehoist.storage import HttpTableService, Unavailable
from sapphirehoist.testing import (
    ENDLESS_REPLIES,
    ENDLESS_STREAMS,
    EndlessReplies,
    call_beside_another_task,
)

CALL = StageCall("request-2", "book", 1, "team", b"body", timeout_s=2.0)


@pytest.fixture
def server() -> Iterator[EndlessReplies]:
    server = EndlessReplies()
    yield server
    server.stop()


def make_endpoint(server: EndlessReplies) -> Endpoint:
    url = f"http://{server.address}"
    return Endpoint("e-1", url, EndpointKind.SERVICE, "pool", "region", "zone", 1)


@pytest.mark.parametrize("form", ENDLESS_REPLIES)
class TestRepliesWithoutEnd:
    """Guards against a process that keeps all that a faulty server sends, or that
    serves nobody while it reads.
    """

    def test_call_of_an_endpoint(self, server: EndlessReplies, form: str) -> None:
        server.form = ENDLESS_REPLIES[form]
        client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)
        outcome = call_beside_another_task(server, lambda: client.call(endpoint, CALL))
        assert isinstance(outcome, Lost | TimedOut)

    def test_read_of_the_table(self, server: EndlessReplies, form: str) -> None:
        server.form = ENDLESS_REPLIES[form]
        table = HttpTableService(f"http://{server.address}")
        outcome = call_beside_another_task(server, lambda: table.read_prefix("k"))
        assert isinstance(outcome, Unavailable)


@pytest.mark.parametrize("form", ENDLESS_STREAMS)
def test_stream_of_an_endpoint(server: EndlessReplies, form: str) -> None:
    """Guards against a stream that goes on after its time, beside no other task."""
    server.form = ENDLESS_STREAMS[form]
    client, endpoint = HttpEndpointClient(SystemClock()), make_endpoint(server)

    def read() -> Any:
        stream = client.open_stream(endpoint, CALL)
        assert isinstance(stream, Stream)
        blocks = list(stream.events())
        stream.close()
        return blocks[-1]

    assert isinstance(call_beside_another_task(server, read), StreamBroken)
