"""Clients of endpoints and platform services that get a status which is none."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from sapphirehoist.clock import SystemClock
from sapphirehoist.configuration import Endpoint, EndpointKind
from sapphirehoist.endpoints import HttpEndpointClient, Lost, StageCall
from sapphirehoist.storage import HttpTableService, Unavailable, Undecided, Write
from sapphirehoist.testing import CutReplies, Ending

STATUSES = ("000", "0", "099", "600", "999", "1000", "+200", "0200", "2_00", "abc", "")
IDS = "X-Request-Id: request-2\r\nX-Stage: book\r\nX-Attempt: 1\r\n"
CALL = StageCall("request-2", "book", 1, "team", b"body", timeout_s=2.0)


@pytest.fixture
def server() -> Iterator[CutReplies]:
    server = CutReplies()
    server.ending = Ending.CLOSE
    yield server
    server.stop()


@pytest.mark.parametrize("status", STATUSES)
class TestStatusesThatAreNone:
    """Guards against bytes that are no answer and count as one, or as a refusal."""

    def test_call_counts_as_lost(self, server: CutReplies, status: str) -> None:
        head = f"HTTP/1.1 {status} OK\r\n{IDS}Content-Length: 4\r\n\r\n"
        server.reply = f"{head}body".encode()
        url = f"http://{server.address}"
        endpoint = Endpoint(
            "e-1", url, EndpointKind.SERVICE, "pool", "region", "zone", 1
        )
        outcome = HttpEndpointClient(SystemClock()).call(endpoint, CALL)
        assert isinstance(outcome, Lost)

    def test_outcome_of_a_transaction_is_undecided(
        self, server: CutReplies, status: str
    ) -> None:
        body = '{"type": "Committed", "revision": 4}'
        head = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n\r\n"
        server.reply = f"{head}{body}".encode()
        table = HttpTableService(f"http://{server.address}")
        assert isinstance(table.transact([], [Write("k", b"v")]), Undecided)
        assert isinstance(table.read_prefix("k"), Unavailable)
