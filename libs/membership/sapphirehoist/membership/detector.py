"""Failure detection by heartbeats to neighbours, with suspicion before death."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.membership.fleet import Fleet
from sapphirehoist.membership.member import Member, MemberNews, Status
from sapphirehoist.membership.messages import Ack, IndirectAck, IndirectPing, Ping
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus


@dataclass(frozen=True, slots=True)
class DetectorTimes:
    """Periods and timeouts, in seconds.

    Attributes
    ----------
    interval_s : float
        Between two heartbeats that a node sends.
    ack_timeout_s : float
        Wait for a direct or an indirect answer.
    suspicion_s : float
        How long a member is suspected before it is declared dead.
    dead_probe_every : int
        One heartbeat in this many goes to a dead member, which heals a partition.
    keep_gone_s : float
        How long news of a member that is gone is kept.
    """

    interval_s: float = 1.0
    ack_timeout_s: float = 0.5
    suspicion_s: float = 2.5
    dead_probe_every: int = 4
    keep_gone_s: float = 3600.0


class FailureDetector:
    """Sends one heartbeat per interval, whatever the size of the fleet.

    Parameters
    ----------
    fleet : Fleet
        Where members come from and news goes to.
    bus : PeerBus
        Messages between daemons.
    clock : Clock
        Paces the heartbeats.
    random : Random
        Orders the heartbeats.
    metrics : Metrics
        Takes the counters ``heartbeat_*_total``.
    times : DetectorTimes
        Periods and timeouts.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_cycle",
        "_fleet",
        "_gone_at",
        "_metrics",
        "_random",
        "_suspected_at",
        "_ticks",
        "_times",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        times: DetectorTimes | None = None,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._times = times or DetectorTimes()
        self._cycle: list[Member] = []
        self._suspected_at: dict[tuple[str, int, int], float] = {}
        self._gone_at: dict[tuple[str, int], float] = {}
        self._ticks = 0
        bus.subscribe(Ping, self._handle_ping)
        bus.subscribe(IndirectPing, self._handle_indirect_ping)

    def run(self) -> None:
        """Send heartbeats until killed."""
        self._clock.sleep(self._random.uniform(0, self._times.interval_s))
        while True:
            started = self._clock.monotonic()
            self._clock.sleep(self._times.interval_s)
            if self._was_paused(started):
                # What timed out during a pause says nothing about the others.
                self._suspected_at.clear()
            self._declare_dead()
            self._forget_gone()
            target = self._next_target()
            if target is not None:
                gevent.spawn(self.probe, target)

    def probe(self, target: Member) -> None:
        """Send one heartbeat and suspect `target` if nobody can reach it."""
        started = self._clock.monotonic()
        if self._ping(target) or self._was_paused(started):
            return
        if self._ping_indirectly(target):
            self._metrics.count("heartbeat_indirect_total")
            return
        if not self._was_paused(started):
            self._suspect(target)

    def _was_paused(self, started: float) -> bool:
        elapsed = self._clock.monotonic() - started
        longest = self._times.interval_s + 2 * self._times.ack_timeout_s
        return elapsed > longest + self._times.suspicion_s

    def _next_target(self) -> Member | None:
        self._ticks += 1
        dead = self._fleet.dead()
        if dead and self._ticks % self._times.dead_probe_every == 0:
            return self._random.choice(dead)
        present = {m.vm for m in self._fleet.neighbours()}
        while self._cycle:
            candidate = self._cycle.pop()
            if candidate.vm in present:
                return candidate
        self._cycle = list(self._fleet.neighbours())
        self._random.shuffle(self._cycle)
        return self._cycle.pop() if self._cycle else None

    def _ping(self, target: Member) -> bool:
        me = self._fleet.member
        ping = Ping(
            me.vm, me.incarnation, target.incarnation, self._fleet.read_digests()
        )
        ack = self._bus.ask(target.peer_address, ping, Ack, self._times.ack_timeout_s)
        if isinstance(ack, NoReply):
            self._metrics.count("heartbeat_missed_total")
            return False
        if ack.about_you is not None:
            self._fleet.learn(ack.about_you)
        if ack.incarnation != target.incarnation:
            return False
        self._fleet.compare_digests(target, ack.digests)
        return True

    def _ping_indirectly(self, target: Member) -> bool:
        others = [m for m in self._fleet.neighbours() if m.vm != target.vm]
        helpers = self._random.sample(others, min(2, len(others)))
        tasks = [gevent.spawn(self._ask_helper, h, target) for h in helpers]
        gevent.joinall(tasks)
        return any(task.value for task in tasks)

    def _ask_helper(self, helper: Member, target: Member) -> bool:
        timeout_s = 2 * self._times.ack_timeout_s
        request = IndirectPing(target)
        answer = self._bus.ask(helper.peer_address, request, IndirectAck, timeout_s)
        return isinstance(answer, IndirectAck) and answer.is_alive

    def _handle_ping(self, sender: str, ping: Ping) -> Ack:
        known = self._fleet.view.get(sender)
        if known is None or known.incarnation < ping.incarnation:
            # The sender refutes this, and so makes itself known to the fleet.
            suspected = MemberNews(sender, ping.incarnation, 0, Status.SUSPECT)
            about_sender: MemberNews | None = suspected
        else:
            about_sender = None if known.status is Status.ALIVE else known
            if known.member is not None and known.incarnation == ping.incarnation:
                self._fleet.compare_digests(known.member, ping.digests)
        me = self._fleet.member
        return Ack(me.incarnation, self._fleet.read_digests(), about_sender)

    def _handle_indirect_ping(self, sender: str, request: IndirectPing) -> IndirectAck:
        return IndirectAck(self._ping(request.target))

    def _suspect(self, target: Member) -> None:
        known = self._fleet.view.get(target.vm)
        if known is None or known.status is not Status.ALIVE:
            return
        self._metrics.count("heartbeat_suspicions_total")
        self._fleet.learn(_with_status(known, Status.SUSPECT))

    def _declare_dead(self) -> None:
        """Declare each member dead whose suspicion has lasted long enough."""
        now = self._clock.monotonic()
        suspected = {}
        for news in self._fleet.view.all_news():
            if news.status is Status.SUSPECT:
                key = (news.vm, news.incarnation, news.counter)
                suspected[key] = self._suspected_at.get(key, now)
                if now - suspected[key] >= self._times.suspicion_s:
                    self._fleet.learn(_with_status(news, Status.DEAD))
        self._suspected_at = suspected

    def _forget_gone(self) -> None:
        """Forget members that have been gone for long enough."""
        now = self._clock.monotonic()
        gone_at = {}
        for news in self._fleet.view.all_news():
            if news.status is Status.GONE:
                key = (news.vm, news.incarnation)
                gone_at[key] = self._gone_at.get(key, now)
                if now - gone_at[key] >= self._times.keep_gone_s:
                    self._fleet.view.forget(news.vm)
        self._gone_at = gone_at


def _with_status(news: MemberNews, status: Status) -> MemberNews:
    return MemberNews(
        news.vm,
        news.incarnation,
        news.counter,
        status,
        news.is_leaving,
        is_starting=news.is_starting,
    )
