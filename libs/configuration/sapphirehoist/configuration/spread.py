"""Spreads committed versions among members and collects reports.

A commit floods a short announcement; each node pulls the changes that it lacks from
the member that told it. Versions ride on heartbeats as a digest, and a slow read of
the table is the backstop.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.acceptance import Acceptance, AcceptanceTracker
from sapphirehoist.configuration.messages import (
    ChangesReply,
    ChangesRequest,
    ConfigAnnounced,
    InForceReport,
    InForceRequest,
)
from sapphirehoist.configuration.replica import ConfigReplica
from sapphirehoist.configuration.store import ConfigStore
from sapphirehoist.configuration.vouching import Vouching
from sapphirehoist.membership import Digest, Fleet, Member, Roster
from sapphirehoist.peers import NoReply, PeerBus
from sapphirehoist.storage import Unavailable

_PULL_TIMEOUT_S = 2.0
_REPORT_TIMEOUT_S = 1.0
_POLL_PAUSE_S = 0.5
_BACKSTOP_LEAST_S = 10.0
_BACKSTOP_PER_MEMBER_S = 0.3


class ConfigSpread:
    """Keeps this node's replica at the newest version and answers for it.

    Parameters
    ----------
    replica : ConfigReplica
        What is in force here.
    store : ConfigStore
        The table's copy.
    fleet : Fleet
        The other members.
    roster : Roster
        Whose reports acceptance waits for.
    bus : PeerBus
        Messages between daemons.
    clock : Clock
        Paces polls and the backstop.

    Attributes
    ----------
    vouching : Vouching
        Counts nodes that cannot reach the table yet.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_fleet",
        "_origins",
        "_replica",
        "_roster",
        "_store",
        "_tracker",
        "vouching",
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
        self.vouching = Vouching(replica, fleet, bus, clock, self._report_to_origins)
        self._origins: dict[int, str] = {}
        fleet.add_digest(Digest("config", self._read_version, self._reconcile))
        bus.subscribe(ConfigAnnounced, self._handle_announced)
        bus.subscribe(ChangesRequest, self._handle_changes_request)
        bus.subscribe(InForceReport, self._handle_report)
        bus.subscribe(InForceRequest, self._handle_report_request)

    def announce(self) -> None:
        """Tell every member that this node holds a newly committed version."""
        me = self._fleet.member.peer_address
        self._fleet.publish(ConfigAnnounced(self._replica.version, me, me))

    def wait_accepted(
        self,
        version: int,
        timeout_s: float,
        on_progress: Callable[[Acceptance], None] | None = None,
    ) -> Acceptance | Unavailable:
        """Wait until every member of the roster reports `version` in force.

        Returns
        -------
        Acceptance or Unavailable
            The last known state; members may still be missing after `timeout_s`.
            `Unavailable` where the roster could not be read.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            roster = self._roster.read()
            if not isinstance(roster, Unavailable):
                state = self._check(version, roster)
                if on_progress is not None:
                    on_progress(state)
                if state.is_accepted:
                    return state
                self._poll_missing(state, roster)
                state = self._check(version, roster)
                if state.is_accepted:
                    continue  # the roster is read again before acceptance is told
            if self._clock.monotonic() >= deadline:
                return roster if isinstance(roster, Unavailable) else state
            self._clock.sleep(_POLL_PAUSE_S)

    def run_backstop(self) -> None:
        """Read the head of the table now and then, until killed.

        A node reads less often as the fleet grows; what one node reads, all learn.
        """
        while True:
            wanted_s = _BACKSTOP_PER_MEMBER_S * len(self._fleet.present())
            self._clock.sleep(max(_BACKSTOP_LEAST_S, wanted_s))
            self.catch_up_from_table()

    def catch_up_from_table(self) -> bool:
        """Put in force what the table has; return whether the table answered."""
        head = self._store.read_head()
        if isinstance(head, Unavailable):
            return False
        if head <= self._replica.version:
            return True
        changes = self._store.read_changes(self._replica.version, head)
        if not isinstance(changes, Unavailable):
            self._apply(ChangesReply(changes))
        if self._replica.version < head:
            loaded = self._store.load()
            if isinstance(loaded, Unavailable):
                return False
            self._apply(ChangesReply([], loaded.catalog.snapshot()))
        return True

    def has_version(self, version: int) -> bool:
        """Return whether `version` exists, as far as this node or the table knows."""
        if version > self._replica.version:
            self.catch_up_from_table()
        return version <= self._replica.version

    def pull(self, address: str) -> bool:
        """Fetch the changes that this node lacks from `address`."""
        request = ChangesRequest(self._replica.version)
        reply = self._bus.ask(address, request, ChangesReply, _PULL_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return False
        self._apply(reply)
        return True

    def _apply(self, reply: ChangesReply) -> None:
        if reply.snapshot is not None:
            self._replica.apply_snapshot(reply.snapshot)
        for change in sorted(reply.changes, key=lambda change: change.version):
            self._replica.apply_change(change)
        self._report_to_origins()

    def _check(self, version: int, roster: list[Member]) -> Acceptance:
        me = self._fleet.member
        self._tracker.forget_absent(roster)
        self._tracker.report(me.vm, me.incarnation, self.vouching.counted_version())
        return self._tracker.check(version, roster)

    def _poll_missing(self, state: Acceptance, roster: list[Member]) -> None:
        tasks = [
            gevent.spawn(self._poll, member, state.version)
            for member in roster
            if member.vm in state.missing and member.vm != self._fleet.member.vm
        ]
        gevent.joinall(tasks)

    def _poll(self, member: Member, version: int) -> None:
        request = InForceRequest(version, self._fleet.member.peer_address)
        report = self._bus.ask(
            member.peer_address, request, InForceReport, _REPORT_TIMEOUT_S
        )
        if isinstance(report, InForceReport):
            self._handle_report(member.vm, report)

    def _read_version(self) -> int:
        return self._replica.version

    def _reconcile(self, member: Member, theirs: int) -> None:
        if theirs > self._replica.version:
            self.pull(member.peer_address)

    def _report(self) -> InForceReport:
        me = self._fleet.member
        return InForceReport(me.vm, me.incarnation, self.vouching.counted_version())

    def _report_to_origins(self) -> None:
        version = self.vouching.counted_version()
        due = [wanted for wanted in self._origins if wanted <= version]
        for address in {self._origins.pop(wanted) for wanted in due}:
            self._bus.tell(address, self._report())

    def _handle_announced(self, sender: str, news: ConfigAnnounced) -> None:
        if news.version <= self._replica.version or news.version in self._origins:
            return
        self._origins[news.version] = news.origin
        me = self._fleet.member.peer_address
        if self.pull(news.source):
            forward = ConfigAnnounced(news.version, me, news.origin)
            self._fleet.publish(forward, exclude=sender)

    def _handle_changes_request(
        self, sender: str, request: ChangesRequest
    ) -> ChangesReply:
        changes = self._replica.changes_since(request.version)
        if changes is None:
            return ChangesReply([], self._replica.catalog.snapshot())
        return ChangesReply(changes)

    def _handle_report(self, sender: str, report: InForceReport) -> None:
        self._tracker.report(report.vm, report.incarnation, report.version)

    def _handle_report_request(
        self, sender: str, request: InForceRequest
    ) -> InForceReport:
        if request.version > self._replica.version:
            self.pull(request.source)
        return self._report()
