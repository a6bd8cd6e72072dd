"""Processes of the last landed build serve beside processes of the current one.

Each test guards against a message, row or digest that one of the builds misreads.
"""

from __future__ import annotations

import json
import os
import subprocess
from collections.abc import Iterator
from itertools import count
from pathlib import Path
from typing import Any

import gevent
import pytest
import urllib3
from gevent.lock import Semaphore

from sapphirehoist.adapter.settings import SETTINGS_VARIABLE
from sapphirehoist.adapter.tests.standins import (
    PIECES,
    STAGES,
    EndpointStandIn,
    ListenPorts,
    ResponseHandler,
    StoreStandIn,
    caller_headers,
    compute_pieces,
    config,
    event,
    respond,
    route,
    settings_text,
    stream,
    with_headers,
)
from sapphirehoist.decisions import rendezvous_score
from sapphirehoist.http1 import CallerRequest, Exchange
from sapphirehoist.testing import ManagedProcess, wait_until

OLD_COMMIT = "b281c84"
ROOT = Path(__file__).parents[1]
OLD, NEW = "old", "new"
EVENT_COUNT = 5
LIMITED = "e-limited"
DEADLINE_S = 4.0
WAIT_S = 20.0
# Runs the gateway without paths to the addresses in CUT_ADDRESSES.
CUT_MODULE = """
import os
from sapphirehoist.adapter import main as program
from sapphirehoist.http1 import NotSent, TcpConnector

cut = os.environ["CUT_ADDRESSES"].split(",")
connect = TcpConnector.connect
TcpConnector.connect = lambda self, address: (
    NotSent(f"{address}: cut") if address in cut else connect(self, address)
)
raise SystemExit(program.main())
"""
ROUTES = (
    route("read", "idempotent", "plain"),
    route("book", "non_idempotent", "plain", maxAttempts=1),
    route("ask", "streaming", "model", streamResume=True),
    route("plan", "streaming", "model", streamResume=True, stages=STAGES),
)
_ids = count(1)
_pool = urllib3.PoolManager(retries=False, timeout=DEADLINE_S + 1, maxsize=40)


