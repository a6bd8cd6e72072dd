"""Processor time, memory and added latency of one daemon."""

from __future__ import annotations

import json
import os
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path

import gevent
import urllib3

from sapphirehoist.configuration import (
    ClassOfWork,
    ConfigObject,
    EndpointKind,
    Pipeline,
    Stage,
    Team,
)
from sapphirehoist.testing import Daemon, Deployment, EndpointSpec

AUTH_TOKEN = "token-of-the-bench"
TARGET_TOKENS_PER_S = 3_500
TARGET_REQUESTS_PER_S = 15
_TOKEN_INTERVAL_S = 0.03
_TOKENS_PER_STREAM = 230
_MEASUREMENT_S = 8.0
_WARM_UP_S = 3.0
_ENGINE_COUNT = 4
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Resource usage and added latency of one daemon.

    Attributes
    ----------
    tokens_per_s, token_cores : float
        Tokens that callers received per second, and processor cores used.
    requests_per_s, request_cores : float
        Unstreamed requests per second, and processor cores used.
    added_p50_ms, added_p99_ms : float
        Latency through the daemon minus that of a direct call to the endpoint at the
        same load, for the 50th and 99th percentiles in milliseconds.
    idle_cores, idle_mb : float
        Processor cores and resident memory in MB without load.
    """

    tokens_per_s: float
    token_cores: float
    requests_per_s: float
    request_cores: float
    added_p50_ms: float
    added_p99_ms: float
    idle_cores: float
    idle_mb: float


def measure_entry_cost() -> EntryCost:
    """Measure one daemon under the load of one node at the target fleet size."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            return _measure_with_deployment(deployment)
        finally:
            deployment.close()


