"""A gateway process in crowds of clients that do not behave.

The crowds, the settings and the bounds are fixed; no check depends on how fast the
machine is.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest
import urllib3
from crowd import HTTP_CLIENTS, PEER_CLIENTS, Crowd
from crowded_processes import (
    PLAY_S,
    CrowdedProcess,
    is_answered,
    limited_descriptors,
)
from gevent import sleep, socket

from sapphirehoist.adapter.settings import SETTINGS_VARIABLE
from sapphirehoist.adapter.tests.standins import (
    EndpointStandIn,
    ListenPorts,
    ResponseHandler,
    StoreStandIn,
    caller_headers,
    config,
    respond,
    route,
    sealed_head,
    settings_text,
)
from sapphirehoist.http1 import CallerRequest, Exchange
from sapphirehoist.testing import ManagedProcess, wait_until

# Memory of the VM; all that the process holds has to fit.
MEMORY_MB = 100
CONNECTIONS = 600
LONG_PLAY_S = 6.0
METRICS_PORT = 9464
DEADLINE_S = 20.0
LARGE_ANSWER_BYTES = 4_000_000
SLOW_ANSWER_S = 5.0
TIMES = {"timeoutMs": 20_000, "maxAttempts": 1}
ROUTES = (
    route("read", "idempotent", "plain", **TIMES),
    route("slow", "idempotent", "slow", **TIMES),
    route("large", "idempotent", "large", **TIMES),
)
# Kinds for which a route's answer matters; the others ask for a plain one.
ROUTED_PATHS = {
    "many-fields": "/slow/x",
    "answers-unread": "/large/x",
    "answers-read-slowly": "/large/x",
}
RESOLVE_PATH = "/resolve?name=h.example&region=region-a&zone=zone-a"
FRONT, READY, DIRECTORY, METRICS = "front", "ready", "directory", "metrics"
# Address and path; None for the path of a route.
TARGETS: dict[str, tuple[str, str | None]] = {
    "route": (FRONT, None),
    "no-route": (FRONT, "/nowhere/x"),
    "front-readiness": (FRONT, "/readiness"),
    "ready": (READY, "/readiness"),
    "directory": (DIRECTORY, RESOLVE_PATH),
    "metrics": (METRICS, "/metrics"),
}
_ids = count(1)
_hosts = count(1)


def respond_late(ep: EndpointStandIn, request: CallerRequest, ex: Exchange) -> None:
    sleep(SLOW_ANSWER_S)
    respond(ep, request, ex)


def respond_large(ep: EndpointStandIn, request: CallerRequest, ex: Exchange) -> None:
    ex.respond(sealed_head(ep, request), b"x" * LARGE_ANSWER_BYTES)


HANDLERS: dict[str, ResponseHandler] = {
    "plain": respond,
    "slow": respond_late,
    "large": respond_large,
}


class Gateway:
    """A gateway process with stand-ins for its store and its endpoints."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandIn()
        services = [{"name": name} for name in HANDLERS]
        self.store.put("op", "config", config(1, *ROUTES, services=services))
        self.endpoints = [
            EndpointStandIn(f"{service}-{number}", service, self.store, handler).start()
            for service, handler in HANDLERS.items()
            for number in range(2)
        ]
        pid, number = os.getpid(), next(_hosts)
        self.ip = f"127.{1 + pid % 250}.{pid // 250 % 250}.{number}"
        self.ports = ListenPorts.reserve()
        path = folder / "gateway.toml"
        text = settings_text("vm-1", self.ip, self.ports, self.store.address)
        path.write_text(f"{text}[limits]\nmemoryMb = {MEMORY_MB}\n")
        with limited_descriptors():
            self.process = ManagedProcess(
                "sapphirehoist.adapter.main",
                [],
                folder / "gateway.log",
                {SETTINGS_VARIABLE: str(path)},
            )

    def address(self, interface: str) -> str:
        ports = {
            FRONT: self.ports.front,
            READY: self.ports.ready,
            DIRECTORY: self.ports.directory,
            "control": self.ports.control,
            METRICS: METRICS_PORT,
        }
        return f"{self.ip}:{ports[interface]}"

    def serves_ordinary_requests(self) -> bool:
        """Return whether one ordinary request at each address is answered."""
        return (
            is_answered(
                "POST",
                f"http://{self.address(FRONT)}/read/x",
                lambda: caller_headers(f"ordinary-{next(_ids)}", DEADLINE_S),
                b"x" * 1_000,
            )
            and is_answered("GET", f"http://{self.address(READY)}/readiness")
            and is_answered("GET", f"http://{self.address(DIRECTORY)}{RESOLVE_PATH}")
            and is_answered("GET", f"http://{self.address(METRICS)}/metrics")
        )

    def close(self) -> None:
        self.process.kill()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[Gateway]:
    started = Gateway(tmp_path)
    try:
        wait_until(started.serves_ordinary_requests, "the gateway serves")
        yield started
    finally:
        started.close()


