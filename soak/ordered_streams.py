"""Soak of event streams: ``python soak/ordered_streams.py --seeds=1,2,3``.

It is designed for streams that reach their caller out of order, joined to something
else, or without their end. Many streams run at full engines, which fall silent 0.6 s
after a change of the configuration. The exit status is 1 if a stream was wrong; the
directory with the logs of a failed seed is kept.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402
from typing import Any  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import urllib3  # noqa: E402
from fleet import Daemon  # noqa: E402
from stream_callers import StreamCallers  # noqa: E402
from stream_engine import (  # noqa: E402
    SINGLE_RUN_PREFIX,
    SLOTS,
    EngineFault,
    StreamEngine,
)

from sapphirehoist.adapter.tests.standins import (  # noqa: E402
    PIECES,
    STAGES,
    EndpointStandIn,
    StoreStandIn,
    compute_pieces,
    config,
    generation_service,
    request_id_of,
    route,
    stream_times,
)

_MAX_CALLERS = 300
_MAX_SECONDS = 45.0
_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 8.0
_SIGNAL_HANDLER_SETUP_S = 2.0
_ENGINE_COUNT = 5
_logger = logging.getLogger("soak")


class OrderedStreamsSoak:
    """One seed: gateway processes, engines, callers, and an operator.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    nodes : int
        Number of gateway processes.
    faults : set of EngineFault
        Faults that engines show.
    folder : Path
        Directory for settings files and logs.
    """

    def __init__(
        self, seed: int, nodes: int, faults: set[EngineFault], folder: Path
    ) -> None:
        self._random = Random(seed)
        self._faults = faults
        self._folder = folder
        self._version = 0
        self._routes: list[dict[str, Any]] = []
        self._limits: dict[str, int] = {}
        self._store = StoreStandIn()
        self._add_route("ask", streamResume=True)
        self._add_route("wait", 1000, streamResume=True)
        self._add_route("plan", streamResume=True, stages=STAGES)
        self._add_route(SINGLE_RUN_PREFIX)
        self._add_route(f"{SINGLE_RUN_PREFIX}-staged", stages=STAGES)
        self._publish()
        self._engines = [
            StreamEngine(f"m-{n}", self._store, faults, seed)
            for n in range(_ENGINE_COUNT)
        ]
        self._stage_endpoints = [
            EndpointStandIn(
                f"{service}-{n}", service, self._store, compute_pieces
            ).start()
            for service in ("encode", "rank")
            for n in range(2)
        ]
        self._daemons = [Daemon(n, folder, self._store.address) for n in range(nodes)]
        for daemon in self._daemons:
            self._start(daemon)
        self.callers = StreamCallers(
            self._daemons, lambda: self._routes, Random(seed + 1)
        )

    def run(self, seconds: float, callers: int) -> list[str]:
        """Run all streams and faults for `seconds`; return what was violated."""
        pool = urllib3.PoolManager(retries=False)
        with gevent.Timeout(_START_TIMEOUT_S):
            for daemon in self._daemons:
                while (
                    self.callers.play_stream(pool, self._routes[0], daemon) != "whole"
                ):
                    gevent.sleep(0.1)
        tasks = [gevent.spawn(self.callers.run) for _ in range(callers)]
        operations: dict[Callable[[], None], float] = {
            self._change_config_and_fall_silent: 2.0,
            self._disturb_gateway: 4.0,
            self._slow_store_down: 3.0,
        }
        if EngineFault.RESTARTS in self._faults:
            operations[self._restart_engine] = 2.0
        tasks += [gevent.spawn(self._repeat, *item) for item in operations.items()]
        gevent.sleep(seconds)
        self.callers.is_stopped = True
        gevent.joinall(tasks, raise_error=True)
        violations = self.callers.violations + [
            f"{daemon.name} exited unexpectedly"
            for daemon in self._daemons
            if daemon.process is None or not daemon.process.is_running()
        ]
        continued = self._count_continued()
        self.callers.outcomes["continued by a gateway"] = continued
        if not continued:
            violations.append("no stream went on at another engine")
        return violations

    def _count_continued(self) -> int:
        """Return the number of requests that engines got with several positions."""
        positions: dict[str, set[str]] = {}
        for engine in self._engines:
            for request in engine.endpoint.requests:
                position = request.head.headers.get("Last-Event-Id")
                positions.setdefault(request_id_of(request), set()).add(position)
        return sum(len(found) > 1 for found in positions.values())

    def find_log_lines(self, violation: str) -> list[str]:
        """Return what the gateways logged about the requests of a wrong stream."""
        stream = violation.partition(".")[0]
        return [
            line
            for daemon in self._daemons
            for line in (self._folder / f"{daemon.name}.log").read_text().splitlines()
            if f'"request_id": "{stream}.' in line
        ]

    def close(self) -> None:
        """Kill every gateway process and close every listener."""
        for daemon in self._daemons:
            if daemon.process is not None:
                daemon.process.kill()
        for daemon in self._daemons:
            daemon.link.close()
        for endpoint in self._stage_endpoints:
            endpoint.stop()
        for engine in self._engines:
            engine.endpoint.stop()
        self._store.stop()

    def _start(self, daemon: Daemon) -> None:
        daemon.start([d.peer_address for d in self._daemons if d is not daemon][:2])

    def _repeat(self, operation: Callable[[], None], pause_s: float) -> None:
        while not self.callers.is_stopped:
            gevent.sleep(self._random.uniform(0.5, 1.5) * pause_s)
            operation()

    def _add_route(self, name: str, latency_ms: int = 400, **more: Any) -> None:
        times = stream_times(8000, 100, latency_ms)
        self._routes.append(route(name, "streaming", "model", **times, **more))

    def _publish(self) -> None:
        self._version += 2
        services = [
            generation_service("model", SLOTS),
            {"name": "encode", "pieces": PIECES},
            {"name": "rank", "pieces": PIECES},
        ]
        more = {"services": services, "limits": self._limits}
        configuration = config(self._version, *self._routes, **more)
        self._store.put("op", "config", configuration)

    def _change_config_and_fall_silent(self) -> None:
        change = self._random.choice(("idle", "timeout", "route"))
        if change == "idle":
            self._limits = {"idleTimeoutMs": self._random.randint(5_000, 15_000)}
        elif change == "timeout":
            changed = stream_times(
                self._random.choice((6000, 8000)),
                self._random.choice((100, 200, 400)),
            )
            self._routes = [old | changed for old in self._routes]
        else:
            self._add_route(f"ask-{self._version}", streamResume=True)
        self._publish()
        gevent.sleep(0.6)
        share = self._random.choice((0.6, 1.0))
        silent = self._random.sample(self._engines, round(share * _ENGINE_COUNT))
        duration_s = self._random.uniform(1.0, 1.3)
        _logger.info("%s changed; %d engines silent", change, len(silent))
        for engine in silent:
            engine.fall_silent(duration_s)

    def _disturb_gateway(self) -> None:
        daemon = self._random.choice(self._daemons)
        assert daemon.process is not None
        if self._random.random() < 0.5:
            _logger.info("SIGHUP %s", daemon.name)
            daemon.process.send_sighup()
            return
        _logger.info("SIGTERM %s", daemon.name)
        daemon.process.terminate()
        with gevent.Timeout(_STOP_TIMEOUT_S, False):
            while daemon.process.is_running():
                gevent.sleep(0.05)
        daemon.process.kill()
        self._start(daemon)
        gevent.sleep(_SIGNAL_HANDLER_SETUP_S)

    def _slow_store_down(self) -> None:
        link = self._random.choice(self._daemons).link
        link.delay_s = self._random.uniform(0.1, 0.5)
        gevent.sleep(self._random.uniform(1.0, 3.0))
        link.heal()

    def _restart_engine(self) -> None:
        self._random.choice(self._engines).restart()


def main(
    seeds: int | tuple[int, ...],
    seconds: float = 20,
    nodes: int = 3,
    callers: int = 200,
    faults: str = "all",
) -> None:
    """Run each seed and print the wrong streams.

    Parameters
    ----------
    seeds : comma-separated int
        Seeds to run.
    seconds : float
        Duration of each seed, without its start and its last streams.
    nodes, callers : int
        Number of gateway processes, and of callers with one stream at a time each.
    faults : str
        Faults of engines besides silence, joined by ``+``; "all" or "none".
    """
    assert callers <= _MAX_CALLERS and seconds <= _MAX_SECONDS
    logging.basicConfig(level=logging.INFO, format="%(relativeCreated)6d %(message)s")
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    names = [] if faults == "none" else faults.split("+")
    chosen = set(EngineFault) if faults == "all" else {EngineFault(n) for n in names}
    has_failed = False
    for seed in seeds if isinstance(seeds, tuple) else (seeds,):
        folder = Path(tempfile.mkdtemp(prefix=f"ordered-streams-{seed}-"))
        soak = OrderedStreamsSoak(seed, nodes, chosen, folder)
        try:
            violations = soak.run(seconds, callers)
        finally:
            soak.close()
        for violation in violations:
            print(f"seed {seed}: {violation}")
            for line in soak.find_log_lines(violation):
                print(f"  {line}")
        outcomes = dict(soak.callers.outcomes)
        print(f"seed {seed}: {len(violations)} violations; {outcomes}", flush=True)
        if violations:
            print(f"seed {seed}: logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
        has_failed |= bool(violations)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