@pytest.fixture(scope="module")
def old_libraries(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Yield the module path of the last landed build."""
    folder = tmp_path_factory.mktemp("builds") / OLD_COMMIT

    def git(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            ["git", *arguments], cwd=ROOT, capture_output=True, text=True
        )

    if git("cat-file", "-e", f"{OLD_COMMIT}^{{commit}}").returncode:
        pytest.fail(
            f"this clone lacks commit {OLD_COMMIT}, which runs beside the current"
            " build; fetch the whole history (git fetch --unshallow)"
        )
    added = git("worktree", "add", "--detach", str(folder), OLD_COMMIT)
    assert added.returncode == 0, added.stderr
    paths = [*sorted((folder / "libs").iterdir()), folder / "platform"]
    yield os.pathsep.join(map(str, paths))
    git("worktree", "remove", "--force", str(folder))


class Gateway:
    """One VM, whose process may be of either build."""

    def __init__(self, number: int, folder: Path, store: str) -> None:
        self.name = f"vm-{number}"
        self.ip = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{number}"
        self.ports = ListenPorts.reserve()
        self.log = folder / f"{self.name}.log"
        self.build = ""
        self.process: ManagedProcess | None = None
        self._folder = folder
        self._store = store

    @property
    def control(self) -> str:
        return f"{self.ip}:{self.ports.control}"

    def start(
        self, build: str, old_libraries: str, seeds: list[str], cut: str = ""
    ) -> None:
        self.build = build
        path = self._folder / f"{self.name}.toml"
        text = settings_text(self.name, self.ip, self.ports, self._store, seeds)
        # The old build ignores fields that it does not know.
        path.write_text(f"{text}[limits]\nmemoryMb = 160\n")
        (self._folder / "cut_gateway.py").write_text(CUT_MODULE)
        libraries = old_libraries if build == OLD else ""
        environment = {
            SETTINGS_VARIABLE: str(path),
            "PYTHONPATH": os.pathsep.join(filter(None, [libraries, str(self._folder)])),
            "CUT_ADDRESSES": cut,
        }
        module = "cut_gateway" if cut else "sapphirehoist.adapter.main"
        self.process = ManagedProcess(module, [], self.log, environment)

    def stop(self) -> int | None:
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(10.0)

    def is_ready(self) -> bool:
        url = f"http://{self.ip}:{self.ports.ready}/readiness"
        try:
            return _pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def resolve(self) -> set[str]:
        url = f"http://{self.ip}:{self.ports.directory}/resolve"
        response = _pool.request("GET", f"{url}?region=region-a&zone=zone-a")
        return set(response.json()["addresses"]) if response.status == 200 else set()

    def log_lines(self, message: str) -> list[dict[str, Any]]:
        texts = (t for t in self.log.read_text().splitlines() if message in t)
        lines = [json.loads(text[text.index("{") :]) for text in texts]
        return [line for line in lines if line.get("message") == message]

    def send(self, kind: str) -> urllib3.BaseHTTPResponse:
        headers = caller_headers(f"{kind}-{next(_ids)}", DEADLINE_S)
        url = f"http://{self.ip}:{self.ports.front}/{kind}/x"
        return _pool.request("POST", url, headers=headers)

    def is_served(self, kind: str) -> bool:
        """Send a request; return whether it got its whole, right answer."""
        try:
            response = self.send(kind)
        except urllib3.exceptions.HTTPError:
            return False
        if kind in ("ask", "plan"):
            expected = b"".join(event(n) for n in range(1, EVENT_COUNT + 1))
            return response.data == expected
        return response.status == 200


class MixedFleet:
    """VMs of both builds, with a store and endpoints in the test's process."""

    def __init__(self, folder: Path, old_libraries: str) -> None:
        self.old_libraries = old_libraries
        self.store = StoreStandIn()
        self.store.put("op", "config", config(1, *ROUTES))
        self.endpoints: list[EndpointStandIn] = []
        for number in range(2):
            self.add_endpoint(f"e-{number}", "plain", respond)
            self.add_endpoint(f"m-{number}", "model", stream(EVENT_COUNT, pause_s=0.01))
        for number in range(4):
            self.add_endpoint(f"s-{number}", "encode", compute_pieces)
            self.add_endpoint(f"r-{number}", "rank", compute_pieces)
        self.gateways = [Gateway(n, folder, self.store.address) for n in range(1, 5)]

    def add_endpoint(
        self, name: str, service: str, handler: ResponseHandler, version: str = "v1"
    ) -> EndpointStandIn:
        endpoint = EndpointStandIn(
            name, service, self.store, handler, software_version=version
        ).start()
        self.endpoints.append(endpoint)
        return endpoint

    def of_build(self, build: str) -> list[Gateway]:
        return [g for g in self.gateways if g.build == build]

    def start(self, gateway: Gateway, build: str, cut: str = "") -> None:
        seeds = [g.control for g in self.gateways if g is not gateway][:2]
        gateway.start(build, self.old_libraries, seeds, cut)

    def start_all(self, *builds: str) -> None:
        self.gateways = self.gateways[: len(builds)]
        for gateway, build in zip(self.gateways, builds, strict=True):
            self.start(gateway, build)
        self.wait_until_serving()

    def wait_until_serving(self) -> None:
        """Wait until each VM is ready, and each is known to all."""
        addresses = {f"{g.ip}:{g.ports.front}" for g in self.gateways}
        for gateway in self.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} ready", WAIT_S)
            wait_until(
                lambda g=gateway: addresses <= g.resolve(),  # type: ignore[misc]
                f"all known to {gateway.name}",
                WAIT_S,
            )

    def close(self) -> None:
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()


