"""One node of the gateway: all parts wired on the interfaces that it was given."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from random import Random

import gevent

from sapphirehoist.clock import Clock, HybridClock
from sapphirehoist.decisions import (
    GenerationPlacement,
    LoadBook,
    PredictedPlacement,
    SharedRetryBudget,
    SoonestStageEndpoint,
    UrgentFirst,
)
from sapphirehoist.discovery import (
    EndpointDirectory,
    TableFollower,
    TableListener,
    TableSource,
)
from sapphirehoist.gateway.addresses import NodeAddresses
from sapphirehoist.gateway.dialect import CallDialect
from sapphirehoist.gateway.dispatch import Dispatcher
from sapphirehoist.gateway.first_state import FirstState
from sapphirehoist.gateway.fleet_link import FleetLink
from sapphirehoist.gateway.handler import RequestHandler
from sapphirehoist.gateway.meeting import MeetingPlace
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.gateway.prompt_news import PromptSharing
from sapphirehoist.gateway.stage_pools import StagePools
from sapphirehoist.gateway.stage_queue import QueueParts
from sapphirehoist.http1 import CallerServer, EndpointConnections
from sapphirehoist.membership import DetectorTimes, FailureDetector, Fleet, Member
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import PeerBus, PeerTransport
from sapphirehoist.routes import (
    CallerLimits,
    RouteHolder,
    RouteTable,
    RoutingConfig,
)
from sapphirehoist.storage import TableService

# Callers choose a node anew about every second, so a dead one is found within three.
_DETECTOR_TIMES = DetectorTimes(
    interval_s=0.5, ack_timeout_s=0.4, suspicion_s=2.5, dead_probe_every=4
)
_HOUSEKEEPING_S = 0.5
# Callers keep an answer for up to three times its time to live.
_KEPT_ANSWERS = 3.0
# Time to write the last answers and to leave the fleet before the process is killed.
_LEAVE_MARGIN_S = 1.0
_IDLE_POLL_S = 0.05
# A task that fails at once again must not keep the processor busy.
_RESTART_PAUSE_S = 0.3

# Settings that a running node takes over.
_CHANGEABLE = frozenset(
    {
        "answer_ttl_s",
        "stop_s",
        "repeat_ratio",
        "repeat_allowance",
        "repeat_window_s",
        "change_bound_s",
    }
)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a node has to know of itself and of its bounds.

    Attributes
    ----------
    vm, region, zone : str
        This node.
    regions : dict of str to str
        Region of each availability zone.
    caller_address, peer_address : str
        Where callers and other nodes reach it.
    answer_ttl_s : float
        How long callers keep the addresses that they were told.
    stop_s : float
        Time that a planned stop may take.
    repeat_ratio, repeat_allowance, repeat_window_s : float
        Budget of repeats that all nodes share.
    change_bound_s : float
        Time within which changes of the configuration and of endpoints are in force.
    seeds : tuple of str
        Peer addresses at which other nodes may be; some may be gone.
    """

    vm: str
    region: str
    zone: str
    regions: dict[str, str]
    caller_address: str
    peer_address: str
    answer_ttl_s: float
    stop_s: float
    repeat_ratio: float
    repeat_allowance: float
    repeat_window_s: float
    change_bound_s: float
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """Interfaces to everything outside the node."""

    clock: Clock
    random: Random
    transport: PeerTransport
    table: TableService
    config_source: TableSource
    endpoint_source: TableSource
    dialect: CallDialect
    decode_config: Callable[[bytes], RoutingConfig | None]
    config_listener: Callable[[RouteHolder], TableListener]
    endpoint_listener: Callable[[EndpointDirectory], TableListener]


