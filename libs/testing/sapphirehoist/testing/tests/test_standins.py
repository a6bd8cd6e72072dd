"""The stand-ins follow the contracts of the platform, engines and services."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
from bottle import Bottle

from sapphirehoist.standins.engine import EngineStandIn
from sapphirehoist.standins.platform import PlatformStandIn
from sapphirehoist.standins.server import serve
from sapphirehoist.storage import (
    Committed,
    Condition,
    Conflict,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    Rows,
    Unavailable,
    Undecided,
    VmState,
    VmStates,
    Write,
)
from sapphirehoist.testing import post_control, wait_until


class AppServers:
    """Serves applications on free ports."""

    def __init__(self) -> None:
        self._servers: list[Any] = []

    def start(self, app: Bottle) -> str:
        server = serve(app, 0)
        self._servers.append(server)
        return f"http://127.0.0.1:{server.server_port}"

    def close(self) -> None:
        for server in self._servers:
            server.stop(timeout=0)


@pytest.fixture
def app_servers() -> Iterator[AppServers]:
    servers = AppServers()
    yield servers
    servers.close()


def send_request(method: str, url: str, **body: object) -> tuple[int, Any]:
    data = json.dumps(body).encode() if body else None
    resp = urllib3.request(method, url, body=data, headers={"X-Request-Id": "r"})
    return resp.status, json.loads(resp.data)


def get_keys(rows: Rows | Unavailable) -> list[str]:
    assert isinstance(rows, Rows), rows
    return [row.key for row in rows.rows]


def test_transactions_are_atomic(app_servers: AppServers) -> None:
    url = app_servers.start(PlatformStandIn().app)
    table = HttpTableService(url)
    both = [Write("a", b"1"), Write("b", b"1")]
    assert table.transact([Condition("a", 0)], both) == Committed(1)
    conflict = table.transact([Condition("a", 0)], [Write("c", b"1")])
    assert isinstance(conflict, Conflict)
    assert get_keys(table.read_prefix("")) == ["a", "b"]
    post_control(url, lose_answers=1)
    assert isinstance(table.transact([], [Write("c", b"1")]), Undecided)
    assert get_keys(table.read(["c"])) == ["c"]
    post_control(url, down=True)
    assert isinstance(table.transact([], [Write("d", b"1")]), Unavailable)
    assert isinstance(table.read(["c"]), Unavailable)
    post_control(url, down=False, slow_s=3.0)
    assert isinstance(HttpTableService(url, 0.2).transact([], []), Undecided)


def test_objects_and_vms(app_servers: AppServers) -> None:
    url = app_servers.start(PlatformStandIn().app)
    objects = HttpObjectStore(url)
    assert objects.get("a/b") is None
    assert isinstance(objects.put("a/b", b"1"), Committed)
    assert objects.get("a/b") == b"1"
    assert objects.delete("a/b")
    assert objects.get("a/b") is None
    post_control(url, vms=[{"vm": "x", "is_leaving": True, "incarnation": 3}])
    published = VmStates([VmState("x", True, 3)])
    assert HttpVmList(url).read_vms() == published
    post_control(url, vms_lag_s=0.3, vms=[])
    assert HttpVmList(url).read_vms() == published
    wait_until(
        lambda: HttpVmList(url).read_vms() == VmStates([]),
        "the delayed VM list is published",
    )


@pytest.mark.parametrize("checks", [True, False])
def test_model_assignments_with_and_without_fencing(
    app_servers: AppServers, checks: bool
) -> None:
    engine = EngineStandIn(1, 0.0, 0.0, True, checks_fencing=checks)
    url = app_servers.start(engine.app) + "/v1/orders"
    assert send_request("POST", url, fencing=2, models=["a"])[0] == 200
    status, state = send_request("POST", url, fencing=1, models=["b"])
    assert (status, state["models"]) == ((409, ["a"]) if checks else (200, ["b"]))
    assert send_request("GET", url)[1] == state


def test_cache_events_are_delayed_and_have_gaps(app_servers: AppServers) -> None:
    url = app_servers.start(EngineStandIn(1, 0.0, 0.0, True).app)
    post_control(url, events_lag_s=0.2, events_gap=3)
    for number in range(4):
        for _ in range(2):
            text = f"prompt {number}"
            urllib3.request(
                "POST",
                url + "/v1/stages/generate",
                body=text.encode(),
                headers={"X-Request-Id": text, "X-Attempt": "1"},
            )

    def read_event_numbers() -> list[int]:
        events = send_request("GET", url + "/v1/cache-events?after=0")[1]
        return [event["number"] for event in events]

    wait_until(
        lambda: read_event_numbers() == [1, 2, 4],
        "all events but the third are published",
    )
    assert send_request("GET", url + "/v1/cache-events?after=2")[1][0]["number"] == 4
