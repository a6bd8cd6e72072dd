"""Replicates committed versions among members and collects their reports.

A commit floods a short announcement; each node pulls the changes that it lacks from
the member that sent the announcement. Heartbeats carry the version in force as a
digest. Each node also polls the table at a low rate, in case neither an announcement
nor a heartbeat reaches it.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.acceptance import Acceptance, AcceptanceTracker
from sapphirehoist.configuration.messages import (
    ChangesReply,
    ChangesRequest,
    ConfigAnnouncement,
    InForceReport,
    InForceRequest,
)
from sapphirehoist.configuration.replica import ConfigReplica
from sapphirehoist.configuration.sponsorship import Sponsorship
from sapphirehoist.configuration.store import ConfigStore
from sapphirehoist.membership import Digest, Fleet, Member, Roster
from sapphirehoist.peers import NoReply, PeerBus
from sapphirehoist.storage import Unavailable

_PULL_TIMEOUT_S = 2.0
_REPORT_TIMEOUT_S = 1.0
_ACCEPTANCE_POLL_INTERVAL_S = 0.5
_TABLE_POLL_MIN_INTERVAL_S = 10.0
_TABLE_POLL_INTERVAL_PER_MEMBER_S = 0.3


class ConfigReplicator:
    """Keeps this node's replica at the latest version and reports the one in force.

    Parameters
    ----------
    replica : ConfigReplica
        The configuration in force on this node.
    store : ConfigStore
        The configuration in the table.
    fleet : Fleet
        The known members.
    roster : Roster
        The members that must apply a version before it is accepted.
    bus : PeerBus
        Message bus between daemons.
    clock : Clock
        Source of monotonic time and polling delays.

    Attributes
    ----------
    sponsorship : Sponsorship
        Sponsorship of nodes that cannot reach the table yet.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_fleet",
        "_origin_by_version",
        "_replica",
        "_roster",
        "_store",
        "_tracker",
        "sponsorship",
    )

    def __init__(
        self,
        replica: ConfigReplica,
        store: ConfigStore,
        fleet: Fleet,
        roster: Roster,
        bus: PeerBus,
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._store = store
        self._fleet = fleet
        self._roster = roster
        self._bus = bus
        self._clock = clock
        self._tracker = AcceptanceTracker()
        self.sponsorship = Sponsorship(
            replica, fleet, bus, clock, self._report_to_origins
        )
        self._origin_by_version: dict[int, str] = {}
        fleet.add_digest(Digest("config", self._read_version, self._reconcile))
        bus.subscribe(ConfigAnnouncement, self._handle_announcement)
        bus.subscribe(ChangesRequest, self._handle_changes_request)
        bus.subscribe(InForceReport, self._handle_report)
        bus.subscribe(InForceRequest, self._handle_report_request)

    def announce(self) -> None:
        """Announce the version in force on this node to every member."""
        local_address = self._fleet.local_member.peer_address
        self._fleet.broadcast(
            ConfigAnnouncement(self._replica.version, local_address, local_address)
        )

    def wait_accepted(
        self,
        version: int,
        timeout_s: float,
        on_progress: Callable[[Acceptance], None] | None = None,
    ) -> Acceptance | Unavailable:
        """Wait until every member of the roster reports `version` as in force.

        Parameters
        ----------
        version : int
            The committed version.
        timeout_s : float
            Longest wait, in seconds.
        on_progress : callable, optional
            Called with the acceptance state after each successful read of the roster.

        Returns
        -------
        Acceptance or Unavailable
            The last known state; members may still be missing after `timeout_s`.
            `Unavailable` if the last read of the roster failed.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            roster = self._roster.read()
            if not isinstance(roster, Unavailable):
                state = self._check_acceptance(version, roster)
                if on_progress is not None:
                    on_progress(state)
                if state.is_accepted:
                    return state
                self._poll_missing_members(state, roster)
                state = self._check_acceptance(version, roster)
                if state.is_accepted:
                    continue  # reread the roster before reporting acceptance
            if self._clock.monotonic() >= deadline:
                return roster if isinstance(roster, Unavailable) else state
            self._clock.sleep(_ACCEPTANCE_POLL_INTERVAL_S)

    def run_table_polling(self) -> None:
        """Poll the table for new versions until the task is killed.

        The interval grows with the fleet, since a version that one node reads reaches
        all others through heartbeats.
        """
        while True:
            interval_s = _TABLE_POLL_INTERVAL_PER_MEMBER_S * len(
                self._fleet.present_members()
            )
            self._clock.sleep(max(_TABLE_POLL_MIN_INTERVAL_S, interval_s))
            self.catch_up_from_table()

    def catch_up_from_table(self) -> bool:
        """Apply the latest version in the table; return whether the table was read."""
        head_version = self._store.read_head_version()
        if isinstance(head_version, Unavailable):
            return False
        if head_version <= self._replica.version:
            return True
        changes = self._store.read_changes(self._replica.version, head_version)
        if not isinstance(changes, Unavailable):
            self._apply_changes(ChangesReply(changes))
        if self._replica.version < head_version:
            loaded = self._store.load()
            if isinstance(loaded, Unavailable):
                return False
            self._apply_changes(ChangesReply([], loaded.catalog.snapshot()))
        return True

    def restore_lost_versions(self) -> bool:
        """Write versions in force that a restored table has lost.

        Returns
        -------
        bool
            Whether the table has the version in force on this node.
        """
        head_version = self._store.read_head_version()
        if isinstance(head_version, Unavailable):
            return False
        if head_version >= self._replica.version:
            return True
        changes = self._replica.changes_since(head_version)
        if changes is None:
            return self._store.write_again(self._replica.catalog)
        return all(self._store.commit_again(change) for change in changes)

    def has_version(self, version: int) -> bool:
        """Return whether `version` is known to exist, reading the table if needed."""
        if version > self._replica.version:
            self.catch_up_from_table()
        return version <= self._replica.version

    def pull(self, address: str) -> bool:
        """Fetch missing changes from `address`; return whether it replied."""
        request = ChangesRequest(self._replica.version)
        reply = self._bus.request(address, request, ChangesReply, _PULL_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return False
        self._apply_changes(reply)
        return True

    def _apply_changes(self, reply: ChangesReply) -> None:
        if reply.snapshot is not None:
            self._replica.apply_snapshot(reply.snapshot)
        for change in sorted(reply.changes, key=lambda change: change.version):
            self._replica.apply_change(change)
        self._report_to_origins()

    def _check_acceptance(self, version: int, roster: list[Member]) -> Acceptance:
        local_member = self._fleet.local_member
        self._tracker.discard_departed(roster)
        self._tracker.record_report(
            local_member.vm,
            local_member.incarnation,
            self.sponsorship.reported_version(),
        )
        return self._tracker.check(version, roster)

    def _poll_missing_members(self, state: Acceptance, roster: list[Member]) -> None:
        tasks = [
            gevent.spawn(self._poll_member, member, state.version)
            for member in roster
            if member.vm in state.missing and member.vm != self._fleet.local_member.vm
        ]
        gevent.joinall(tasks)

    def _poll_member(self, member: Member, version: int) -> None:
        request = InForceRequest(version, self._fleet.local_member.peer_address)
        report = self._bus.request(
            member.peer_address, request, InForceReport, _REPORT_TIMEOUT_S
        )
        if isinstance(report, InForceReport):
            self._handle_report(member.vm, report)

    def _read_version(self) -> int:
        return self._replica.version

    def _reconcile(self, member: Member, remote_version: int) -> None:
        if remote_version > self._replica.version:
            self.pull(member.peer_address)

    def _build_report(self) -> InForceReport:
        local_member = self._fleet.local_member
        return InForceReport(
            local_member.vm,
            local_member.incarnation,
            self.sponsorship.reported_version(),
        )

    def _report_to_origins(self) -> None:
        version = self.sponsorship.reported_version()
        reached_versions = [
            announced for announced in self._origin_by_version if announced <= version
        ]
        for address in {
            self._origin_by_version.pop(announced) for announced in reached_versions
        }:
            self._bus.notify(address, self._build_report())

    def _handle_announcement(
        self, sender: str, announcement: ConfigAnnouncement
    ) -> None:
        if (
            announcement.version <= self._replica.version
            or announcement.version in self._origin_by_version
        ):
            return
        self._origin_by_version[announcement.version] = announcement.origin
        local_address = self._fleet.local_member.peer_address
        if self.pull(announcement.source):
            forward = ConfigAnnouncement(
                announcement.version, local_address, announcement.origin
            )
            self._fleet.broadcast(forward, exclude_vm=sender)

    def _handle_changes_request(
        self, sender: str, request: ChangesRequest
    ) -> ChangesReply:
        changes = self._replica.changes_since(request.version)
        if changes is None:
            return ChangesReply([], self._replica.catalog.snapshot())
        return ChangesReply(changes)

    def _handle_report(self, sender: str, report: InForceReport) -> None:
        self._tracker.record_report(report.vm, report.incarnation, report.version)

    def _handle_report_request(
        self, sender: str, request: InForceRequest
    ) -> InForceReport:
        if request.version > self._replica.version:
            self.pull(request.source)
        return self._build_report()
