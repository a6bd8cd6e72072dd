"""Composition of a gateway node from its components and injected dependencies."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from random import Random
from time import process_time

import gevent

from sapphirehoist.clock import Clock, HybridClock
from sapphirehoist.decisions import (
    BrittleEndpoints,
    CrashQuarantine,
    Distance,
    EarliestStartPolicy,
    EndpointBackoff,
    EndpointLimits,
    EndpointLoads,
    EndpointMemory,
    EndpointPaths,
    EndpointRestarts,
    EnginePaces,
    EvacuatedZones,
    GenerationPlacement,
    MemoryBudget,
    PredictedPlacement,
    PrefillSpeed,
    ResponseTimes,
    ReturnOrder,
    SharedRetryBudget,
    SpreadChoice,
    StreamOrigins,
    UrgentFirstBatching,
    budget_bytes,
    cold_burst,
    zone_distance,
)
from sapphirehoist.discovery import (
    EndpointDirectory,
    EndpointRecord,
    RowChanges,
    TableFollower,
    TableListener,
    TableSource,
)
from sapphirehoist.gateway.addresses import NodeAddresses
from sapphirehoist.gateway.attempt import AttemptSender
from sapphirehoist.gateway.attempt_recorder import AttemptRecorder
from sapphirehoist.gateway.brittle_guard import BrittleGuard
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.codec import CallCodec
from sapphirehoist.gateway.crash_quarantine_journal import CrashQuarantineJournal
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.dispatch import Dispatcher
from sapphirehoist.gateway.endpoint_chooser import EndpointChooser
from sapphirehoist.gateway.endpoint_limit_sync import EndpointLimitSync
from sapphirehoist.gateway.endpoint_memory_sync import EndpointMemorySync
from sapphirehoist.gateway.endpoint_pacing import EndpointPacing
from sapphirehoist.gateway.endpoint_queue import QueueDependencies
from sapphirehoist.gateway.engine_pace_sync import EnginePaceSync
from sapphirehoist.gateway.evacuation_sync import EvacuationSync
from sapphirehoist.gateway.handler import RequestHandler
from sapphirehoist.gateway.initial_state_sync import InitialStateSync
from sapphirehoist.gateway.path_check import EndpointPathCheck
from sapphirehoist.gateway.peer_discovery import PeerDiscovery
from sapphirehoist.gateway.peer_state_sync import PeerStateSync
from sapphirehoist.gateway.prompt_broadcast import PromptBroadcaster
from sapphirehoist.gateway.region_read_sharing import RegionReaders
from sapphirehoist.gateway.request_checks import RequestChecks
from sapphirehoist.gateway.request_memory import GatewayRequestMemory
from sapphirehoist.gateway.stage_admission import StageAdmission
from sapphirehoist.gateway.stage_scheduler import StageScheduler
from sapphirehoist.gateway.stream_origin_journal import StreamOriginJournal
from sapphirehoist.gateway.stream_origin_sync import StreamOriginSync
from sapphirehoist.gateway.tunnel_connector import TunnelConnector
from sapphirehoist.gateway.tunnel_server import TunnelServer
from sapphirehoist.gateway.vm_load_sync import VmLoadSync
from sapphirehoist.http1 import (
    CallerServer,
    EndpointConnectionPool,
    EndpointConnector,
)
from sapphirehoist.membership import DetectorConfig, FailureDetector, Fleet, Member
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import PeerBus, PeerTransport
from sapphirehoist.routes import (
    CallerLimits,
    RouteTable,
    RoutingConfig,
    RoutingReplica,
    Service,
)
from sapphirehoist.storage import StoreEra, TableService

# Callers select a node again about every second, so that the detection of a failed
# node within about 3 s suffices.
_DETECTOR_TIMES = DetectorConfig(
    heartbeat_interval_s=0.5,
    ack_timeout_s=0.4,
    suspicion_timeout_s=2.5,
    dead_probe_every=4,
)
_MAINTENANCE_INTERVAL_S = 0.5
# Callers use a node's address for up to 3 times the TTL of the resolve response that
# contained it.
_ADDRESS_CACHE_TTL_MULTIPLE = 3.0
# Time reserved to send the last responses and leave the fleet before the process is
# killed.
_SHUTDOWN_MARGIN_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05
# Limits the CPU time of a task that fails immediately after each restart.
_TASK_RESTART_DELAY_S = 0.3

_CONFIG_TABLE = "configuration"
_ENDPOINT_TABLE = "endpoints"
# Settings that are applied without a restart.
_RELOADABLE_SETTINGS = frozenset(
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
    """Validated settings of a node.

    Attributes
    ----------
    vm, region, zone : str
        VM, region and availability zone of this node.
    regions : dict of str to str
        Region of each availability zone.
    caller_address, peer_address : str
        Listen addresses for callers (``IP:PORT``) and for other nodes
        (``tcp://IP:PORT``).
    answer_ttl_s : float
        Time to live of the node addresses that callers receive.
    stop_s : float
        Maximum duration of a graceful shutdown.
    repeat_ratio : float
        Retries allowed per request in a window.
    repeat_allowance : float
        Retries allowed in a window beyond `repeat_ratio`, over all nodes.
    repeat_window_s : float
        Length of the sliding window of the retry budget.
    change_bound_s : float
        Time within which a change of the configuration or of endpoints has to take
        effect.
    seeds : tuple of str
        Peer addresses to contact for discovery; some may no longer be in use.
    cores : float
        Processor cores of the VM; 0 if not known.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s; 0 if not known.
    cold_over, cold_slack : float
        All nodes together send a cold endpoint at most `cold_over` times the rate that
        it takes, plus `cold_slack` requests, in any second.
    is_admission_by_owners : bool
        Whether the owners of stage endpoints admit requests; the forecast of this node
        does otherwise.
    memory_mb : float
        Memory of the VM, in MB; 0 if not known, and what is held for callers is not
        limited then.
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
    cores: float = 0.0
    link_mbps: float = 0.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    memory_mb: float = 0.0
    is_admission_by_owners: bool = False


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """Dependencies that are injected into a node.

    Attributes
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of randomness.
    transport : PeerTransport
        Carries messages between nodes.
    table_service : TableService
        Reads and writes rows of the platform's table.
    config_source, endpoint_source : TableSource
        Tables of the configuration and of the endpoints.
    codec : CallCodec
        Encodes and decodes the messages of callers and endpoints.
    decode_config : callable
        Decodes a configuration document; returns None for an invalid one.
    create_config_listener, create_endpoint_listener : callable
        Create the listeners that apply rows of the two tables.
    store_era : StoreEra
        Latest era of the store that contains the tables.
    get_entry_content : callable
        Returns what matters to all nodes of an endpoint's entry; entries are written
        again all the time.
    endpoint_connector : EndpointConnector
        Opens connections to endpoints from this VM.
    """

    clock: Clock
    random: Random
    transport: PeerTransport
    table_service: TableService
    config_source: TableSource
    endpoint_source: TableSource
    codec: CallCodec
    decode_config: Callable[[bytes], RoutingConfig | None]
    create_config_listener: Callable[[RoutingReplica, EvacuationSync], TableListener]
    create_endpoint_listener: Callable[[EndpointDirectory], TableListener]
    store_era: StoreEra
    get_entry_content: Callable[[bytes], object]
    endpoint_connector: EndpointConnector


class GatewayNode:
    """A gateway node that runs in the process of its creator.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    dependencies : GatewayDependencies
        Injected dependencies.

    Attributes
    ----------
    settings : GatewaySettings
        Settings in effect; changes that need a restart are not included.
    is_stopping : bool
        Whether a graceful shutdown has started.
    metrics : Metrics
        Metrics of all components.
    memory : MemoryBudget or None
        Memory for what is held for callers; None if it is not limited.
    store_era : StoreEra
        Latest era of the store.
    routing_replica : RoutingReplica
        Configuration in force.
    endpoint_directory : EndpointDirectory
        Known endpoints.
    evacuated_zones : EvacuatedZones
        Availability zones that operators have evacuated.
    fleet : Fleet
        Known nodes.
    timeline : Timeline
        Recent events of this node and its fleet.
    addresses : NodeAddresses
        Selects the node addresses for callers.
    handler : RequestHandler
        Processes callers' requests.
    crash_quarantine : CrashQuarantineSync
        Prompt parts under which engines crash.
    endpoint_connector : TunnelConnector
        Opens connections to endpoints, where necessary through other nodes.
    """

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        self.settings = settings
        self._dependencies = dependencies
        self._tasks: list[gevent.Greenlet] = []
        self.is_stopping = False
        self._is_rejecting_requests = False
        self.metrics = Metrics()
        self.memory = (
            MemoryBudget(budget_bytes(settings.memory_mb))
            if settings.memory_mb
            else None
        )
        self.store_era = dependencies.store_era
        self.routing_replica = RoutingReplica()
        self.endpoint_directory = EndpointDirectory(
            dependencies.clock, self.metrics, self._cold_start_s
        )
        self.evacuated_zones = EvacuatedZones(dependencies.clock)
        self._build_fleet()
        self._build_request_path()
        self._build_evacuations()
        self._build_followers()

    def start(self) -> None:
        """Start all background tasks and accept callers' connections."""
        self._peer_bus.start()
        for run in (
            self._config_follower.run,
            self._endpoint_follower.run,
            self._peer_discovery.run,
            self._initial_state_sync.run,
            self._detector.run,
            self._stage_scheduler.run,
            self._prompt_broadcaster.run,
            self._stream_origin_sync.run,
            self._stream_origin_journal.run,
            self._crash_quarantine_journal.run,
            self._vm_load_sync.run,
            self.endpoint_connector.run,
            self._run_periodic_maintenance,
        ):
            self._tasks.append(gevent.spawn(self._run_supervised, run))
        self._caller_server.start()

    def endpoint_pause_s(self, endpoint: EndpointRecord) -> float:
        """Return for how long `endpoint` wants no requests from this VM."""
        return self._endpoints.pause_s(endpoint)

    def endpoint_memory_limit(self, service: str) -> int | None:
        """Return the bytes of bodies that endpoints bear; None if not known."""
        return self._endpoint_memory.limit_bytes(service)

    def is_ready(self) -> bool:
        """Return whether this node accepts new callers."""
        return self._initial_state_sync.is_complete and not self.is_stopping

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the changed settings that need no restart and log the others."""
        changed = {
            field.name: getattr(settings, field.name)
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        }
        applied = {
            name: changed[name] for name in changed if name in _RELOADABLE_SETTINGS
        }
        self.settings = replace(self.settings, **applied)
        self._retry_budget.set_limits(
            self.settings.repeat_ratio,
            self.settings.repeat_allowance,
            self.settings.repeat_window_s,
        )
        need_restart = sorted(changed.keys() - applied.keys())
        _logger.info(
            "settings changed", extra={"taken": applied, "need_restart": need_restart}
        )

    def stop(self) -> None:
        """Shut down gracefully within ``stop_s``.

        New requests are accepted until callers no longer use this node's address, and
        rejected afterwards. Requests in flight have the remaining time to complete; all
        others get a response before the process ends.
        """
        clock = self._dependencies.clock
        end_at = clock.monotonic() + self.settings.stop_s - _SHUTDOWN_MARGIN_S
        self.is_stopping = True
        self.handler.begin_stopping(end_at)
        _logger.info(
            "graceful shutdown started",
            extra={"under_way": self.handler.in_flight_count},
        )
        self.fleet.announce_leaving()
        self._caller_server.is_closing = True
        clock.sleep(_ADDRESS_CACHE_TTL_MULTIPLE * self.settings.answer_ttl_s)
        self._is_rejecting_requests = True
        self._caller_server.begin_closing()
        self._wait_for_callers(end_at)
        self._caller_server.stop()
        # Connections that were accepted last may still be sending their request.
        self._wait_for_callers(end_at)
        self.handler.answer_waiting_requests()
        row_removal = gevent.spawn(self._peer_discovery.remove_own_row)
        responses = gevent.spawn(self._wait_for_callers, end_at + _SHUTDOWN_MARGIN_S)
        gevent.joinall([row_removal, responses], _SHUTDOWN_MARGIN_S / 2)
        _logger.info(
            "graceful shutdown completed",
            extra={"cut_off": self.handler.in_flight_count},
        )
        self.fleet.announce_gone()

    def _wait_for_callers(self, end_at: float) -> None:
        """Wait until no request is under way or relayed, at most to `end_at`."""
        clock = self._dependencies.clock
        while clock.monotonic() < end_at and (
            self._caller_server.active_count or self._tunnel_server.open_count
        ):
            clock.sleep(_DRAIN_POLL_INTERVAL_S)

    def kill(self) -> None:
        """Stop all tasks immediately, like a crash, without leaving the fleet."""
        for task in self._tasks:
            task.kill(block=False)
        self._caller_server.stop()
        self._peer_bus.close()

    def _run_supervised(self, run: Callable[[], None]) -> None:
        """Run a task and restart it whenever it ends or raises an exception.

        A node cannot serve without any one of its tasks.
        """
        while True:
            try:
                run()
            except Exception:
                self.metrics.count("task_failures_total")
                _logger.exception("background task failed; restarting it")
            self._dependencies.clock.sleep(_TASK_RESTART_DELAY_S)

    def _build_fleet(self) -> None:
        settings, dependencies = self.settings, self._dependencies
        hybrid_clock = HybridClock(dependencies.clock)
        self.timeline = Timeline(settings.vm, hybrid_clock)
        self._peer_bus = PeerBus(
            settings.vm,
            dependencies.transport,
            dependencies.clock,
            hybrid_clock,
            self.metrics,
        )
        member = Member(
            settings.vm,
            int(dependencies.clock.now().timestamp() * 1000),
            settings.region,
            settings.zone,
            settings.peer_address,
            settings.caller_address,
            cores=settings.cores,
            link_mbps=settings.link_mbps,
        )
        self.fleet = Fleet(
            member, self._peer_bus, self.metrics, self.timeline, is_starting=True
        )
        self._peer_state_sync = PeerStateSync(
            self.fleet,
            self._peer_bus,
            self.routing_replica,
            self.endpoint_directory,
            dependencies.decode_config,
            dependencies.clock,
        )
        self._detector = FailureDetector(
            self.fleet,
            self._peer_bus,
            dependencies.clock,
            dependencies.random,
            self.metrics,
            _DETECTOR_TIMES,
        )
        self._peer_discovery = PeerDiscovery(
            self.fleet,
            dependencies.table_service,
            dependencies.clock,
            dependencies.random,
            dependencies.store_era,
            settings.seeds,
        )
        self._vm_load_sync = VmLoadSync(
            self.fleet,
            self._peer_bus,
            dependencies.clock,
            settings.cores,
            process_time,
            self.metrics,
        )
        self.addresses = NodeAddresses(
            self.fleet,
            dependencies.random,
            lambda: self.routing_replica.table,
            self._vm_load_sync.load,
        )

    def _build_evacuations(self) -> None:
        """Build what spreads evacuations; its digest follows those of other builds."""
        clock = self._dependencies.clock
        self._evacuation_sync = EvacuationSync(
            self.evacuated_zones,
            self.settings.regions,
            self.fleet,
            self._peer_bus,
            self._stage_scheduler.evacuate_zone,
            # Endpoints in the zone may have been restarted meanwhile.
            self.endpoint_directory.presume_cold,
            clock,
            self.metrics,
        )
        self._initial_state_sync = InitialStateSync(
            self.fleet,
            self._peer_bus,
            self._peer_state_sync,
            self.routing_replica,
            self.endpoint_directory,
            self._evacuation_sync,
            clock,
        )

    def _build_followers(self) -> None:
        dependencies = self._dependencies
        self.routing_replica.on_change(self._log_unknown_regions)
        readers = RegionReaders(self.fleet, self._peer_bus, dependencies.clock)
        self._config_follower = TableFollower(
            _CONFIG_TABLE,
            dependencies.config_source,
            dependencies.create_config_listener(
                self.routing_replica, self._evacuation_sync
            ),
            RowChanges(lambda value: value),
            readers.share_reads_of(_CONFIG_TABLE),
            dependencies.clock,
            self.metrics,
            self._possible_node_count,
            self._change_bound_s,
        )
        self._endpoint_follower = TableFollower(
            _ENDPOINT_TABLE,
            dependencies.endpoint_source,
            dependencies.create_endpoint_listener(self.endpoint_directory),
            RowChanges(dependencies.get_entry_content),
            readers.share_reads_of(_ENDPOINT_TABLE),
            dependencies.clock,
            self.metrics,
            self._possible_node_count,
            self._change_bound_s,
        )
        self._endpoint_follower.on_read(self._stream_origin_sync.apply_read)
        readers.add_follower(_CONFIG_TABLE, self._config_follower)
        readers.add_follower(_ENDPOINT_TABLE, self._endpoint_follower)

    def _build_request_path(self) -> None:
        settings, dependencies = self.settings, self._dependencies
        clock, metrics = dependencies.clock, self.metrics
        limits, loads = EndpointLimits(clock), EndpointLoads(clock)
        brittle_endpoints = BrittleEndpoints(clock)
        self._limit_sync = EndpointLimitSync(
            limits,
            self.endpoint_directory,
            self.fleet,
            self._peer_bus,
            clock,
            brittle_endpoints.limits,
        )
        pacing = self._pacing = EndpointPacing(
            self.endpoint_directory,
            limits,
            self._find_service,
            self._cold_share,
            self._limit_sync.publish_cold,
            BrittleGuard(
                settings.vm,
                brittle_endpoints,
                loads,
                self._limit_sync.possible_senders,
                lambda name: self._stage_scheduler.pool_config(name) is not None,
                self._limit_sync.publish_brittle,
                clock,
                metrics,
            ),
            clock,
            metrics,
        )
        paths = EndpointPaths()
        self.endpoint_connector = TunnelConnector(
            dependencies.endpoint_connector,
            self.evacuated_zones.is_evacuated,
            paths,
            self.endpoint_directory,
            self.fleet,
            self._peer_bus,
            self._zone_distance,
            clock,
            dependencies.random,
            metrics,
        )
        endpoints = EndpointCandidates(
            settings.zone,
            settings.regions,
            self.endpoint_directory,
            loads,
            EndpointBackoff(clock),
            limits,
            self._limit_share,
            self._limit_sync.publish,
            self.endpoint_connector.forward_pause,
            pacing,
            self.evacuated_zones.is_evacuated,
        )
        self._endpoint_connections = EndpointConnectionPool(
            self.endpoint_connector, clock, metrics
        )
        self.endpoint_connector.on_path_lost = self._handle_lost_path
        self._endpoints = endpoints
        self._tunnel_server = TunnelServer(
            dependencies.endpoint_connector,
            paths,
            endpoints,
            self.endpoint_directory,
            self._peer_bus,
            settings.cores,
            metrics,
        )
        retry_budget = self._retry_budget = SharedRetryBudget(
            settings.repeat_ratio,
            settings.repeat_allowance,
            settings.repeat_window_s,
            self._possible_node_count,
            clock,
        )
        self._stage_returns = ReturnOrder(clock)
        self._stage_scheduler = self._build_stage_scheduler(endpoints, retry_budget)
        self._build_crash_quarantine()
        self._build_stream_origins()
        self._endpoint_memory = EndpointMemorySync(
            EndpointMemory(settings.vm),
            endpoints,
            self.crash_quarantine,
            self.fleet,
            self._peer_bus,
        )
        self._limit_sync.add_brittle_digest()
        response_times = ResponseTimes()
        checks = RequestChecks(
            endpoints,
            retry_budget,
            self.crash_quarantine,
            self._stream_origin_sync,
            response_times,
            clock,
        )
        chooser = self._build_chooser(endpoints)
        # It answers the queries of other nodes, whatever this node's setting is.
        stage_admission = StageAdmission(
            self._stage_scheduler, self._stage_returns, self._peer_bus, clock, metrics
        )
        self.handler = RequestHandler(
            self._current_routes,
            dependencies.codec,
            checks,
            chooser,
            self._build_dispatcher(
                endpoints, retry_budget, checks, chooser, response_times
            ),
            self._stage_scheduler,
            stage_admission if settings.is_admission_by_owners else None,
            retry_budget,
            lambda: self._is_rejecting_requests,
            clock,
            dependencies.random,
            metrics,
            self.memory,
        )
        self._caller_server = CallerServer(
            settings.caller_address,
            self.handler,
            self._caller_limits,
            clock,
            metrics,
            self._build_request_memory(),
        )

    def _build_request_memory(self) -> GatewayRequestMemory | None:
        if self.memory is None:
            return None
        dependencies = self._dependencies
        return GatewayRequestMemory(
            self.memory,
            dependencies.codec,
            dependencies.clock,
            dependencies.random,
            self.metrics,
        )

    def _build_stage_scheduler(
        self, endpoints: EndpointCandidates, retry_budget: SharedRetryBudget
    ) -> StageScheduler:
        queue_dependencies = QueueDependencies(
            endpoints,
            UrgentFirstBatching(),
            self._endpoint_connections,
            self._dependencies.codec,
            retry_budget,
            self._dependencies.clock,
            self.metrics,
            self._stage_returns,
        )
        return StageScheduler(
            self.fleet,
            self._peer_bus,
            self.endpoint_directory,
            EarliestStartPolicy(),
            queue_dependencies,
            self._current_routes,
            self._dependencies.random,
        )

    def _build_chooser(self, endpoints: EndpointCandidates) -> EndpointChooser:
        clock = self._dependencies.clock
        spread_choice = SpreadChoice(self._dependencies.random)

        def is_large_fleet() -> bool:
            return not PromptBroadcaster.is_broadcast_enabled(self.fleet)

        def get_spread_choice() -> SpreadChoice | None:
            return spread_choice if is_large_fleet() else None

        prefill_speed = PrefillSpeed()
        placement = GenerationPlacement(
            clock, is_large_fleet, prefill_speed, get_spread_choice
        )
        self._prompt_broadcaster = PromptBroadcaster(
            self.fleet, self._peer_bus, placement, clock
        )
        return EndpointChooser(
            endpoints,
            PredictedPlacement(get_spread_choice),
            placement,
            self._prompt_broadcaster.schedule_broadcast,
            self._endpoint_memory,
            prefill_speed,
        )

    def _build_crash_quarantine(self) -> None:
        clock = self._dependencies.clock
        self._crash_quarantine_journal = CrashQuarantineJournal(
            self._dependencies.table_service, clock
        )
        self.crash_quarantine = CrashQuarantineSync(
            CrashQuarantine(clock, self._dependencies.random),
            self.fleet,
            self._peer_bus,
            EndpointPathCheck(
                self._dependencies.endpoint_connector,
                self.endpoint_directory,
                self.fleet,
                self._peer_bus,
                clock,
                self._dependencies.random,
                self.metrics,
            ),
            self._crash_quarantine_journal,
            self.metrics,
        )

    def _build_stream_origins(self) -> None:
        clock = self._dependencies.clock
        origins = StreamOrigins(clock)
        self._stream_origin_journal = StreamOriginJournal(
            self._dependencies.table_service,
            origins,
            self.fleet,
            self._peer_bus,
            clock,
        )
        self._stream_origin_sync = StreamOriginSync(
            origins,
            self._stream_origin_journal,
            self.endpoint_directory,
            self.fleet,
            self._peer_bus,
            clock,
            lambda: self._endpoint_follower.last_read_at,
            self._change_bound_s,
        )

    def _build_dispatcher(
        self,
        endpoints: EndpointCandidates,
        retry_budget: SharedRetryBudget,
        checks: RequestChecks,
        chooser: EndpointChooser,
        response_times: ResponseTimes,
    ) -> Dispatcher:
        clock = self._dependencies.clock
        engine_paces = EnginePaceSync(
            EnginePaces(), self.endpoint_directory, self.fleet, self.metrics
        )
        endpoints.get_pace_factors = engine_paces.factors
        sender = AttemptSender(
            endpoints,
            chooser,
            self._endpoint_connections,
            self._dependencies.codec,
            retry_budget,
            self.crash_quarantine,
            self._stream_origin_sync,
            engine_paces,
            clock,
        )
        restarts = EndpointRestarts(clock)
        endpoints.lost_at = restarts.lost_at
        endpoints.may_have_restarted = lambda record: restarts.may_have_restarted(
            record.name,
            self._endpoint_connections.connected_at(record.address),
            self._endpoint_follower.last_read_at,
        )
        recorder = AttemptRecorder(
            endpoints,
            self.crash_quarantine,
            restarts,
            response_times,
            self.metrics,
        )
        return Dispatcher(
            endpoints,
            checks,
            chooser,
            sender,
            recorder,
            self.crash_quarantine,
            self._endpoint_memory,
            clock,
        )

    def _zone_distance(self, zone: str, other: str) -> Distance:
        return zone_distance(zone, other, self.settings.regions)

    def _handle_lost_path(self, endpoint: EndpointRecord) -> None:
        """Use no old connections to `endpoint`, and do not blame it for failures."""
        self._endpoint_connections.close_idle(endpoint.address)
        self._endpoints.loads.forgive_failures(endpoint.name)

    def _limit_share(self, record: EndpointRecord, limit_per_s: float) -> float:
        """Return the fraction of an endpoint's limit that this node may use.

        Only the owner of a stage endpoint calls it.
        """
        if self._stage_scheduler.pool_config(record.service) is not None:
            return 1.0
        return self._limit_sync.share(record.name, limit_per_s)

    def _cold_share(self, record: EndpointRecord, per_s: float) -> float:
        """Return the fraction of a cold endpoint's rate that this node may use."""
        if self._stage_scheduler.pool_config(record.service) is not None:
            return 1.0
        settings = self.settings
        region = settings.regions.get(record.zone, record.zone)
        max_burst = cold_burst(per_s, settings.cold_over, settings.cold_slack)
        return self._limit_sync.regional_share(record.name, region, per_s, max_burst)

    def _find_service(self, name: str) -> Service | None:
        routes = self._current_routes()
        return routes.get_service(name) if routes is not None else None

    def _cold_start_s(self, name: str) -> float:
        service = self._find_service(name)
        return service.cold_start_s if service is not None else 0.0

    def _change_bound_s(self) -> float:
        return self.settings.change_bound_s

    def _possible_node_count(self) -> int:
        """Return the number of nodes that may be running.

        Members with the status `DEAD` are counted: they may run on the other side of a
        network partition.
        """
        return len(self.fleet.present_members()) + len(self.fleet.dead_members())

    def _current_routes(self) -> RouteTable | None:
        """Return the routes in force; None while evacuated zones are not known."""
        return self.routing_replica.table if self._evacuation_sync.is_loaded else None

    def _log_unknown_regions(self, table: RouteTable) -> None:
        """Log home regions without a zone, whose requests are all refused."""
        known = set(self.settings.regions.values())
        owners = [(route.name, route.home_regions) for route in table.config.routes]
        owners += [(team.name, team.home_regions) for team in table.config.teams]
        for name, home_regions in owners:
            unknown = sorted(home_regions - known)
            if unknown:
                _logger.warning(
                    "home regions not known", extra={"owner": name, "regions": unknown}
                )

    def _caller_limits(self) -> CallerLimits:
        table = self.routing_replica.table
        return table.config.limits if table is not None else CallerLimits()

    def _run_periodic_maintenance(self) -> None:
        """Remove expired endpoints and close stale connections, until killed."""
        while True:
            self._dependencies.clock.sleep(_MAINTENANCE_INTERVAL_S)
            self.endpoint_directory.remove_expired()
            self._pacing.log_changes()
            self._endpoint_connections.close_stale()
            self.crash_quarantine.remove_expired()
            self._stream_origin_sync.remove_expired()
