"""Starts a deployment on loopback: stand-ins and daemons as processes."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec
import urllib3
import zmq
from urllib3.exceptions import HTTPError

from sapphirehoist.configuration import ConfigObject, Endpoint, EndpointKind
from sapphirehoist.testing.control import post_control
from sapphirehoist.testing.ports import free_port
from sapphirehoist.testing.processes import ManagedProcess
from sapphirehoist.testing.wait import wait_until

OPERATOR_TOKEN = "operator-token-of-the-tests"
RESUME_SECRET = "resume-secret-of-the-tests-0123456789"
# Part of an exited daemon's log that a failed test prints.
_LOG_TAIL_CHARS = 2000


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """Specification of an endpoint to start.

    Attributes
    ----------
    name, pool, region : str
        Name, pool and region of the endpoint.
    kind : EndpointKind
        Kind of the stand-in that serves the endpoint.
    capacity, base_s, token_s : int, float, float
        Concurrent calls, time before the first token and time between tokens, in
        seconds, of an engine or pool; see `EngineStandIn`.
    idempotent_calls : list of str
        Stages whose calls may be retried.
    """

    name: str
    pool: str
    region: str
    kind: EndpointKind = EndpointKind.POOL
    capacity: int = 8
    base_s: float = 0.005
    token_s: float = 0.005
    idempotent_calls: list[str] = field(default_factory=list)

    def make_stand_in_spec(self, port: int) -> dict[str, Any]:
        """Return the stand-in's entry in the specification of its process."""
        if self.kind is EndpointKind.SERVICE:
            return {"kind": "service", "port": port}
        return {
            "kind": "engine",
            "port": port,
            "capacity": self.capacity,
            "base_s": self.base_s,
            "token_s": self.token_s,
            "generates": self.kind is EndpointKind.ENGINE,
        }

    def to_endpoint(self, port: int) -> Endpoint:
        """Return the configuration object of the endpoint."""
        return Endpoint(
            self.name,
            f"http://127.0.0.1:{port}",
            self.kind,
            self.pool,
            self.region,
            f"{self.region}-a",
            self.capacity,
            False,
            self.idempotent_calls,
        )


@dataclass(slots=True)
class Daemon:
    """A daemon that was started, with its addresses and settings file."""

    vm: str
    caller_url: str
    operator_url: str
    peer_port: int
    settings_path: Path
    process: ManagedProcess


