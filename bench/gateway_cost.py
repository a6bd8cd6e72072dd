"""Processor time and memory of one gateway process, for streams and requests."""

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
    ListenPorts,
    LocalFleet,
    config,
    respond,
    route,
    settings_text,
    stream,
)
from sapphirehoist.testing import ManagedProcess, wait_until

_ENDPOINTS_PER_SERVICE = 4
_STREAM_CALLER_COUNT = 60
_EVENTS_PER_STREAM = 60
_EVENT_INTERVAL_S = 0.03
_READ_CALLER_COUNT = 20
_READ_PAUSE_S = 0.05
_WARM_UP_S = 3.0
_MEASUREMENT_S = 8.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_READ_ROUTE = route("read", "idempotent", "plain")
_ASK_ROUTE = route("ask", "streaming", "model", streamResume=True)


@dataclass(frozen=True, slots=True)
class GatewayCost:
    """Resource usage of one gateway process.

    Attributes
    ----------
    events_per_s, event_cores : float
        Stream events that callers received per second, and processor cores used.
    requests_per_s, request_cores : float
        Unstreamed requests per second, and processor cores used.
    idle_cores, idle_mb : float
        Processor cores and resident memory in MB before any load.
    """

    events_per_s: float
    event_cores: float
    requests_per_s: float
    request_cores: float
    idle_cores: float
    idle_mb: float

    def report_lines(self) -> list[str]:
        """Return the lines of a printable report."""
        return [
            f"streams: {self.events_per_s:.0f} events/s, {self.event_cores:.2f} cores, "
            f"{self.events_per_s / self.event_cores:.0f} events/s per core",
            f"requests: {self.requests_per_s:.0f}/s, {self.request_cores:.2f} cores, "
            f"{self.requests_per_s / self.request_cores:.0f} requests/s per core",
            f"idle: {self.idle_cores:.3f} cores, {self.idle_mb:.0f} MB",
        ]


def measure_gateway_cost() -> GatewayCost:
    """Measure one gateway process with stand-in endpoints in this process."""
    fleet = LocalFleet()
    fleet.store.put("op", "config", config(1, _READ_ROUTE, _ASK_ROUTE))
    for number in range(_ENDPOINTS_PER_SERVICE):
        stream_response = stream(_EVENTS_PER_STREAM, pause_s=_EVENT_INTERVAL_S)
        fleet.start_endpoint(f"engine-{number}", "model", stream_response)
        fleet.start_endpoint(f"plain-{number}", "plain", respond)
    with tempfile.TemporaryDirectory() as folder:
        gateway = _GatewayProcess(Path(folder), fleet.store.address)
        try:
            return _measure_gateway(gateway)
        finally:
            gateway.process.kill()
            fleet.stop()


class _GatewayProcess:
    """A gateway in a child process, started with a settings file."""

    def __init__(self, folder: Path, store_address: str) -> None:
        ports = ListenPorts.reserve()
        settings = folder / "settings.toml"
        settings.write_text(settings_text("vm-1", "127.0.0.1", ports, store_address))
        self.url = f"http://127.0.0.1:{ports.front}"
        self.process = ManagedProcess(
            "sapphirehoist.adapter.main",
            [],
            folder / "log",
            {"SAPPHIREHOIST_SETTINGS": str(settings)},
        )
        pool = urllib3.PoolManager(retries=False, timeout=1.0)

        def is_ready() -> bool:
            try:
                status = pool.request(
                    "GET", f"http://127.0.0.1:{ports.ready}/readiness"
                ).status
            except urllib3.exceptions.HTTPError:
                return False
            return status == 200

        wait_until(
            is_ready, "gateway is ready", describe_failure=(folder / "log").read_text
        )

    def measure_cores(self, action: Callable[[], None]) -> float:
        """Return the mean number of cores that the process uses during `action`."""
        started_at, cpu_before_s = time.monotonic(), self._cpu_s()
        action()
        return (self._cpu_s() - cpu_before_s) / (time.monotonic() - started_at)

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


class _LoadGenerator:
    """Callers that repeat one request until they are stopped."""

    def __init__(self, url: str, caller_count: int, pause_s: float) -> None:
        self.success_count = 0
        self.event_count = 0
        self._url = url
        self._pause_s = pause_s
        self._is_stopped = False
        self._ids = count(1)
        for number in range(caller_count):
            gevent.spawn_later(number / caller_count * 2, self._call_repeatedly)

    def stop(self) -> None:
        """Stop every caller after its current request."""
        self._is_stopped = True

    def _call_repeatedly(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self._is_stopped:
            headers = {
                "Host": "h.example",
                "X-Request-Id": f"bench-{self._url[-4:]}-{next(self._ids)}",
                "X-Deadline-Ms": "8000",
                "Authorization": "Bearer key-a",
            }
            response = pool.request(
                "GET", self._url, headers=headers, preload_content=False
            )
            while block := response.read1(65_536):
                self.event_count += block.count(b"\n\n")
            self.success_count += response.status == 200
            response.release_conn()
            gevent.sleep(self._pause_s)


def _measure_gateway(gateway: _GatewayProcess) -> GatewayCost:
    gevent.sleep(_WARM_UP_S)
    idle_cores = gateway.measure_cores(lambda: gevent.sleep(3))
    idle_mb = gateway.resident_mb()
    streams = _LoadGenerator(f"{gateway.url}/ask/x", _STREAM_CALLER_COUNT, 0.0)
    events_per_s, event_cores = _measure_rate(gateway, lambda: streams.event_count)
    streams.stop()
    gevent.sleep(_EVENTS_PER_STREAM * _EVENT_INTERVAL_S + 1)
    reads = _LoadGenerator(f"{gateway.url}/read/x", _READ_CALLER_COUNT, _READ_PAUSE_S)
    requests_per_s, request_cores = _measure_rate(gateway, lambda: reads.success_count)
    reads.stop()
    return GatewayCost(
        events_per_s, event_cores, requests_per_s, request_cores, idle_cores, idle_mb
    )


def _measure_rate(
    gateway: _GatewayProcess, read_count: Callable[[], int]
) -> tuple[float, float]:
    """Return the growth of `read_count` per second, and the cores used."""
    gevent.sleep(_WARM_UP_S)
    started_at, count_before = time.monotonic(), read_count()
    cores = gateway.measure_cores(lambda: gevent.sleep(_MEASUREMENT_S))
    return (read_count() - count_before) / (time.monotonic() - started_at), cores