@pytest.fixture
def fleet(tmp_path: Path, old_libraries: str) -> Iterator[MixedFleet]:
    mixed_fleet = MixedFleet(tmp_path, old_libraries)
    yield mixed_fleet
    mixed_fleet.close()


def test_old_processes_run_the_old_build(fleet: MixedFleet, old_libraries: str) -> None:
    """A module path that has no effect would compare the build with itself."""
    code = "import sapphirehoist.gateway.dispatch as m; print(m.__file__)"
    environment = os.environ | {"PYTHONPATH": old_libraries}
    python = ROOT / ".venv" / "bin" / "python"
    shown = subprocess.run(
        [python, "-c", code], env=environment, capture_output=True, text=True
    )
    assert OLD_COMMIT in shown.stdout, shown.stderr


def test_requests_streams_and_stage_calls_at_both_builds(fleet: MixedFleet) -> None:
    fleet.start_all(OLD, NEW, OLD, NEW)
    for gateway in fleet.gateways * 3:
        for kind in ("read", "book", "ask", "plan"):
            assert gateway.is_served(kind), (gateway.name, gateway.build, kind)
    # Each endpoint has one owner, so plans at all VMs need owners of the other build.
    # Many at once are spread over all endpoints.
    plans = [gevent.spawn(g.is_served, "plan") for g in fleet.gateways * 8]
    assert all(plan.get() for plan in plans)
    for build in (OLD, NEW):
        assert any(g.log_lines("stage call") for g in fleet.of_build(build)), build
    for gateway in fleet.gateways:
        assert not gateway.log_lines("background task failed; restarting it")
        assert not gateway.log_lines("endpoint owner did not return usable results")


@pytest.mark.parametrize("first", [OLD, NEW])
def test_limit_that_one_build_learns_holds_at_the_other(
    fleet: MixedFleet, first: str
) -> None:
    fleet.start_all(OLD, NEW, OLD, NEW)
    for endpoint in fleet.endpoints[:4:2]:
        endpoint.update_entry(state="draining")
    handler = with_headers(respond, ("Server-Limit", "0.2"))
    limited = fleet.add_endpoint(LIMITED, "plain", handler)
    learning = fleet.of_build(first)[0]
    wait_until(lambda: learning.is_served("read") and limited.requests, "its reply")
    for gateway in fleet.gateways:
        if gateway is not learning:
            wait_until(
                lambda g=gateway: (
                    [  # type: ignore[misc]
                        line["source"] for line in g.log_lines("endpoint limit changed")
                    ]
                    == ["a peer"]
                ),
                f"the limit at {gateway.name} ({gateway.build})",
                WAIT_S,
            )


@pytest.mark.parametrize(("cut_off", "helper"), [(OLD, NEW), (NEW, OLD)])
def test_tunnel_through_a_vm_of_the_other_build(
    fleet: MixedFleet, cut_off: str, helper: str
) -> None:
    fleet.gateways = fleet.gateways[:2]
    addresses = ",".join(e.entry["address"] for e in fleet.endpoints)
    fleet.start(fleet.gateways[0], cut_off, addresses)
    fleet.start(fleet.gateways[1], helper)
    fleet.wait_until_serving()
    gateway = fleet.gateways[0]
    for kind in ("read", "ask"):
        wait_until(lambda k=kind: gateway.is_served(k), kind, WAIT_S)  # type: ignore[misc]
    assert all(gateway.is_served("book") for _ in range(5))


