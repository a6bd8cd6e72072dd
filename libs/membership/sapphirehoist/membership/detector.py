"""SWIM-style failure detector: heartbeats to neighbours, indirect pings, suspicion."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.membership.fleet import Fleet
from sapphirehoist.membership.member import Member, MemberUpdate, Status
from sapphirehoist.membership.messages import Ack, IndirectAck, IndirectPing, Ping
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus


@dataclass(frozen=True, slots=True)
class DetectorConfig:
    """Intervals and timeouts of a `FailureDetector`.

    Attributes
    ----------
    heartbeat_interval_s : float
        Time between two heartbeats that a node sends.
    ack_timeout_s : float
        Timeout of a ping; an indirect ping takes up to twice as long.
    suspicion_timeout_s : float
        Time for which a member is suspected before it is declared dead.
    dead_probe_every : int
        One heartbeat in this many goes to a dead member, so that the two sides of a
        partition find each other again once it heals.
    gone_retention_s : float
        Time for which the update of a member that is gone is retained.
    """

    heartbeat_interval_s: float = 1.0
    ack_timeout_s: float = 0.5
    suspicion_timeout_s: float = 2.5
    dead_probe_every: int = 4
    gone_retention_s: float = 3600.0


class FailureDetector:
    """Sends one heartbeat per interval, independent of the size of the fleet.

    A neighbour that replies neither to a ping nor to indirect pings through other
    neighbours is suspected, and declared dead unless it refutes the suspicion in time.

    Parameters
    ----------
    fleet : Fleet
        Source of members, and receiver of membership updates.
    bus : PeerBus
        Sends messages to other daemons.
    clock : Clock
        Times the heartbeats.
    random : Random
        Shuffles the targets and selects relays of indirect pings.
    metrics : Metrics
        Receives the counters ``heartbeat_*_total``.
    config : DetectorConfig, optional
        Intervals and timeouts.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_fleet",
        "_gone_since",
        "_metrics",
        "_probe_count",
        "_probe_queue",
        "_random",
        "_suspected_since",
        "_config",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        config: DetectorConfig | None = None,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._config = config or DetectorConfig()
        self._probe_queue: list[Member] = []
        self._suspected_since: dict[tuple[str, int, int], float] = {}
        self._gone_since: dict[tuple[str, int], float] = {}
        self._probe_count = 0
        bus.subscribe(Ping, self._handle_ping)
        bus.subscribe(IndirectPing, self._handle_indirect_ping)

    def run(self) -> None:
        """Send heartbeats in a loop until the greenlet is killed."""
        self._clock.sleep(self._random.uniform(0, self._config.heartbeat_interval_s))
        while True:
            started_at = self._clock.monotonic()
            self._clock.sleep(self._config.heartbeat_interval_s)
            if self._was_paused(started_at):
                # Timeouts during a pause of this process do not show that other members
                # are unreachable.
                self._suspected_since.clear()
            self._expire_suspicions()
            self._purge_gone_members()
            target = self._next_target()
            if target is not None:
                gevent.spawn(self.probe, target)

    def probe(self, target: Member) -> None:
        """Ping `target`; suspect it if no direct or indirect ping gets a reply."""
        started_at = self._clock.monotonic()
        if self._ping(target) or self._was_paused(started_at):
            return
        if self._ping_indirectly(target):
            self._metrics.count("heartbeat_indirect_total")
            return
        if not self._was_paused(started_at):
            self._mark_suspect(target)

    def _was_paused(self, started_at: float) -> bool:
        """Return whether this process paused after the monotonic time `started_at`."""
        elapsed_s = self._clock.monotonic() - started_at
        max_probe_s = self._config.heartbeat_interval_s + 2 * self._config.ack_timeout_s
        return elapsed_s > max_probe_s + self._config.suspicion_timeout_s

    def _next_target(self) -> Member | None:
        self._probe_count += 1
        dead_members = self._fleet.dead_members()
        if dead_members and self._probe_count % self._config.dead_probe_every == 0:
            return self._random.choice(dead_members)
        neighbour_vms = {m.vm for m in self._fleet.neighbours()}
        while self._probe_queue:
            candidate = self._probe_queue.pop()
            if candidate.vm in neighbour_vms:
                return candidate
        self._probe_queue = list(self._fleet.neighbours())
        self._random.shuffle(self._probe_queue)
        return self._probe_queue.pop() if self._probe_queue else None

    def _ping(self, target: Member) -> bool:
        local_member = self._fleet.local_member
        ping = Ping(
            local_member.vm,
            local_member.incarnation,
            target.incarnation,
            self._fleet.read_digests(),
        )
        ack = self._bus.request(
            target.peer_address, ping, Ack, self._config.ack_timeout_s
        )
        if isinstance(ack, NoReply):
            self._metrics.count("heartbeat_missed_total")
            return False
        if ack.sender_update is not None:
            self._fleet.apply_update(ack.sender_update)
        if ack.incarnation != target.incarnation:
            return False
        self._fleet.compare_digests(target, ack.digests)
        return True

    def _ping_indirectly(self, target: Member) -> bool:
        candidates = [m for m in self._fleet.neighbours() if m.vm != target.vm]
        relays = self._random.sample(candidates, min(2, len(candidates)))
        tasks = [
            gevent.spawn(self._request_indirect_ping, relay, target) for relay in relays
        ]
        gevent.joinall(tasks)
        return any(task.value for task in tasks)

    def _request_indirect_ping(self, relay: Member, target: Member) -> bool:
        timeout_s = 2 * self._config.ack_timeout_s
        request = IndirectPing(target)
        reply = self._bus.request(relay.peer_address, request, IndirectAck, timeout_s)
        return isinstance(reply, IndirectAck) and reply.is_alive

    def _handle_ping(self, sender: str, ping: Ping) -> Ack:
        known = self._fleet.view.get(sender)
        if known is None or known.incarnation < ping.incarnation:
            # The sender refutes this suspicion with an update that contains its
            # addresses, and so becomes known to the fleet.
            suspicion = MemberUpdate(sender, ping.incarnation, 0, Status.SUSPECT)
            sender_update: MemberUpdate | None = suspicion
        else:
            sender_update = None if known.status is Status.ALIVE else known
            if known.member is not None and known.incarnation == ping.incarnation:
                self._fleet.compare_digests(known.member, ping.digests)
        local_member = self._fleet.local_member
        return Ack(local_member.incarnation, self._fleet.read_digests(), sender_update)

    def _handle_indirect_ping(self, sender: str, request: IndirectPing) -> IndirectAck:
        return IndirectAck(self._ping(request.target))

    def _mark_suspect(self, target: Member) -> None:
        known = self._fleet.view.get(target.vm)
        if known is None or known.status is not Status.ALIVE:
            return
        self._metrics.count("heartbeat_suspicions_total")
        self._fleet.apply_update(_with_status(known, Status.SUSPECT))

    def _expire_suspicions(self) -> None:
        """Declare the members dead whose suspicion timeout has passed."""
        now = self._clock.monotonic()
        suspected_since = {}
        for update in self._fleet.view.all_updates():
            if update.status is Status.SUSPECT:
                key = (update.vm, update.incarnation, update.sequence)
                suspected_since[key] = self._suspected_since.get(key, now)
                if now - suspected_since[key] >= self._config.suspicion_timeout_s:
                    self._fleet.apply_update(_with_status(update, Status.DEAD))
        self._suspected_since = suspected_since

    def _purge_gone_members(self) -> None:
        """Remove the members whose retention time has passed since they were gone."""
        now = self._clock.monotonic()
        gone_since = {}
        for update in self._fleet.view.all_updates():
            if update.status is Status.GONE:
                key = (update.vm, update.incarnation)
                gone_since[key] = self._gone_since.get(key, now)
                if now - gone_since[key] >= self._config.gone_retention_s:
                    self._fleet.view.remove_gone(update.vm)
        self._gone_since = gone_since


def _with_status(update: MemberUpdate, status: Status) -> MemberUpdate:
    return MemberUpdate(
        update.vm,
        update.incarnation,
        update.sequence,
        status,
        update.is_leaving,
        is_starting=update.is_starting,
    )
