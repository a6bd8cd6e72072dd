"""Soak fleet: daemon processes, with a store and endpoints served by this process."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import gevent
from faulty_link import FaultyLink
from guarantees import GuaranteeChecker

from sapphirehoist.adapter.settings import SETTINGS_VARIABLE
from sapphirehoist.adapter.tests.standins import (
    STAGES,
    EndpointStandIn,
    ListenPorts,
    ResponseHandler,
    StoreStandIn,
    compute_pieces,
    config,
    refuse,
    request_id_of,
    route,
    sealed_head,
    settings_text,
    stream,
)
from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import CallerRequest, Exchange
from sapphirehoist.testing import ManagedProcess

EVENTS_PER_STREAM = 12
_FIRST_HOST_NUMBER = 10
_OCTET_VALUES = 250
_EVENT_INTERVAL_S = 0.03
_EXECUTION_S = 0.02
# Every n-th request is refused by its endpoint, or loses its response.
_REFUSAL_INTERVAL = 23
_LOST_RESPONSE_INTERVAL = 31
# Every n-th stream is truncated by its engine in the middle of an event.
_TRUNCATION_INTERVAL = 7
_EVENTS_BEFORE_TRUNCATION = 4
_ROUTES = (
    route("read", "idempotent", "plain"),
    route("book", "non_idempotent", "plain", maxAttempts=2),
    route("ask", "streaming", "model", streamResume=True),
    route("plan", "streaming", "model", streamResume=True, stages=STAGES),
)


def _loopback_subnet() -> str:
    """Return the prefix of a loopback subnet derived from the process id.

    Each VM has its own address, and ports that all VMs share do not collide with those
    of a concurrent soak.
    """
    pid = os.getpid()
    return f"127.{1 + pid % _OCTET_VALUES}.{pid // _OCTET_VALUES % _OCTET_VALUES}"


def make_plain_body(request_id: str) -> bytes:
    """Return the body of the response to a plain request."""
    return f"done {request_id}".encode()


class Daemon:
    """One node: a process with its own loopback address and its own link to the store.

    Parameters
    ----------
    number : int
        Number of the node, which determines its loopback address.
    folder : Path
        Directory for the settings file and the log.
    store : str
        ``IP:PORT`` of the store.
    """

    __slots__ = ("_folder", "_ports", "ip", "link", "name", "process", "started_at")

    def __init__(self, number: int, folder: Path, store: str) -> None:
        self.name = f"vm-{number}"
        self.ip = f"{_loopback_subnet()}.{_FIRST_HOST_NUMBER + number}"
        self.link = FaultyLink(store)
        self._folder = folder
        self._ports = ListenPorts.reserve()
        self.process: ManagedProcess | None = None
        self.started_at = 0.0

    @property
    def caller_address(self) -> str:
        """Return ``IP:PORT`` of the listener for callers."""
        return f"{self.ip}:{self._ports.front}"

    @property
    def peer_address(self) -> str:
        """Return ``IP:PORT`` of the listener for other nodes."""
        return f"{self.ip}:{self._ports.control}"

    def start(self, seeds: list[str]) -> None:
        """Start the process with `seeds` as the peer addresses of its seed nodes."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            settings_text(self.name, self.ip, self._ports, self.link.address, seeds)
        )
        self.started_at = SystemClock().monotonic()
        self.process = ManagedProcess(
            "sapphirehoist.adapter.main",
            [],
            self._folder / f"{self.name}.log",
            {SETTINGS_VARIABLE: str(path)},
        )


class SoakFleet:
    """Daemons, endpoints and store of one soak.

    `close` stops only what this fleet started, each through its own handle.

    Parameters
    ----------
    nodes : int
        Number of daemons.
    folder : Path
        Directory for settings files and logs.
    """

    __slots__ = (
        "_request_count",
        "_stream_count",
        "checker",
        "config_version",
        "daemons",
        "endpoints",
        "store",
    )

    def __init__(self, nodes: int, folder: Path) -> None:
        self.checker = GuaranteeChecker()
        self._request_count = 0
        self._stream_count = 0
        self.config_version = 0
        self.store = StoreStandIn()
        self.change_config()
        self.endpoints = [
            EndpointStandIn(f"{service}-{i}", service, self.store, handler).start()
            for service, handler in (
                ("plain", self._handle_plain),
                ("model", self._handle_model),
                ("encode", compute_pieces),
                ("rank", compute_pieces),
            )
            for i in range(2)
        ]
        self.daemons = [Daemon(i, folder, self.store.address) for i in range(nodes)]
        for daemon in self.daemons:
            self.start(daemon)

    def change_config(self) -> None:
        """Publish a new configuration version; version numbers are not consecutive."""
        self.config_version += 2
        self.store.put("op", "config", config(self.config_version, *_ROUTES))

    def start(self, daemon: Daemon) -> None:
        """Start a daemon with up to two other nodes as seeds."""
        others = [d.peer_address for d in self.daemons if d is not daemon]
        daemon.start(others[:2])

    def close(self) -> None:
        """Kill every daemon process and close every listener."""
        # Processes are killed first, so that a later failure leaves none running.
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.kill()
        for daemon in self.daemons:
            daemon.link.close()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()

    def _handle_plain(
        self, endpoint: EndpointStandIn, request: CallerRequest, exchange: Exchange
    ) -> None:
        self._run_or_fail(endpoint, request, exchange, self._run_plain)

    def _handle_model(
        self, endpoint: EndpointStandIn, request: CallerRequest, exchange: Exchange
    ) -> None:
        request_id = request_id_of(request)
        self._stream_count += 1
        is_truncated = self._stream_count % _TRUNCATION_INTERVAL == 0
        handler = stream(
            EVENTS_PER_STREAM,
            _EVENTS_BEFORE_TRUNCATION if is_truncated else None,
            _EVENT_INTERVAL_S,
            request_id,
        )
        self._run_or_fail(endpoint, request, exchange, handler)

    def _run_or_fail(
        self,
        endpoint: EndpointStandIn,
        request: CallerRequest,
        exchange: Exchange,
        run: ResponseHandler
        | Callable[[EndpointStandIn, CallerRequest, Exchange], None],
    ) -> None:
        self._request_count += 1
        if self._request_count % _REFUSAL_INTERVAL == 0:
            refuse(endpoint, request, exchange)
            return
        self.checker.record_execution(request_id_of(request))
        if self._request_count % _LOST_RESPONSE_INTERVAL == 0:
            exchange.abort()
            return
        run(endpoint, request, exchange)

    def _run_plain(
        self, endpoint: EndpointStandIn, request: CallerRequest, exchange: Exchange
    ) -> None:
        gevent.sleep(_EXECUTION_S)
        exchange.respond(
            sealed_head(endpoint, request), make_plain_body(request_id_of(request))
        )
