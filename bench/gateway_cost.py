"""What a gateway process costs: events of streams, and whole requests."""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import gevent
import urllib3

from sapphirehoist.adapter.tests.standins import (
    FleetStandIn,
    config,
    respond,
    route,
    stream,
)
from sapphirehoist.testing import ManagedProcess, free_port, wait_until

_ENGINES = 4
_STREAMS = 60
_EVENTS_EACH = 60
_EVENT_GAP_S = 0.03
_READERS = 20
_READ_GAP_S = 0.05
_WARM_S = 3.0
_SECONDS = 8.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_READ = route("read", "idempotent", "plain")
_ASK = route("ask", "streaming", "model", streamResume=True)


@dataclass(frozen=True, slots=True)
class GatewayCost:
    """Costs of one gateway process.

    Attributes
    ----------
    event_rate, event_cores : float
        Events that callers received each second, and cores that the process used.
    request_rate, request_cores : float
        The same for whole requests.
    idle_cores, idle_mb : float
        Cores and resident memory before any load.
    """

    event_rate: float
    event_cores: float
    request_rate: float
    request_cores: float
    idle_cores: float
    idle_mb: float

    def lines(self) -> list[str]:
        """Return the report."""
        return [
            f"streams: {self.event_rate:.0f} events/s, {self.event_cores:.2f} cores, "
            f"{self.event_rate / self.event_cores:.0f} events/s a core",
            f"requests: {self.request_rate:.0f}/s, {self.request_cores:.2f} cores, "
            f"{self.request_rate / self.request_cores:.0f} requests/s a core",
            f"idle: {self.idle_cores:.3f} cores, {self.idle_mb:.0f} MB",
        ]


def measure_gateway_cost() -> GatewayCost:
    """Run one gateway before stand-ins in this process."""
    fleet = FleetStandIn()
    fleet.store.put("op", "config", config(1, _READ, _ASK))
    for number in range(_ENGINES):
        answer = stream(_EVENTS_EACH, pause_s=_EVENT_GAP_S)
        fleet.endpoint(f"engine-{number}", "model", answer)
        fleet.endpoint(f"plain-{number}", "plain", respond)
    with tempfile.TemporaryDirectory() as folder:
        gateway = _Gateway(Path(folder), fleet.store.address)
        try:
            return _measure(gateway)
        finally:
            gateway.process.kill()
            fleet.stop()


class _Gateway:
    """The real program on a settings file."""

    def __init__(self, folder: Path, store_address: str) -> None:
        front, ready, directory = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = folder / "settings.toml"
        settings.write_text(
            f"""
nodeName = "vm-1"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internalPorts = [{free_port()}, {free_port()}]
listen = {{ front = "{front}", ready = "{ready}", directory = "{directory}" }}
platform = {{ address = "{store_address}" }}
"""
        )
        self.url = f"http://{front}"
        self.process = ManagedProcess(
            "sapphirehoist.adapter.main",
            [],
            folder / "log",
            {"SAPPHIREHOIST_SETTINGS": str(settings)},
        )
        pool = urllib3.PoolManager(retries=False, timeout=1.0)

        def is_ready() -> bool:
            try:
                status = pool.request("GET", f"http://{ready}/readiness").status
            except urllib3.exceptions.HTTPError:
                return False
            return status == 200

        wait_until(is_ready, "gateway is ready", describe=(folder / "log").read_text)

    def cores(self, run: Callable[[], None]) -> float:
        """Return the cores that the process used during `run`."""
        started, before = time.monotonic(), self._cpu_s()
        run()
        return (self._cpu_s() - before) / (time.monotonic() - started)

    def resident_mb(self) -> float:
        """Return the process's resident memory."""
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / _TICKS_PER_S


class _Load:
    """Callers that repeat one request until the measurement is over."""

    def __init__(self, url: str, callers: int, pause_s: float) -> None:
        self.answers = 0
        self.events = 0
        self._url = url
        self._pause_s = pause_s
        self._is_over = False
        self._ids = count(1)
        for number in range(callers):
            gevent.spawn_later(number / callers * 2, self._call_again)

    def stop(self) -> None:
        """Let every caller end after its present request."""
        self._is_over = True

    def _call_again(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self._is_over:
            headers = {
                "Host": "h.example",
                "X-Request-Id": f"bench-{self._url[-4:]}-{next(self._ids)}",
                "X-Deadline-Ms": "8000",
                "Authorization": "Bearer key-a",
            }
            answer = pool.request(
                "GET", self._url, headers=headers, preload_content=False
            )
            while block := answer.read1(65_536):
                self.events += block.count(b"\n\n")
            self.answers += answer.status == 200
            answer.release_conn()
            gevent.sleep(self._pause_s)


def _measure(gateway: _Gateway) -> GatewayCost:
    gevent.sleep(_WARM_S)
    idle_cores = gateway.cores(lambda: gevent.sleep(3))
    idle_mb = gateway.resident_mb()
    streams = _Load(f"{gateway.url}/ask/x", _STREAMS, 0.0)
    event_rate, event_cores = _rate(gateway, lambda: streams.events)
    streams.stop()
    gevent.sleep(_EVENTS_EACH * _EVENT_GAP_S + 1)
    reads = _Load(f"{gateway.url}/read/x", _READERS, _READ_GAP_S)
    request_rate, request_cores = _rate(gateway, lambda: reads.answers)
    reads.stop()
    return GatewayCost(
        event_rate, event_cores, request_rate, request_cores, idle_cores, idle_mb
    )


def _rate(gateway: _Gateway, counted: Callable[[], int]) -> tuple[float, float]:
    """Return how fast `counted` grows each second, and the cores used."""
    gevent.sleep(_WARM_S)
    started, before = time.monotonic(), counted()
    cores = gateway.cores(lambda: gevent.sleep(_SECONDS))
    return (counted() - before) / (time.monotonic() - started), cores
