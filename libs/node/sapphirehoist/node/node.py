"""Builds one node from the components of all libraries and its dependencies."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from sapphirehoist.claims import ClaimRegistry, ClaimSweeper
from sapphirehoist.clock import HybridClock
from sapphirehoist.configuration import (
    Catalog,
    ConfigReplica,
    ConfigReplicator,
    ConfigStore,
)
from sapphirehoist.decisions import ClassStatistics, EndpointLoads, TeamShares
from sapphirehoist.endpoints import EndpointStatuses, VmListPoller
from sapphirehoist.entry import (
    CallerApi,
    EntryDirectory,
    OperatorApi,
    OperatorDependencies,
    RequestGate,
)
from sapphirehoist.leases import Lease
from sapphirehoist.membership import (
    FailureDetector,
    Fleet,
    Member,
    MemberUpdate,
    Roster,
    Status,
)
from sapphirehoist.node.dependencies import NodeDependencies
from sapphirehoist.node.policies import (
    create_admission_policy,
    create_retry_policy,
    create_routing_policy,
)
from sapphirehoist.node.restore_recovery import RestoreRecovery
from sapphirehoist.node.roster_joiner import RosterJoiner
from sapphirehoist.node.roster_reaper import RosterReaper
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import PeerBus
from sapphirehoist.pipeline import (
    EndpointPools,
    PipelineRunner,
    PipelineStats,
    ResumeSigner,
    StageRunner,
    StreamRunner,
)
from sapphirehoist.pipeline.stages import StageDependencies
from sapphirehoist.settings import Settings
from sapphirehoist.storage import RestoreGuard

_CLAIM_SWEEP_INTERVAL_S = 10.0
_CLAIM_FLUSH_TIMEOUT_S = 5.0
_ROSTER_REMOVAL_ATTEMPTS = 3
_ROSTER_REMOVAL_RETRY_DELAY_S = 0.5

_logger = logging.getLogger(__name__)


class Node:
    """One member of the fleet, without HTTP servers and process set-up.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    deps : NodeDependencies
        Clock, random generator, peer transport, platform services and endpoint client.

    See Also
    --------
    sapphirehoist.daemon.main : runs a node and its HTTP servers as a process.
    """

    def __init__(self, settings: Settings, deps: NodeDependencies) -> None:
        self.settings = settings
        self._deps = deps
        self._greenlets: list[gevent.Greenlet] = []
        self._is_stopping = False
        self.metrics = Metrics()
        hybrid_clock = HybridClock(deps.clock)
        self.timeline = Timeline(settings.vm, hybrid_clock)
        self._bus = PeerBus(
            settings.vm, deps.peer_transport, deps.clock, hybrid_clock, self.metrics
        )
        self._build_membership()
        self._build_configuration()
        self._build_maintenance()
        self._build_pipeline()
        self._build_entry()

    def start(self) -> None:
        """Start the background tasks; one of them joins the roster."""
        self._bus.start()
        for run in (
            self.roster_joiner.run,
            self.failure_detector.run,
            self.replicator.run_table_polling,
            self.roster_joiner.run_roster_polling,
            self._vm_list_poller.run,
            self._run_claim_sweep_lease,
            self._run_claim_sweeper,
        ):
            self._spawn(run)

    def stop(self) -> None:
        """Shut down gracefully: release the claim-sweep lease, drain, leave the roster.

        Callers may use a list of entries until its time to live has expired, so new
        requests are accepted until then.
        """
        self._is_stopping = True
        self.timeline.record("stop_begun", self.settings.vm)
        _logger.info("graceful shutdown started")
        self.fleet.announce_leaving()
        self._claim_sweep_lease.release()
        self._deps.clock.sleep(self.settings.entries_ttl_s)
        self.request_gate.close()
        is_idle = self.request_gate.wait_idle(self.settings.max_deadline_s)
        are_claims_stored = self.claim_registry.flush(_CLAIM_FLUSH_TIMEOUT_S)
        self._leave_fleet()
        self.timeline.record("stop_done", self.settings.vm)
        _logger.info(
            "graceful shutdown completed",
            extra={"idle": is_idle, "claims_stored": are_claims_stored},
        )
        self.kill()

    def kill(self) -> None:
        """Stop every task immediately and close the peer bus, as in a crash."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self._bus.close()

    def _build_membership(self) -> None:
        settings, deps = self.settings, self._deps
        member = Member(
            settings.vm,
            int(deps.clock.now().timestamp() * 1000),
            settings.region,
            settings.zone,
            settings.peers.advertise,
            settings.callers.url,
            settings.operators_listen.url,
        )
        self.fleet = Fleet(member, self._bus, self.metrics, self.timeline)
        self.failure_detector = FailureDetector(
            self.fleet, self._bus, deps.clock, deps.random, self.metrics
        )
        self.roster = Roster(deps.table_service)
        self.fleet.on_change(self._rejoin_if_evicted)

    def _build_configuration(self) -> None:
        deps = self._deps
        self.config_replica = ConfigReplica(self.timeline)
        self._restore_guard = RestoreGuard(deps.table_service, deps.clock)
        self.config_store = ConfigStore(
            deps.table_service, deps.clock, self._restore_guard
        )
        self.replicator = ConfigReplicator(
            self.config_replica,
            self.config_store,
            self.fleet,
            self.roster,
            self._bus,
            deps.clock,
        )
        self.roster_joiner = RosterJoiner(
            self.fleet,
            self.config_replica,
            self.config_store,
            self.replicator,
            self.roster,
            self.settings.peers.seeds,
            deps.clock,
            self.timeline,
            self._record_serving,
        )
        self.config_replica.on_change(self._apply_catalog)
        RestoreRecovery(
            deps.table_service.era,
            self.fleet,
            self.replicator,
            self.roster_joiner,
            deps.clock,
            deps.random,
            self.timeline,
        )

    def _build_maintenance(self) -> None:
        deps = self._deps
        self.endpoint_statuses = EndpointStatuses(
            self.fleet, self._bus, self.metrics, self.timeline
        )
        reaper = RosterReaper(self.fleet, self.roster)
        self._vm_list_poller = VmListPoller(
            deps.vm_list,
            self.endpoint_statuses,
            reaper.remove_unlisted_members,
            self._fleet_size,
            deps.clock,
        )
        lease_holder = f"{self.settings.vm}/{self.fleet.local_member.incarnation}"
        self._claim_sweep_lease = Lease(
            "claim-sweep", lease_holder, deps.table_service, deps.clock, self.timeline
        )
        self._claim_sweeper = ClaimSweeper(
            deps.table_service, deps.object_store, deps.clock, self.metrics
        )

    def _build_pipeline(self) -> None:
        settings, deps = self.settings, self._deps
        self.pipeline_stats = PipelineStats()
        self.endpoint_loads = EndpointLoads(deps.clock)
        self.team_shares = TeamShares(deps.clock)
        self.endpoint_pools = EndpointPools(
            settings.vm, settings.region, self.endpoint_statuses, self.endpoint_loads
        )
        self.claim_registry = ClaimRegistry(
            settings.vm,
            deps.table_service,
            deps.object_store,
            deps.clock,
            deps.new_id,
            self.metrics,
            self._restore_guard,
        )
        class_statistics = ClassStatistics()
        stage_runner = self._build_stage_runner(class_statistics)
        self.pipeline_runner = PipelineRunner(
            stage_runner,
            self.claim_registry,
            create_admission_policy(settings.policies, class_statistics),
            self.team_shares,
            class_statistics,
            self.endpoint_pools,
            self.pipeline_stats,
            deps.clock,
            self.metrics,
        )
        self._build_stream_runner(stage_runner)

    def _build_stage_runner(self, class_statistics: ClassStatistics) -> StageRunner:
        settings, deps = self.settings, self._deps
        return StageRunner(
            StageDependencies(
                deps.endpoint_client,
                self.endpoint_pools,
                self.endpoint_statuses,
                create_routing_policy(settings.policies, deps.random),
                create_retry_policy(settings.policies),
                class_statistics,
                self.pipeline_stats,
                deps.clock,
                self.metrics,
                self.timeline,
            )
        )

    def _build_stream_runner(self, stage_runner: StageRunner) -> None:
        deps = self._deps
        self.resume_signer = ResumeSigner(self.settings.resume_secret)
        self.stream_runner = StreamRunner(
            self.pipeline_runner,
            stage_runner,
            deps.endpoint_client,
            self.endpoint_pools,
            self.resume_signer,
            self.fleet,
            self._bus,
            deps.clock,
            self.metrics,
        )

    def _build_entry(self) -> None:
        settings, deps = self.settings, self._deps
        self.request_gate = RequestGate(self.roster_joiner.may_serve, deps.clock)
        self.entry_directory = EntryDirectory(
            self.fleet, settings.entries_ttl_s, deps.random
        )
        self.caller_api = CallerApi(
            settings,
            self.config_replica,
            self.entry_directory,
            self.request_gate,
            self.pipeline_runner,
            self.stream_runner,
            self.resume_signer,
            deps.new_id,
            deps.clock,
            self.metrics,
        )
        self.operator_api = OperatorApi(
            settings.operators,
            OperatorDependencies(
                self.config_replica,
                self.config_store,
                self.replicator,
                self.fleet,
                self.endpoint_statuses,
                self.request_gate,
                self.pipeline_stats,
                self.metrics,
                self.timeline,
            ),
        )

    def _spawn(self, run: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(run))

    def _fleet_size(self) -> int:
        return len(self.fleet.present_members())

    def _apply_catalog(self, catalog: Catalog) -> None:
        self.endpoint_pools.apply_catalog(catalog)
        self.pipeline_runner.entitlements = {
            team.name: team.entitlement for team in catalog.teams()
        }

    def _record_serving(self) -> None:
        self.timeline.record("serving", self.settings.vm)

    def _rejoin_if_evicted(self, update: MemberUpdate) -> None:
        """Join as a new incarnation if the fleet has removed the current one."""
        is_local_incarnation = (update.vm, update.incarnation) == (
            self.fleet.local_member.vm,
            self.fleet.local_member.incarnation,
        )
        if (
            not is_local_incarnation
            or update.status is not Status.GONE
            or self._is_stopping
        ):
            return
        self.roster_joiner.is_on_roster = False
        self.timeline.record("evicted", self.settings.vm)
        _logger.warning("evicted from the roster; rejoining as a new incarnation")
        self.fleet.begin_incarnation(update.incarnation + 1)
        self._spawn(self.roster_joiner.run)

    def _run_claim_sweep_lease(self) -> None:
        self._claim_sweep_lease.run(self._fleet_size)

    def _run_claim_sweeper(self) -> None:
        while True:
            self._deps.clock.sleep(_CLAIM_SWEEP_INTERVAL_S)
            while (
                self._claim_sweep_lease.held() is not None
                and self._claim_sweeper.sweep()
            ):
                pass

    def _leave_fleet(self) -> None:
        for _ in range(_ROSTER_REMOVAL_ATTEMPTS):
            if self.roster.remove(self.fleet.local_member):
                break
            self._deps.clock.sleep(_ROSTER_REMOVAL_RETRY_DELAY_S)
        self.fleet.announce_gone()
