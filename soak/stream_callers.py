"""Callers that read event streams and check them, and take broken streams up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from typing import Any

import gevent
import urllib3
from fleet import Daemon
from stream_checker import StreamChecker
from stream_engine import EVENT_COUNT

from sapphirehoist.adapter.tests.standins import (
    caller_gap_limit_s,
    caller_headers,
)

_MIN_DEADLINE_S, _MAX_DEADLINE_S = 3.0, 8.0
_MAX_RESPONSES = 4
_LEAVING_SHARE = 0.1
_SHARED_PART_COUNT = 8


class StreamCallers:
    """Sends requests for streams, one after another for each caller.

    Parameters
    ----------
    daemons : sequence of Daemon
        Nodes that receive the requests.
    get_routes : callable
        Returns the configured routes.
    random : Random
        Chooses routes, nodes, deadlines and when a caller leaves.

    Attributes
    ----------
    outcomes : Counter of str
        Number of streams and responses by how they ended.
    violations : list of str
        One message for each wrong stream, beginning with the id of its request.
    is_stopped : bool
        Whether `run` returns after its current stream.
    """

    __slots__ = (
        "_daemons",
        "_get_routes",
        "_random",
        "_stream_numbers",
        "is_stopped",
        "outcomes",
        "violations",
    )

    def __init__(
        self,
        daemons: Sequence[Daemon],
        get_routes: Callable[[], list[dict[str, Any]]],
        random: Random,
    ) -> None:
        self._daemons = daemons
        self._get_routes = get_routes
        self._random = random
        self._stream_numbers = count(1)
        self.outcomes: Counter[str] = Counter()
        self.violations: list[str] = []
        self.is_stopped = False

    def run(self) -> None:
        """Play streams on one connection until `is_stopped` is set."""
        pool = urllib3.PoolManager(num_pools=1, retries=False)
        while not self.is_stopped:
            chosen = self._random.choice(self._get_routes())
            daemon = self._random.choice(self._daemons)
            self.outcomes[self.play_stream(pool, chosen, daemon)] += 1
            gevent.sleep(self._random.uniform(0.0, 0.2))

    def play_stream(
        self, pool: urllib3.PoolManager, route_row: dict[str, Any], daemon: Daemon
    ) -> str:
        """Send a stream's request and take the stream up; return how it ended."""
        number = next(self._stream_numbers)
        stream = f"s-{number}"
        checker = StreamChecker(stream, EVENT_COUNT)
        first_id = ""
        for response_number in range(_MAX_RESPONSES):
            request_id = f"{stream}.{response_number}"
            headers = self._make_headers(request_id, number)
            if checker.last_id:
                headers |= {"Last-Event-Id": str(checker.last_id), "Resumes": first_id}
            else:
                first_id = request_id
            url = f"http://{daemon.caller_address}{route_row['prefix']}{stream}"
            self._receive(pool, url, headers, caller_gap_limit_s(route_row), checker)
            if checker.violation:
                self.violations.append(
                    f"{request_id} {route_row['name']}: {checker.violation}"
                )
                return "wrong"
            if checker.is_whole:
                return "whole"
            if checker.last_id and not route_row["streamResume"]:
                return "broken"
            gevent.sleep(self._random.uniform(0.0, 0.3))
            daemon = self._random.choice(self._daemons)
        return "broken"

    def _make_headers(self, request_id: str, number: int) -> dict[str, str]:
        deadline_s = self._random.uniform(_MIN_DEADLINE_S, _MAX_DEADLINE_S)
        parts = f"{number % _SHARED_PART_COUNT:08x}:400,{number + 2**16:08x}:200"
        return caller_headers(request_id, deadline_s) | {
            "X-Token-Count": "600,20",
            "X-Prompt-Prefix": parts,
        }

    def _receive(
        self,
        pool: urllib3.PoolManager,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
        checker: StreamChecker,
    ) -> None:
        """Send one request and check its response, which is left early at times."""
        leaves_after = EVENT_COUNT + 1
        if self._random.random() < _LEAVING_SHARE:
            leaves_after = self._random.randint(1, EVENT_COUNT)
        try:
            response = pool.request(
                "POST", url, headers=headers, preload_content=False, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError:
            self.outcomes["no response"] += 1
            return
        self.outcomes[f"status {response.status}"] += 1
        if response.status != 200:
            response.drain_conn()
            return
        is_complete = False
        try:
            for block in response.stream(65_536):
                checker.feed(block)
                if checker.last_id >= leaves_after:
                    break
            else:
                is_complete = True
        except urllib3.exceptions.HTTPError:
            self.outcomes["cut off"] += 1
        finally:
            if not is_complete:
                response.close()
        checker.end(is_complete)