def measure_token_cores(rates: Sequence[int]) -> list[tuple[float, float]]:
    """Return tokens per second and cores of one daemon, for each rate."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            daemon = _start_daemon(deployment)
            return [_measure_tokens(daemon, rate) for rate in rates]
        finally:
            deployment.close()


def _measure_with_deployment(deployment: Deployment) -> EntryCost:
    daemon = _start_daemon(deployment)
    idle_cores = _measure_cores(daemon, lambda: gevent.sleep(3))
    idle_mb = _resident_mb(daemon)
    tokens_per_s, token_cores = _measure_tokens(daemon, TARGET_TOKENS_PER_S)
    direct_latencies_s = _measure_latencies_s(
        deployment.endpoints["encoder"].url + "/v1/stages/encode", {}
    )
    entry_latencies_s: list[float] = []

    def run_requests() -> None:
        entry_latencies_s.extend(
            _measure_latencies_s(daemon.caller_url + "/v1/requests", _headers())
        )

    request_cores = _measure_cores(daemon, run_requests)
    return EntryCost(
        tokens_per_s,
        token_cores,
        len(entry_latencies_s) / _MEASUREMENT_S,
        request_cores,
        1000 * (_quantile(entry_latencies_s, 0.5) - _quantile(direct_latencies_s, 0.5)),
        1000
        * (_quantile(entry_latencies_s, 0.99) - _quantile(direct_latencies_s, 0.99)),
        idle_cores,
        idle_mb,
    )


def _start_daemon(deployment: Deployment) -> Daemon:
    deployment.start_platform()
    engine = EndpointKind.ENGINE
    deployment.start_endpoints(
        [
            EndpointSpec(
                f"engine-{n}",
                "assistant",
                "vest",
                engine,
                capacity=64,
                base_s=0.002,
                token_s=_TOKEN_INTERVAL_S,
                idempotent_calls=["generate"],
            )
            for n in range(_ENGINE_COUNT)
        ]
        + [
            EndpointSpec(
                "encoder", "encode", "vest", base_s=0.002, idempotent_calls=["encode"]
            )
        ]
    )
    daemon = deployment.start_daemon("entry-1", "vest")
    deployment.wait_serving()
    deployment.commit_config(_make_configuration(deployment))
    return daemon


def _measure_tokens(daemon: Daemon, target_tokens_per_s: int) -> tuple[float, float]:
    """Return tokens per second and cores with streams for `target_tokens_per_s`."""
    counter = _TokenCounter()
    stream_count = int(target_tokens_per_s * _TOKEN_INTERVAL_S) + 1
    for number in range(stream_count):
        gevent.spawn(_stream_repeatedly, daemon, counter, number / stream_count * 2)
    gevent.sleep(_WARM_UP_S + 2)
    started_at, tokens_before = time.monotonic(), counter.tokens
    cores = _measure_cores(daemon, lambda: gevent.sleep(_MEASUREMENT_S))
    tokens_per_s = (counter.tokens - tokens_before) / (time.monotonic() - started_at)
    counter.is_stopped = True
    gevent.sleep(1)
    return tokens_per_s, cores


class _TokenCounter:
    def __init__(self) -> None:
        self.tokens = 0
        self.is_stopped = False


def _stream_repeatedly(daemon: Daemon, counter: _TokenCounter, delay_s: float) -> None:
    """Run one stream after another until the measurement ends."""
    gevent.sleep(delay_s)
    pool = urllib3.PoolManager(retries=False)
    text = f"tokens={_TOKENS_PER_STREAM}"
    body = json.dumps({"class": "long", "input": text}).encode()
    headers = {**_headers(), "Accept": "text/event-stream"}
    while not counter.is_stopped:
        url = daemon.caller_url + "/v1/requests"
        resp = pool.request(
            "POST", url, body=body, headers=headers, preload_content=False
        )
        if resp.status != 200:
            gevent.sleep(0.2)
            continue
        while block := resp.read1(65_536):
            counter.tokens += block.count(b"\nid: ") + block.startswith(b"id: ")
            if counter.is_stopped:
                resp.close()
                return
        resp.release_conn()


def _measure_latencies_s(url: str, headers: dict[str, str]) -> list[float]:
    """Return latencies in seconds of open-loop requests at the target rate."""
    pool = urllib3.PoolManager(retries=False, maxsize=32)
    latencies_s: list[float] = []
    body = json.dumps({"class": "short", "input": "x" * 200}).encode()

    def call() -> None:
        started_at = time.monotonic()
        request_headers = {"X-Request-Id": "r", "X-Attempt": "1", **headers}
        resp = pool.request("POST", url, body=body, headers=request_headers)
        assert resp.status == 200, resp.data
        latencies_s.append(time.monotonic() - started_at)

    tasks = []
    for _ in range(int(TARGET_REQUESTS_PER_S * _MEASUREMENT_S)):
        tasks.append(gevent.spawn(call))
        gevent.sleep(1 / TARGET_REQUESTS_PER_S)
    gevent.joinall(tasks)
    return latencies_s


def _measure_cores(daemon: Daemon, action: Callable[[], object]) -> float:
    """Return the mean number of cores that the daemon uses during `action`."""
    cpu_before_s, started_at = _cpu_s(daemon), time.monotonic()
    action()
    return (_cpu_s(daemon) - cpu_before_s) / (time.monotonic() - started_at)


def _cpu_s(daemon: Daemon) -> float:
    text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _resident_mb(daemon: Daemon) -> float:
    text = Path(f"/proc/{daemon.process.pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(fraction * (len(values) - 1))]


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {AUTH_TOKEN}"}


def _make_configuration(deployment: Deployment) -> list[ConfigObject]:
    return [
        Team("bench", sha256(AUTH_TOKEN.encode()).hexdigest()),
        Pipeline("long", [Stage("generate", "assistant", streams=True)]),
        Pipeline("short", [Stage("encode", "encode")]),
        ClassOfWork("long", "long", 30_000),
        ClassOfWork("short", "short", 2_000),
        *deployment.endpoints.values(),
    ]
