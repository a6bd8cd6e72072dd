"""One node: all libraries wired on the interfaces that it was given."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from sapphirehoist.claims import ClaimRegistry, ClaimSweeper
from sapphirehoist.clock import HybridClock
from sapphirehoist.configuration import (
    Catalog,
    ConfigReplica,
    ConfigSpread,
    ConfigStore,
)
from sapphirehoist.decisions import ClassTargets, LoadBook, TeamShares
from sapphirehoist.endpoints import EndpointStanding, VmListWatch
from sapphirehoist.entry import (
    CallerApi,
    EntryDirectory,
    Gate,
    OperatorApi,
    OperatorParts,
)
from sapphirehoist.leases import Lease
from sapphirehoist.membership import (
    FailureDetector,
    Fleet,
    Member,
    MemberNews,
    Roster,
    Status,
)
from sapphirehoist.node.join import Joiner
from sapphirehoist.node.parts import NodeParts
from sapphirehoist.node.policies import (
    admission_policy,
    retry_policy,
    routing_policy,
)
from sapphirehoist.node.reaper import RosterReaper
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import PeerBus
from sapphirehoist.pipeline import (
    Accounts,
    EndpointPools,
    PipelineRunner,
    ResumeSigner,
    StageRunner,
    StreamRunner,
)
from sapphirehoist.pipeline.stages import StageParts
from sapphirehoist.settings import Settings

_SWEEP_INTERVAL_S = 10.0
_FLUSH_TIMEOUT_S = 5.0
_ROSTER_REMOVAL_TRIES = 3
_ROSTER_REMOVAL_PAUSE_S = 0.5

_logger = logging.getLogger(__name__)


class Node:
    """A daemon without its HTTP servers and process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    parts : NodeParts
        Clock, randomness, transport, platform and endpoints.

    See Also
    --------
    sapphirehoist.daemon.main : the program around it.
    """

    def __init__(self, settings: Settings, parts: NodeParts) -> None:
        self.settings = settings
        self._parts = parts
        self._tasks: list[gevent.Greenlet] = []
        self._is_stopping = False
        self.metrics = Metrics()
        hybrid = HybridClock(parts.clock)
        self.timeline = Timeline(settings.vm, hybrid)
        self._bus = PeerBus(
            settings.vm, parts.transport, parts.clock, hybrid, self.metrics
        )
        self._build_membership()
        self._build_configuration()
        self._build_duties()
        self._build_pipeline()
        self._build_entry()

    def start(self) -> None:
        """Start every task; the node joins the roster in one of them."""
        self._bus.start()
        for run in (
            self.joiner.run,
            self.detector.run,
            self.spread.run_backstop,
            self.joiner.run_backstop,
            self._watch.run,
            self._run_lease,
            self._run_sweeper,
        ):
            self._spawn(run)

    def stop(self) -> None:
        """Leave gracefully: cut off nothing, hand over duties, leave the roster.

        Callers may keep an entry answer for its time to live, so requests are taken
        until that has passed.
        """
        self._is_stopping = True
        self.timeline.record("stop_begun", self.settings.vm)
        _logger.info("stop begun")
        self.fleet.announce_leaving()
        self._lease.release()
        self._parts.clock.sleep(self.settings.entries_ttl_s)
        self.gate.close()
        is_idle = self.gate.wait_idle(self.settings.max_deadline_s)
        are_claims_stored = self.claims.flush(_FLUSH_TIMEOUT_S)
        self._leave_roster()
        self.timeline.record("stop_done", self.settings.vm)
        _logger.info(
            "stop done", extra={"idle": is_idle, "claims_stored": are_claims_stored}
        )
        self.kill()

    def kill(self) -> None:
        """Stop every task at once, as a crash does."""
        for task in self._tasks:
            task.kill(block=False)
        self._bus.close()

    def _build_membership(self) -> None:
        settings, parts = self.settings, self._parts
        member = Member(
            settings.vm,
            int(parts.clock.now().timestamp() * 1000),
            settings.region,
            settings.zone,
            settings.peers.advertise,
            settings.callers.url,
            settings.operators_listen.url,
        )
        self.fleet = Fleet(member, self._bus, self.metrics, self.timeline)
        self.detector = FailureDetector(
            self.fleet, self._bus, parts.clock, parts.random, self.metrics
        )
        self.roster = Roster(parts.table)
        self.fleet.on_change(self._on_member_change)

    def _build_configuration(self) -> None:
        parts = self._parts
        self.replica = ConfigReplica(self.timeline)
        self.store = ConfigStore(parts.table, parts.clock)
        self.spread = ConfigSpread(
            self.replica, self.store, self.fleet, self.roster, self._bus, parts.clock
        )
        self.joiner = Joiner(
            self.fleet,
            self.replica,
            self.store,
            self.spread,
            self.roster,
            self.settings.peers.seeds,
            parts.clock,
            self.timeline,
            self._on_joined,
        )
        self.replica.on_change(self._on_catalog)

    def _build_duties(self) -> None:
        parts = self._parts
        self.standing = EndpointStanding(
            self.fleet, self._bus, self.metrics, self.timeline
        )
        reaper = RosterReaper(self.fleet, self.roster)
        self._watch = VmListWatch(
            parts.vms, self.standing, reaper.compare, self._fleet_size, parts.clock
        )
        holder = f"{self.settings.vm}/{self.fleet.member.incarnation}"
        self._lease = Lease(
            "claim-sweep", holder, parts.table, parts.clock, self.timeline
        )
        self._sweeper = ClaimSweeper(
            parts.table, parts.objects, parts.clock, self.metrics
        )

    def _build_pipeline(self) -> None:
        settings, parts = self.settings, self._parts
        self.accounts = Accounts()
        self.loads = LoadBook(parts.clock)
        self.shares = TeamShares(parts.clock)
        self.pools = EndpointPools(
            settings.vm, settings.region, self.standing, self.loads
        )
        self.claims = ClaimRegistry(
            settings.vm,
            parts.table,
            parts.objects,
            parts.clock,
            parts.new_id,
            self.metrics,
        )
        targets = ClassTargets()
        stages = self._build_stages(targets)
        self.runner = PipelineRunner(
            stages,
            self.claims,
            admission_policy(settings.policies, targets),
            self.shares,
            targets,
            self.pools,
            self.accounts,
            parts.clock,
            self.metrics,
        )
        self._build_streams(stages)

    def _build_stages(self, targets: ClassTargets) -> StageRunner:
        settings, parts = self.settings, self._parts
        return StageRunner(
            StageParts(
                parts.client,
                self.pools,
                self.standing,
                routing_policy(settings.policies, parts.random),
                retry_policy(settings.policies),
                targets,
                self.accounts,
                parts.clock,
                self.metrics,
                self.timeline,
            )
        )

    def _build_streams(self, stages: StageRunner) -> None:
        parts = self._parts
        self.signer = ResumeSigner(self.settings.resume_secret)
        self.streams = StreamRunner(
            self.runner,
            stages,
            parts.client,
            self.pools,
            self.signer,
            self.fleet,
            self._bus,
            parts.clock,
            self.metrics,
        )

    def _build_entry(self) -> None:
        settings, parts = self.settings, self._parts
        self.gate = Gate(self.joiner.may_serve, parts.clock)
        self.directory = EntryDirectory(
            self.fleet, settings.entries_ttl_s, parts.random
        )
        self.caller_api = CallerApi(
            settings,
            self.replica,
            self.directory,
            self.gate,
            self.runner,
            self.streams,
            self.signer,
            parts.new_id,
            parts.clock,
            self.metrics,
        )
        self.operator_api = OperatorApi(
            settings.operators,
            OperatorParts(
                self.replica,
                self.store,
                self.spread,
                self.fleet,
                self.standing,
                self.gate,
                self.accounts,
                self.metrics,
                self.timeline,
            ),
        )

    def _spawn(self, run: Callable[[], None]) -> None:
        self._tasks.append(gevent.spawn(run))

    def _fleet_size(self) -> int:
        return len(self.fleet.present())

    def _on_catalog(self, catalog: Catalog) -> None:
        self.pools.use_catalog(catalog)
        self.runner.entitlements = {
            team.name: team.entitlement for team in catalog.teams()
        }

    def _on_joined(self) -> None:
        self.timeline.record("serving", self.settings.vm)

    def _on_member_change(self, news: MemberNews) -> None:
        """Join again if the fleet has given this incarnation up."""
        is_self = (news.vm, news.incarnation) == (
            self.fleet.member.vm,
            self.fleet.member.incarnation,
        )
        if not is_self or news.status is not Status.GONE or self._is_stopping:
            return
        self.joiner.is_on_roster = False
        self.timeline.record("evicted", self.settings.vm)
        _logger.warning("evicted from the roster; joining again")
        self.fleet.begin_incarnation(news.incarnation + 1)
        self._spawn(self.joiner.run)

    def _run_lease(self) -> None:
        self._lease.run(self._fleet_size)

    def _run_sweeper(self) -> None:
        while True:
            self._parts.clock.sleep(_SWEEP_INTERVAL_S)
            while self._lease.held() is not None and self._sweeper.sweep():
                pass

    def _leave_roster(self) -> None:
        for _ in range(_ROSTER_REMOVAL_TRIES):
            if self.roster.remove(self.fleet.member):
                break
            self._parts.clock.sleep(_ROSTER_REMOVAL_PAUSE_S)
        self.fleet.announce_gone()
