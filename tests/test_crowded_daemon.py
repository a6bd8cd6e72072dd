"""A daemon in crowds of clients that do not behave.

The crowds, the settings and the bounds are fixed; no check depends on how fast the
machine is.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from crowd import HTTP_CLIENTS, PEER_CLIENTS, TLS_CLIENTS, Crowd
from crowded_processes import CrowdedProcess, is_answered, limited_descriptors
from fleets import STUDIO_TOKEN, start_fleet
from test_daemon import make_certificate

from sapphirehoist.testing import Deployment, wait_until
from sapphirehoist.testing.deployment import OPERATOR_TOKEN

# The daemon's settings name no memory; this is that of a small VM.
MAX_MEMORY_BYTES = 160_000_000
# A daemon that holds this much more than when it started is replaced.
MAX_GROWTH_BYTES = 16_000_000
CONNECTIONS = 600
BODY_BYTES = 1_048_576
VM = "entry-1"
CALLERS, OPERATORS = "callers", "operators"
# Interface and path.
TARGETS = {
    "request": (CALLERS, "/v1/requests"),
    "no-route": (CALLERS, "/v1/nowhere"),
    "entries": (CALLERS, "/v1/entries"),
    "health": (OPERATORS, "/healthz"),
    "change": (OPERATORS, "/v1/config/changes"),
}
TLS_KINDS = (*TLS_CLIENTS, "silent", "unfinished-head", "body-in-one-piece")


class Daemon:
    """A daemon with its deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self._memory_bytes = self._crowded().memory_bytes

    def _crowded(self) -> CrowdedProcess:
        return CrowdedProcess(self.deployment.daemons[VM].process, MAX_MEMORY_BYTES)

    def url(self, interface: str) -> str:
        daemon = self.deployment.daemons[VM]
        return daemon.caller_url if interface == CALLERS else daemon.operator_url

    def address(self, interface: str) -> str:
        return self.url(interface).rpartition("/")[2]

    def serves_ordinary_requests(self) -> bool:
        body = json.dumps({"class": "quick", "input": "x" * 1_000}).encode()
        return is_answered(
            "POST",
            f"{self.url(CALLERS)}/v1/requests",
            lambda: {"Authorization": f"Bearer {STUDIO_TOKEN}"},
            body,
        ) and is_answered("GET", f"{self.url(OPERATORS)}/healthz")

    def start_again_if_grown(self) -> None:
        """Replace the process if a crowd before has left it ended or large."""
        process = self.deployment.daemons[VM].process
        is_running = process.is_running()
        limit_bytes = self._memory_bytes + MAX_GROWTH_BYTES
        if is_running and self._crowded().memory_bytes <= limit_bytes:
            return
        if is_running:
            process.kill()
        with limited_descriptors():
            self.deployment.restart_daemon(VM)
        wait_until(self.serves_ordinary_requests, "the daemon serves", 40.0)

    def check(self, crowd: Crowd, folder: Path) -> None:
        process = self._crowded()
        process.forget_peak()
        process.check(crowd, folder, self.serves_ordinary_requests)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Daemon]:
    deployment = Deployment(tmp_path_factory.mktemp("daemon"))
    try:
        deployment.start_platform()
        with limited_descriptors():
            start_fleet(deployment, daemons=1)
        yield Daemon(deployment)
    finally:
        deployment.close()


@pytest.fixture
def daemon(fleet: Daemon) -> Daemon:
    fleet.start_again_if_grown()
    wait_until(fleet.serves_ordinary_requests, "the daemon serves")
    return fleet


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("kind", HTTP_CLIENTS)
def test_crowd_of_callers(
    daemon: Daemon, tmp_path: Path, kind: str, target: str
) -> None:
    interface, path = TARGETS[target]
    token = STUDIO_TOKEN if interface == CALLERS else OPERATOR_TOKEN
    headers = {"Host": "h.example", "Authorization": f"Bearer {token}"}
    address = daemon.address(interface)
    daemon.check(Crowd(kind, address, path, headers, CONNECTIONS, BODY_BYTES), tmp_path)


@pytest.mark.parametrize("kind", PEER_CLIENTS)
def test_crowd_at_the_peer_address(daemon: Daemon, tmp_path: Path, kind: str) -> None:
    port = daemon.deployment.daemons[VM].peer_port
    daemon.check(Crowd(kind, f"127.0.0.1:{port}", connections=CONNECTIONS), tmp_path)


@pytest.mark.parametrize("kind", TLS_KINDS)
def test_crowd_at_a_tls_listener(
    deployment: Deployment, tmp_path: Path, kind: str
) -> None:
    certificate, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    make_certificate(certificate, key)

    def use_tls(settings: dict[str, Any]) -> None:
        settings["tls"] = {"certificate": str(certificate), "key": str(key)}

    with limited_descriptors():
        started = deployment.start_daemon(VM, "vest", use_tls)
    pool = urllib3.PoolManager(
        retries=False,
        timeout=5.0,
        maxsize=1,
        ca_certs=str(certificate),
        assert_hostname=False,
    )
    url = started.operator_url.replace("http:", "https:")

    def is_healthy() -> bool:
        return is_answered("GET", f"{url}/healthz", pool=pool)

    wait_until(is_healthy, "the TLS listener responds")
    address = url.rpartition("/")[2]
    is_tls = kind not in TLS_CLIENTS
    crowd = Crowd(kind, address, "/healthz", {}, CONNECTIONS, BODY_BYTES, is_tls)
    process = CrowdedProcess(started.process, MAX_MEMORY_BYTES)
    process.check(crowd, tmp_path, is_healthy)


class TestLargestRequestsInCalm:
    """Single requests at the edge of the limits, without a crowd."""

    @pytest.mark.parametrize("chunk_bytes", [0, 65_536, 64])
    def test_largest_body_is_served(self, daemon: Daemon, chunk_bytes: int) -> None:
        fields = {"class": "quick", "input": ""}
        fields["input"] = "x" * (BODY_BYTES - len(json.dumps(fields)))
        body = json.dumps(fields).encode()
        assert len(body) == BODY_BYTES
        blocks = (
            body[start : start + chunk_bytes]
            for start in range(0, len(body), chunk_bytes or len(body))
        )
        response = urllib3.request(
            "POST",
            f"{daemon.url(CALLERS)}/v1/requests",
            body=blocks if chunk_bytes else body,
            headers={"Authorization": f"Bearer {STUDIO_TOKEN}"},
            timeout=20.0,
            retries=False,
        )
        assert response.status == 200, response.data

    def test_larger_body_is_refused(self, daemon: Daemon) -> None:
        response = urllib3.request(
            "POST",
            f"{daemon.url(CALLERS)}/v1/requests",
            body=b"x" * (BODY_BYTES + 1),
            headers={"Authorization": f"Bearer {STUDIO_TOKEN}"},
            timeout=20.0,
            retries=False,
        )
        assert response.status in (400, 413)