class Deployment:
    """Stand-ins and daemons of one test, demo or benchmark.

    Parameters
    ----------
    folder : Path
        Directory for settings files and logs.

    Attributes
    ----------
    daemons : dict of str to Daemon
        Started daemons by VM.
    endpoints : dict of str to Endpoint
        Configuration objects of the started endpoints by name.
    stand_ins : dict of str to ManagedProcess
        Processes of stand-ins by name.
    platform_url : str
        Base URL of the platform stand-in.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.daemons: dict[str, Daemon] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.stand_ins: dict[str, ManagedProcess] = {}
        self._pool = urllib3.PoolManager(retries=False)
        self._curve_keys = [key.decode() for key in zmq.curve_keypair()]
        self._processes: list[ManagedProcess] = []
        self.platform_url = ""

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        port = free_port()
        self.platform_url = f"http://127.0.0.1:{port}"
        self._start_stand_in_process("platform", [{"kind": "platform", "port": port}])
        self._wait_listening(self.platform_url + "/counts")

    def start_endpoints(
        self, specs: Sequence[EndpointSpec], separate_processes: bool = True
    ) -> None:
        """Start endpoints, each in a separate process if `separate_processes`."""
        ports = {spec.name: free_port() for spec in specs}
        stand_in_specs = [spec.make_stand_in_spec(ports[spec.name]) for spec in specs]
        if separate_processes:
            for spec, stand_in_spec in zip(specs, stand_in_specs, strict=True):
                self._start_stand_in_process(spec.name, [stand_in_spec])
        else:
            self._start_stand_in_process("endpoints", stand_in_specs)
        for spec in specs:
            self.endpoints[spec.name] = spec.to_endpoint(ports[spec.name])
        for spec in specs:
            self._wait_listening(self.endpoints[spec.name].url + "/record")

    def start_daemon(
        self,
        vm: str,
        region: str,
        edit_settings: Callable[[dict[str, Any]], None] | None = None,
    ) -> Daemon:
        """Start a daemon; `edit_settings` may modify its settings in place first."""
        caller_port, operator_port, peer_port = free_port(), free_port(), free_port()
        settings = self._make_settings(
            vm, region, caller_port, operator_port, peer_port
        )
        if edit_settings is not None:
            edit_settings(settings)
        path = self.folder / f"{vm}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        daemon = Daemon(
            vm,
            f"http://127.0.0.1:{caller_port}",
            f"http://127.0.0.1:{operator_port}",
            peer_port,
            path,
            self._start_daemon_process(vm, path),
        )
        self.daemons[vm] = daemon
        return daemon

    def restart_daemon(self, vm: str) -> None:
        """Restart a daemon with the same settings."""
        daemon = self.daemons[vm]
        daemon.process = self._start_daemon_process(vm, daemon.settings_path)

    def wait_serving(self, count: int = 0) -> None:
        """Wait until all running daemons serve and see at least `count` members alive.

        A `count` of 0 stands for the number of daemons.
        """
        expected_count = count or len(self.daemons)
        for daemon in self.daemons.values():
            if daemon.process.is_running():
                wait_until(
                    lambda d=daemon: self._is_serving(d, expected_count),  # type: ignore[misc]
                    f"{daemon.vm} serves with {expected_count} members",
                    describe_failure=self._describe_exited_daemons,
                )

    def commit_config(
        self,
        objects: Sequence[ConfigObject],
        daemon: Daemon | None = None,
        wait_s: float = 10.0,
    ) -> dict[str, Any]:
        """Commit `objects`; return the result after up to `wait_s` for acceptance."""
        committing_daemon = daemon or next(iter(self.daemons.values()))
        snapshot = self.call_operator_api(committing_daemon, "GET", "/v1/config")
        change = {
            "change_id": uuid4().hex,
            "expected_version": snapshot["version"],
            "puts": msgspec.to_builtins(objects),
        }
        path = f"/v1/config/changes?wait_s={wait_s}"
        return self.call_operator_api(committing_daemon, "POST", path, change)

    def call_operator_api(
        self, daemon: Daemon, method: str, path: str, body: object | None = None
    ) -> Any:
        """Call the operator API of a daemon; return the decoded response."""
        resp = self._pool.request(
            method,
            daemon.operator_url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=40.0,
        )
        return json.loads(resp.data)

    def publish_vm_list(
        self, *, leaving: Sequence[str] = (), absent: Sequence[str] = ()
    ) -> None:
        """Publish the started daemons and endpoints as the platform's VM list."""
        names = [*self.daemons, *self.endpoints]
        vms = [
            {"vm": name, "is_leaving": name in leaving, "incarnation": 1}
            for name in names
            if name not in absent
        ]
        post_control(self.platform_url, vms=vms)

    def close(self) -> None:
        """Kill every process that this deployment started."""
        for process in self._processes:
            if process.is_running():
                process.resume()
                process.kill()

    def _start_stand_in_process(self, name: str, specs: list[dict[str, Any]]) -> None:
        process = ManagedProcess(
            "sapphirehoist.standins",
            [json.dumps(specs)],
            self.folder / f"{name}.log",
        )
        self._processes.append(process)
        self.stand_ins[name] = process

    def _start_daemon_process(self, vm: str, path: Path) -> ManagedProcess:
        log = self.folder / f"{vm}.log"
        process = ManagedProcess(
            "sapphirehoist.daemon.main", ["--settings", str(path)], log
        )
        self._processes.append(process)
        return process

    def _make_settings(
        self, vm: str, region: str, caller_port: int, operator_port: int, peer_port: int
    ) -> dict[str, Any]:
        seeds = [f"tcp://127.0.0.1:{d.peer_port}" for d in self.daemons.values()]
        return {
            "vm": vm,
            "region": region,
            "zone": f"{region}-a",
            "callers": _make_listener_settings(caller_port),
            "operators_listen": _make_listener_settings(operator_port),
            "peers": {
                "listen": f"tcp://127.0.0.1:{peer_port}",
                "advertise": f"tcp://127.0.0.1:{peer_port}",
                "public_key": self._curve_keys[0],
                "secret_key": self._curve_keys[1],
                "seeds": seeds,
            },
            "platform": {
                "table": self.platform_url,
                "objects": self.platform_url,
                "vms": self.platform_url,
            },
            "operators": [
                {
                    "name": "operator",
                    "token_sha256": sha256(OPERATOR_TOKEN.encode()).hexdigest(),
                }
            ],
            "resume_secret": RESUME_SECRET,
            "entries_ttl_s": 1.0,
        }

    def _describe_exited_daemons(self) -> str:
        """Return the end of the log of every daemon that has exited."""
        exited = [d for d in self.daemons.values() if not d.process.is_running()]
        return "\n".join(
            f"{daemon.vm} exited: {daemon.process.log.read_text()[-_LOG_TAIL_CHARS:]}"
            for daemon in exited
        )

    def _is_serving(self, daemon: Daemon, member_count: int) -> bool:
        try:
            status = self.call_operator_api(daemon, "GET", "/v1/status")
        except HTTPError:
            assert daemon.process.is_running(), daemon.process.log.read_text()
            return False
        alive = [m for m in status["members"] if m["status"] == "alive"]
        return status["may_serve"] and len(alive) >= member_count

    def _wait_listening(self, url: str) -> None:
        def is_listening() -> bool:
            try:
                return self._pool.request("GET", url, timeout=1.0).status == 200
            except HTTPError:
                return False

        wait_until(is_listening, f"{url} responds")


def _make_listener_settings(port: int) -> dict[str, Any]:
    return {"host": "127.0.0.1", "port": port, "url": f"http://127.0.0.1:{port}"}
