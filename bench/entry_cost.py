"""What one entry process costs: tokens, requests and added latency."""

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

TOKEN = "token-of-the-bench"
TOKENS_PER_S = 3_500
REQUESTS_PER_S = 15
_TOKEN_GAP_S = 0.03
_TOKENS_EACH = 230
_SECONDS = 8.0
_WARM_S = 3.0
_ENGINES = 4
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Costs of one entry process.

    Attributes
    ----------
    token_rate, token_cores : float
        Tokens that callers received each second, and cores that the entry used.
    request_rate, request_cores : float
        Whole requests each second, and cores that the entry used.
    added_p50_ms, added_p99_ms : float
        Latency through the entry less that of a straight call, at that load.
    idle_cores, idle_mb : float
        Cores and resident memory without load.
    """

    token_rate: float
    token_cores: float
    request_rate: float
    request_cores: float
    added_p50_ms: float
    added_p99_ms: float
    idle_cores: float
    idle_mb: float


def measure_entry_cost() -> EntryCost:
    """Run one daemon under the load of one node at the target's size."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            return _measure(deployment)
        finally:
            deployment.close()


def measure_token_cores(rates: Sequence[int]) -> list[tuple[float, float]]:
    """Return tokens each second and cores of one entry process, for each rate."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            daemon = _start(deployment)
            return [_measure_tokens(daemon, rate) for rate in rates]
        finally:
            deployment.close()


def _measure(deployment: Deployment) -> EntryCost:
    daemon = _start(deployment)
    idle_cores = _cores(daemon, lambda: gevent.sleep(3))
    idle_mb = _resident_mb(daemon)
    token_rate, token_cores = _measure_tokens(daemon, TOKENS_PER_S)
    direct = _latencies(deployment.endpoints["encoder"].url + "/v1/stages/encode", {})
    through: list[float] = []

    def run_requests() -> None:
        through.extend(_latencies(daemon.caller_url + "/v1/requests", _headers()))

    request_cores = _cores(daemon, run_requests)
    return EntryCost(
        token_rate,
        token_cores,
        len(through) / _SECONDS,
        request_cores,
        1000 * (_quantile(through, 0.5) - _quantile(direct, 0.5)),
        1000 * (_quantile(through, 0.99) - _quantile(direct, 0.99)),
        idle_cores,
        idle_mb,
    )


def _start(deployment: Deployment) -> Daemon:
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
                token_s=_TOKEN_GAP_S,
                idempotent_calls=["generate"],
            )
            for n in range(_ENGINES)
        ]
        + [
            EndpointSpec(
                "encoder", "encode", "vest", base_s=0.002, idempotent_calls=["encode"]
            )
        ]
    )
    daemon = deployment.start_daemon("entry-1", "vest")
    deployment.wait_serving()
    deployment.apply(_configuration(deployment))
    return daemon


def _measure_tokens(daemon: Daemon, wanted: int) -> tuple[float, float]:
    """Return tokens each second and cores used, with streams for `wanted` tokens/s."""
    counter = _Counter()
    streams = int(wanted * _TOKEN_GAP_S) + 1
    for number in range(streams):
        gevent.spawn(_stream_again, daemon, counter, number / streams * 2)
    gevent.sleep(_WARM_S + 2)
    started, tokens = time.monotonic(), counter.tokens
    cores = _cores(daemon, lambda: gevent.sleep(_SECONDS))
    rate = (counter.tokens - tokens) / (time.monotonic() - started)
    counter.is_over = True
    gevent.sleep(1)
    return rate, cores


class _Counter:
    def __init__(self) -> None:
        self.tokens = 0
        self.is_over = False


def _stream_again(daemon: Daemon, counter: _Counter, delay_s: float) -> None:
    """Run one stream after another until the measurement is over."""
    gevent.sleep(delay_s)
    pool = urllib3.PoolManager(retries=False)
    text = f"tokens={_TOKENS_EACH}"
    body = json.dumps({"class": "long", "input": text}).encode()
    headers = {**_headers(), "Accept": "text/event-stream"}
    while not counter.is_over:
        url = daemon.caller_url + "/v1/requests"
        resp = pool.request(
            "POST", url, body=body, headers=headers, preload_content=False
        )
        if resp.status != 200:
            gevent.sleep(0.2)
            continue
        while block := resp.read1(65_536):
            counter.tokens += block.count(b"\nid: ") + block.startswith(b"id: ")
            if counter.is_over:
                resp.close()
                return
        resp.release_conn()


def _latencies(url: str, headers: dict[str, str]) -> list[float]:
    """Return latencies of open-loop requests at the target's rate of one node."""
    pool = urllib3.PoolManager(retries=False, maxsize=32)
    latencies: list[float] = []
    body = json.dumps({"class": "short", "input": "x" * 200}).encode()

    def call() -> None:
        started = time.monotonic()
        sent = {"X-Request-Id": "r", "X-Attempt": "1", **headers}
        resp = pool.request("POST", url, body=body, headers=sent)
        assert resp.status == 200, resp.data
        latencies.append(time.monotonic() - started)

    tasks = []
    for _ in range(int(REQUESTS_PER_S * _SECONDS)):
        tasks.append(gevent.spawn(call))
        gevent.sleep(1 / REQUESTS_PER_S)
    gevent.joinall(tasks)
    return latencies


def _cores(daemon: Daemon, act: Callable[[], object]) -> float:
    """Return the cores that the daemon used while `act` ran."""
    busy, started = _busy_s(daemon), time.monotonic()
    act()
    return (_busy_s(daemon) - busy) / (time.monotonic() - started)


def _busy_s(daemon: Daemon) -> float:
    text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(daemon: Daemon) -> float:
    text = Path(f"/proc/{daemon.process.pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _quantile(values: list[float], part: float) -> float:
    return sorted(values)[int(part * (len(values) - 1))]


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {TOKEN}"}


def _configuration(deployment: Deployment) -> list[ConfigObject]:
    return [
        Team("bench", sha256(TOKEN.encode()).hexdigest()),
        Pipeline("long", [Stage("generate", "assistant", streams=True)]),
        Pipeline("short", [Stage("encode", "encode")]),
        ClassOfWork("long", "long", 30_000),
        ClassOfWork("short", "short", 2_000),
        *deployment.endpoints.values(),
    ]