class GatewayNode:
    """A gateway without its program.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    parts : GatewayParts
        Interfaces.
    """

    def __init__(self, settings: GatewaySettings, parts: GatewayParts) -> None:
        self.settings = settings
        self._parts = parts
        self._tasks: list[gevent.Greenlet] = []
        self.is_stopping = False
        self._is_refusing = False
        self.metrics = Metrics()
        self.holder = RouteHolder()
        self.directory = EndpointDirectory(parts.clock, self.metrics)
        self._build_fleet()
        self._build_followers()
        self._build_requests()

    def start(self) -> None:
        """Start every task."""
        self._bus.start()
        for run in (
            self._configs.run,
            self._endpoints.run,
            self._meeting.run,
            self._first_state.run,
            self._detector.run,
            self._stages.run,
            self._prompts.run,
            self._keep_house,
        ):
            self._tasks.append(gevent.spawn(self._supervise, run))
        self._server.start()

    def is_ready(self) -> bool:
        """Return whether new callers may be sent here."""
        return self._first_state.is_complete and not self.is_stopping

    def change_settings(self, settings: GatewaySettings) -> None:
        """Take over what can change in a running node; log the rest."""
        changed = {
            field.name: getattr(settings, field.name)
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        }
        taken = {name: changed[name] for name in changed if name in _CHANGEABLE}
        self.settings = replace(self.settings, **taken)
        self._budget.change(
            self.settings.repeat_ratio,
            self.settings.repeat_allowance,
            self.settings.repeat_window_s,
        )
        left = sorted(changed.keys() - taken.keys())
        _logger.info("settings changed", extra={"taken": taken, "need_restart": left})

    def stop(self) -> None:
        """Leave without cutting off requests, as far as the time to stop allows.

        Requests are taken as long as callers may keep an old answer; then they are
        refused, and those under way get the rest of the time.
        """
        clock = self._parts.clock
        end_at = clock.monotonic() + self.settings.stop_s - _LEAVE_MARGIN_S
        self.is_stopping = True
        _logger.info("stop begun", extra={"under_way": self.handler.under_way})
        self.fleet.announce_leaving()
        self._server.is_closing = True
        clock.sleep(_KEPT_ANSWERS * self.settings.answer_ttl_s)
        self._is_refusing = True
        self._server.begin_closing()
        while clock.monotonic() < end_at and self.handler.under_way:
            clock.sleep(_IDLE_POLL_S)
        _logger.info("stop done", extra={"cut_off": self.handler.under_way})
        self._server.stop()
        with gevent.Timeout(_LEAVE_MARGIN_S / 2, False):
            self._meeting.leave()
        self.fleet.announce_gone()

    def kill(self) -> None:
        """Stop every task at once, as a crash does."""
        for task in self._tasks:
            task.kill(block=False)
        self._server.stop()
        self._bus.close()

    def _supervise(self, run: Callable[[], None]) -> None:
        """Run a task again if a fault ends it; a node without it is of no use."""
        while True:
            try:
                run()
            except Exception:
                self.metrics.count("task_failures_total")
                _logger.exception("task failed")
            self._parts.clock.sleep(_RESTART_PAUSE_S)

    def _build_fleet(self) -> None:
        settings, parts = self.settings, self._parts
        hybrid = HybridClock(parts.clock)
        self.timeline = Timeline(settings.vm, hybrid)
        self._bus = PeerBus(
            settings.vm, parts.transport, parts.clock, hybrid, self.metrics
        )
        member = Member(
            settings.vm,
            int(parts.clock.now().timestamp() * 1000),
            settings.region,
            settings.zone,
            settings.peer_address,
            settings.caller_address,
        )
        self.fleet = Fleet(
            member, self._bus, self.metrics, self.timeline, is_starting=True
        )
        link = FleetLink(
            self.fleet,
            self._bus,
            self.holder,
            self.directory,
            parts.decode_config,
            parts.clock,
        )
        self._first_state = FirstState(
            self.fleet, self._bus, link, self.holder, self.directory, parts.clock
        )
        self._detector = FailureDetector(
            self.fleet,
            self._bus,
            parts.clock,
            parts.random,
            self.metrics,
            _DETECTOR_TIMES,
        )
        self._meeting = MeetingPlace(
            self.fleet, parts.table, parts.clock, settings.seeds
        )
        self.addresses = NodeAddresses(self.fleet, parts.random)

    def _build_followers(self) -> None:
        parts = self._parts
        self._configs = TableFollower(
            "configuration",
            parts.config_source,
            parts.config_listener(self.holder),
            parts.clock,
            self.metrics,
            self._count_nodes,
            self._change_bound_s,
        )
        self._endpoints = TableFollower(
            "endpoints",
            parts.endpoint_source,
            parts.endpoint_listener(self.directory),
            parts.clock,
            self.metrics,
            self._count_nodes,
            self._change_bound_s,
        )

    def _build_requests(self) -> None:
        settings, parts = self.settings, self._parts
        clock, metrics = parts.clock, self.metrics
        pools = EndpointPools(
            settings.zone, settings.regions, self.directory, LoadBook(clock)
        )
        self._connections = EndpointConnections(clock, metrics)
        budget = self._budget = SharedRetryBudget(
            settings.repeat_ratio,
            settings.repeat_allowance,
            settings.repeat_window_s,
            self._count_nodes,
            clock,
        )
        self._stages = self._build_stages(pools, budget)
        self.handler = RequestHandler(
            self._table,
            parts.dialect,
            self._build_dispatcher(pools, budget),
            self._stages,
            budget,
            lambda: self._is_refusing,
            clock,
            parts.random,
            metrics,
        )
        self._server = CallerServer(
            settings.caller_address, self.handler, self._limits, clock, metrics
        )

    def _build_stages(
        self, pools: EndpointPools, budget: SharedRetryBudget
    ) -> StagePools:
        shared = QueueParts(
            pools,
            UrgentFirst(),
            self._connections,
            self._parts.dialect,
            budget,
            self._parts.clock,
            self.metrics,
        )
        return StagePools(
            self.fleet,
            self._bus,
            self.directory,
            SoonestStageEndpoint(),
            shared,
            self._table,
        )

    def _build_dispatcher(
        self, pools: EndpointPools, budget: SharedRetryBudget
    ) -> Dispatcher:
        clock = self._parts.clock
        placement = GenerationPlacement(
            clock, lambda: not PromptSharing.is_told(self.fleet)
        )
        self._prompts = PromptSharing(self.fleet, self._bus, placement, clock)
        return Dispatcher(
            pools,
            self._connections,
            self._parts.dialect,
            budget,
            PredictedPlacement(),
            placement,
            self._prompts.tell,
            clock,
            self.metrics,
        )

    def _change_bound_s(self) -> float:
        return self.settings.change_bound_s

    def _count_nodes(self) -> int:
        """Return the nodes that may be at work; a dead one may only be cut off."""
        return len(self.fleet.present()) + len(self.fleet.dead())

    def _table(self) -> RouteTable | None:
        return self.holder.table

    def _limits(self) -> CallerLimits:
        table = self.holder.table
        return table.config.limits if table is not None else CallerLimits()

    def _keep_house(self) -> None:
        while True:
            self._parts.clock.sleep(_HOUSEKEEPING_S)
            self.directory.expire()
            self._connections.close_stale()