@pytest.mark.parametrize(("before", "after"), [(OLD, NEW), (NEW, OLD)])
def test_rolling_update_loses_no_request(
    fleet: MixedFleet, before: str, after: str
) -> None:
    fleet.start_all(before, before, before)
    running = list(fleet.gateways)
    failures: list[str] = []
    served = count()

    def call(kind: str) -> None:
        while running:
            # A caller tries another VM if one refuses it, as those of the site do.
            candidates = list(running)
            if any(gateway.is_served(kind) for gateway in candidates):
                next(served)
            else:
                failures.append(f"{kind} at {[g.name for g in candidates]}")
            gevent.sleep(0.05)

    callers = [gevent.spawn(call, kind) for kind in ("read", "book", "ask", "plan")]
    for gateway in fleet.gateways:
        stop = gevent.spawn(gateway.stop)
        gevent.sleep(1.0)  # callers use an address for the time that it is valid
        running.remove(gateway)
        assert stop.get() == 0
        fleet.start(gateway, after)
        wait_until(gateway.is_ready, f"{gateway.name} ready", WAIT_S)
        running.append(gateway)
    fleet.wait_until_serving()
    gevent.sleep(0.5)
    running.clear()
    gevent.joinall(callers)
    assert not failures
    assert next(served) > 100
    for gateway in fleet.gateways:
        assert not gateway.log_lines("background task failed; restarting it")


class SlowPieces:
    """Computes the pieces of one call at a time, each call in `call_s`."""

    def __init__(self, call_s: float) -> None:
        self._call_s = call_s
        self._turn = Semaphore()

    def __call__(
        self, endpoint: EndpointStandIn, request: CallerRequest, ex: Exchange
    ) -> None:
        if request.head.path == "/stage-run":
            with self._turn:
                gevent.sleep(self._call_s)
        compute_pieces(endpoint, request, ex)