def check_crowd(
    gateway: Gateway, crowd: Crowd, folder: Path, play_s: float = PLAY_S
) -> None:
    process = CrowdedProcess(gateway.process, MEMORY_MB * 1_000_000)
    process.check(crowd, folder, gateway.serves_ordinary_requests, play_s)


def crowd_of_callers(gateway: Gateway, kind: str, target: str) -> Crowd:
    interface, path = TARGETS[target]
    headers = caller_headers("", DEADLINE_S)
    del headers["X-Request-Id"]
    return Crowd(
        kind,
        gateway.address(interface),
        path or ROUTED_PATHS.get(kind, "/read/x"),
        headers,
        CONNECTIONS,
    )


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("kind", HTTP_CLIENTS)
def test_crowd_of_callers(
    gateway: Gateway, tmp_path: Path, kind: str, target: str
) -> None:
    check_crowd(gateway, crowd_of_callers(gateway, kind, target), tmp_path)


@pytest.mark.parametrize(
    "kind",
    [
        "body-in-one-piece",
        "body-in-tiny-chunks",
        "many-fields",
        "silent",
        "answers-unread",
        "answers-read-slowly",
    ],
)
def test_memory_does_not_grow_while_a_crowd_stays(
    gateway: Gateway, tmp_path: Path, kind: str
) -> None:
    """Connections that were closed for others used to wait on, and kept their bytes."""
    crowd = crowd_of_callers(gateway, kind, "route")
    check_crowd(gateway, crowd, tmp_path, LONG_PLAY_S)


@pytest.mark.parametrize("kind", PEER_CLIENTS)
def test_crowd_at_the_control_address(
    gateway: Gateway, tmp_path: Path, kind: str
) -> None:
    crowd = Crowd(kind, gateway.address("control"), connections=CONNECTIONS)
    check_crowd(gateway, crowd, tmp_path)


class TestLargestRequestsInCalm:
    """Single requests at the edge of the limits, each at a process without a crowd."""

    @pytest.mark.parametrize("chunk_bytes", [0, 65_536, 256, 64])
    @pytest.mark.parametrize("path", ["/read/x", "/large/x"])
    def test_largest_body_is_served(
        self, gateway: Gateway, path: str, chunk_bytes: int
    ) -> None:
        body = os.urandom(4_194_304)
        headers = caller_headers(f"largest-{next(_ids)}", DEADLINE_S)
        url = f"http://{gateway.address(FRONT)}{path}"
        with urllib3.PoolManager(retries=False, timeout=DEADLINE_S) as pool:
            if chunk_bytes:
                blocks = (
                    body[start : start + chunk_bytes]
                    for start in range(0, len(body), chunk_bytes)
                )
                response = pool.request("POST", url, body=blocks, headers=headers)
            else:
                response = pool.request("POST", url, body=body, headers=headers)
        assert response.status == 200, response.data
        service = path.strip("/").split("/")[0].replace("read", "plain")
        received = [r for e in gateway.endpoints for r in e.requests]
        bodies = [r.body for r in received if r.body]
        assert service in {e.service for e in gateway.endpoints if e.requests}
        assert bodies[-1] == body

    def test_full_head_of_short_fields_is_served(self, gateway: Gateway) -> None:
        headers = caller_headers(f"fields-{next(_ids)}", DEADLINE_S)
        headers |= {f"{number:x}": "" for number in range(0x800)}
        url = f"http://{gateway.address(FRONT)}/read/x"
        with urllib3.PoolManager(retries=False, timeout=DEADLINE_S) as pool:
            response = pool.request("GET", url, headers=headers)
        assert response.status == 200, response.data

    def test_requests_sent_ahead_are_served(self, gateway: Gateway) -> None:
        crowd = Crowd("", "", "/read/x", caller_headers("", DEADLINE_S))
        host, _, port = gateway.address(FRONT).rpartition(":")
        with socket.create_connection((host, int(port)), DEADLINE_S) as sock:
            del crowd.headers["X-Request-Id"]
            sock.sendall(b"".join(crowd.head("GET") + b"\r\n" for _ in range(8)))
            data = b""
            while data.count(b"HTTP/1.1 200") < 8:
                block = sock.recv(65_536)
                assert block, data
                data += block
