"""Soak clients that reuse connections and report responses to the checker."""

from __future__ import annotations

from itertools import count
from random import Random

import gevent
import urllib3
from fleet import EVENTS_PER_STREAM, SoakFleet, make_plain_body
from guarantees import RequestKind, Response

from sapphirehoist.adapter.tests.standins import caller_headers, event

_REQUEST_DEADLINE_S = 4.0
# Longer than the deadline, so that a missing response shows up as a timeout.
_CALLER_TIMEOUT_S = 8.0
_REQUEST_INTERVAL_S = 0.02
_BLOCK_BYTES = 4_096


class Callers:
    """Sends requests one after another on persistent connections.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet that receives the requests, and whose checker records the responses.
    random : Random
        Chooses kinds of request and nodes.

    Attributes
    ----------
    is_stopped : bool
        Whether `run` returns after its current request.
    """

    __slots__ = ("_fleet", "_random", "_request_numbers", "is_stopped")

    def __init__(self, fleet: SoakFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._request_numbers = count(1)
        self.is_stopped = False

    def run(self) -> None:
        """Send requests until `is_stopped` is set."""
        pool = urllib3.PoolManager(retries=False, timeout=_CALLER_TIMEOUT_S, maxsize=1)
        while not self.is_stopped:
            kind = self._random.choice(list(RequestKind))
            daemon = self._random.choice(self._fleet.daemons)
            self._fleet.checker.record_response(
                self.send_request(pool, daemon.caller_address, kind)
            )
            gevent.sleep(_REQUEST_INTERVAL_S)

    def send_request(
        self, pool: urllib3.PoolManager, address: str, kind: RequestKind
    ) -> Response:
        """Send one request to a node; return the part of the response that arrived."""
        request_id = f"{kind.value}-{next(self._request_numbers)}"
        is_stream = kind in (RequestKind.ASK, RequestKind.PLAN)
        expected = make_plain_body(request_id)
        if is_stream:
            expected = b"".join(
                event(n + 1, request_id) for n in range(EVENTS_PER_STREAM)
            )
        self._fleet.checker.expect_body(request_id, expected)
        status, body, is_complete = 0, b"", False
        try:
            resp = pool.request(
                "POST" if kind is not RequestKind.READ else "GET",
                f"http://{address}/{kind.value}/x",
                headers=caller_headers(request_id, _REQUEST_DEADLINE_S),
                preload_content=False,
            )
            status = resp.status
            while block := resp.read1(_BLOCK_BYTES):
                body += block
            is_complete = True
            resp.release_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            # A lost connection guarantees nothing; the part that arrived is checked.
            is_complete = False
        return Response(request_id, kind, status, body, is_complete)