class SlowStageFleet:
    """Two VMs, and a slow stage endpoint that the second one calls for both."""

    call_s = 0.3
    piece_count = PIECES["batch"]
    deadline_s = 9.0

    def __init__(self, fleet: MixedFleet, requester: str, owner: str) -> None:
        pool = {"name": "slow", "pieces": PIECES | {"callMs": self.call_s * 1000}}
        stages = [{"service": "slow", "after": [], "sizeBytes": 1000}]
        timeout_ms = int(self.deadline_s * 1000)
        sketch = route(
            "sketch", "streaming", "model", timeoutMs=timeout_ms, stages=stages
        )
        configuration = config(1, *ROUTES, sketch)
        configuration["services"].append(pool)
        fleet.store.put("op", "config", configuration)
        fleet.start_all(requester, owner)
        self._fleet = fleet
        self.requester, self.owner = fleet.gateways
        name = next(
            f"slow-{n}"
            for n in range(20)
            if rendezvous_score(f"slow-{n}", self.owner.name)
            > rendezvous_score(f"slow-{n}", self.requester.name)
        )
        self.endpoint = fleet.add_endpoint(name, "slow", SlowPieces(self.call_s))
        # Until both VMs know the endpoint, the first one calls it.
        wait_until(
            lambda: self.ask("first") == 200 and self.owner.log_lines("stage call"),
            "a call by the owner",
            WAIT_S,
        )

    def ask(self, name: str) -> int:
        """Send a request to the first VM; return the status, 0 without an answer."""
        headers = caller_headers(f"{name}-{next(_ids)}", self.deadline_s)
        headers["X-Pieces"] = str(self.piece_count)
        url = f"http://{self.requester.ip}:{self.requester.ports.front}/sketch/x"
        try:
            response = _pool.request(
                "POST", url, headers=headers, timeout=self.deadline_s + 1
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return response.status

    def ask_many(self, name: str, request_count: int) -> list[gevent.Greenlet]:
        return [gevent.spawn(self.ask, name) for _ in range(request_count)]

    def restart(self, gateway: Gateway) -> None:
        """Kill a process and start it again."""
        assert gateway.process is not None
        gateway.process.kill()
        self._fleet.start(gateway, gateway.build)
        self._fleet.wait_until_serving()

    def model_requests(self) -> list[CallerRequest]:
        models = [e for e in self._fleet.endpoints if e.service == "model"]
        return [request for model in models for request in model.requests]


@pytest.mark.parametrize(("requester", "owner"), [(NEW, NEW), (NEW, OLD), (OLD, NEW)])
def test_restarted_process_gets_no_results_of_its_earlier_requests(
    fleet: MixedFleet, requester: str, owner: str
) -> None:
    """Guards against results that the owner of a stage endpoint computes for a process
    that was killed, and that its successor takes for those of its own requests.
    """
    slow = SlowStageFleet(fleet, requester, owner)
    before = slow.ask_many("before", 16)
    gevent.sleep(2 * slow.call_s)
    slow.restart(slow.requester)
    after = slow.ask_many("after", 16)
    gevent.joinall([*before, *after])
    address = slow.endpoint.entry["address"]
    for request in slow.model_requests():
        request_id = request.head.headers.get("X-Request-Id")
        expected = [f"{address}/{request_id}-0-{n}" for n in range(slow.piece_count)]
        assert request.head.headers.get("X-Inputs").split(",") == expected
    assert any(call.get() == 200 for call in after)


@pytest.mark.parametrize("owner", [NEW, OLD])
def test_pieces_of_a_restarted_owner_are_scheduled_again(
    fleet: MixedFleet, owner: str
) -> None:
    """Guards against requests that wait until their deadline for a process that was
    killed and is back before it is declared dead.
    """
    slow = SlowStageFleet(fleet, NEW, owner)
    calls = slow.ask_many("before", 6)
    gevent.sleep(2 * slow.call_s)
    slow.restart(slow.owner)
    gevent.joinall(calls)
    assert [call.get() for call in calls] == [200] * 6


def read_stream(gateway: Gateway, received: bytes = b"", first_id: str = "") -> bytes:
    """Begin a stream or take it up after `received`; return all events so far."""
    headers = caller_headers(f"ask-{next(_ids)}", DEADLINE_S)
    if received:
        last_id = str(received.count(b"id:"))
        headers |= {"Resumes": first_id, "Last-Event-Id": last_id}
    else:
        headers["X-Request-Id"] = first_id
    url = f"http://{gateway.ip}:{gateway.ports.front}/ask/x"
    response = _pool.request("POST", url, headers=headers, preload_content=False)
    try:
        for block in response.stream(256):
            received += block if response.status == 200 else b""
    except urllib3.exceptions.HTTPError:
        pass
    finally:
        response.close()
    return received


def versions_of(received: bytes) -> set[bytes]:
    return {
        line.removeprefix(b"data: ").partition(b"-")[0]
        for line in received.split(b"\n")
        if line.startswith(b"data:")
    }


@pytest.mark.parametrize("others", [NEW, OLD])
def test_suspended_process_continues_no_stream_at_another_version(
    fleet: MixedFleet, others: str
) -> None:
    """Guards against streams that go on at another software version at a VM that stood
    still while engines of the version that began them joined.
    """
    fleet.start_all(NEW, others, others)
    suspended, other = fleet.gateways[:2]
    assert suspended.process is not None
    suspended.process.suspend()
    models = [e for e in fleet.endpoints if e.service == "model"]
    for number in range(3):
        models.append(fleet.add_endpoint(f"n-{number}", "model", respond, "v2"))
    for model in models:
        model.default_handler = stream(
            EVENT_COUNT, reset_after=2, text=model.software_version
        )
    streams: dict[str, bytes] = {}

    def has_both_versions() -> bool:
        first_id = f"stream-{next(_ids)}"
        streams[first_id] = read_stream(other, first_id=first_id)
        return all(
            sum(versions_of(received) == {version} for received in streams.values()) > 3
            for version in (b"v1", b"v2")
        )

    wait_until(has_both_versions, "streams of both versions", WAIT_S)
    for model in models:
        model.default_handler = stream(EVENT_COUNT, text=model.software_version)
    suspended.process.resume()
    takers = {
        first_id: gevent.spawn(read_stream, suspended, received, first_id)
        for first_id, received in streams.items()
        if received
    }
    results = [taker.get() for taker in takers.values()]
    assert all(len(versions_of(received)) == 1 for received in results)
    assert any(received.count(b"id:") == EVENT_COUNT for received in results)
