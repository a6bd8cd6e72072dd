"""The fleet as seen by one node: members, neighbours, news and digests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent

from sapphirehoist.membership.member import Member, MemberNews, Status
from sapphirehoist.membership.messages import ViewReply, ViewRequest
from sapphirehoist.membership.overlay import finger_neighbours
from sapphirehoist.membership.view import MemberView
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

M = TypeVar("M", bound=PeerMessage)

_VIEW_TIMEOUT_S = 2.0
_PRESENT = (Status.ALIVE, Status.SUSPECT)


@dataclass(frozen=True, slots=True)
class Digest:
    """State that neighbours compare on every heartbeat.

    Attributes
    ----------
    name : str
        Label in counters.
    read : callable
        Returns the local digest.
    reconcile : callable
        Called with a member and its digest where the two differ.
    """

    name: str
    read: Callable[[], int]
    reconcile: Callable[[Member, int], None]


class Fleet:
    """Membership as other libraries use it.

    News floods over the neighbours: a node forwards news only if it was new to it, so
    each news crosses each link at most once. Digests on heartbeats repair what a cut
    link or a dead neighbour kept from arriving.

    Parameters
    ----------
    member : Member
        This node.
    bus : PeerBus
        Messages between daemons.
    metrics : Metrics
        Takes the counters ``fleet_*_total``.
    timeline : Timeline
        Takes changes of status.
    is_starting : bool
        Whether this node cannot serve until it says so.
    """

    __slots__ = (
        "_bus",
        "_counter",
        "_digests",
        "_is_leaving",
        "_is_starting",
        "_listeners",
        "_metrics",
        "_neighbours",
        "_reconciling",
        "_timeline",
        "member",
        "view",
    )

    def __init__(
        self,
        member: Member,
        bus: PeerBus,
        metrics: Metrics,
        timeline: Timeline,
        is_starting: bool = False,
    ) -> None:
        self.member = member
        self.view = MemberView()
        self._bus = bus
        self._metrics = metrics
        self._timeline = timeline
        self._counter = 0
        self._is_leaving = False
        self._is_starting = is_starting
        self._digests: list[Digest] = []
        self._listeners: list[Callable[[MemberNews], None]] = []
        self._neighbours: list[Member] | None = None
        self._reconciling: set[str] = set()
        self.subscribe_news(MemberNews, self._take_news)
        bus.subscribe(ViewRequest, self._handle_view_request)
        self.add_digest(Digest("view", self.view.digest, self._reconcile_view))
        self.view.merge(self.news_of_self())

    def news_of_self(self) -> MemberNews:
        """Return the news that this node is alive."""
        return MemberNews(
            self.member.vm,
            self.member.incarnation,
            self._counter,
            Status.ALIVE,
            self._is_leaving,
            self.member,
            self._is_starting,
        )

    def announce(self) -> None:
        """Tell the fleet that this node is alive."""
        self.publish(self.news_of_self())

    def announce_serving(self) -> None:
        """Tell the fleet that callers may be sent to this node."""
        self._is_starting = False
        self._counter += 1
        self.learn(self.news_of_self())

    def announce_leaving(self) -> None:
        """Tell the fleet that this node will stop."""
        self._is_leaving = True
        self._counter += 1
        self.learn(self.news_of_self())

    def announce_gone(self) -> None:
        """Tell the fleet that this node has stopped serving."""
        gone = self.news_of_self()
        self.publish(MemberNews(gone.vm, gone.incarnation, gone.counter, Status.GONE))

    def present(self) -> list[Member]:
        """Return all members that are alive or suspected, this one included."""
        return self.view.members(*_PRESENT)

    def others(self) -> list[Member]:
        """Return the present members but this one."""
        return [m for m in self.present() if m.vm != self.member.vm]

    def dead(self) -> list[Member]:
        """Return the members that are believed dead but not known to be gone."""
        return self.view.members(Status.DEAD)

    def is_present(self, vm: str) -> bool:
        """Return whether `vm` is alive or only suspected, leaving or not."""
        news = self.view.get(vm)
        return news is not None and news.status in _PRESENT

    def is_serving(self, vm: str) -> bool:
        """Return whether new callers may be sent to `vm`."""
        news = self.view.get(vm)
        if news is None or news.status is not Status.ALIVE:
            return False
        return not (news.is_leaving or news.is_starting)

    def meet(self, address: str) -> bool:
        """Take the view of the daemon at `address`; return whether it answered."""
        request = ViewRequest(self.view.bucket_digests())
        reply = self._bus.ask(address, request, ViewReply, _VIEW_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return False
        for news in reply.news:
            self.learn(news)
        return True

    def neighbours(self) -> list[Member]:
        """Return the members that this node sends heartbeats and news to."""
        if self._neighbours is None:
            self._neighbours = finger_neighbours(self.member.vm, self.others())
        return self._neighbours

    def forget_neighbours(self) -> None:
        """Choose neighbours afresh after the view was changed directly."""
        self._neighbours = None

    def begin_incarnation(self, incarnation: int) -> None:
        """Go on as a new member on the same VM, after the old one was given up."""
        old = self.member
        self.member = Member(
            old.vm,
            incarnation,
            old.region,
            old.zone,
            old.peer_address,
            old.caller_url,
            old.operator_url,
        )
        self._counter = 0
        self.view.merge(self.news_of_self())
        self._neighbours = None

    def on_change(self, listener: Callable[[MemberNews], None]) -> None:
        """Call `listener` after each change of a member's news."""
        self._listeners.append(listener)

    def subscribe_news(self, kind: type[M], is_new: Callable[[M], bool]) -> None:
        """Take news of `kind`; it is forwarded where `is_new` returns True."""

        def handle(sender: str, message: M) -> None:
            if is_new(message):
                self.publish(message, exclude=sender)

        self._bus.subscribe(kind, handle)

    def publish(self, message: PeerMessage, exclude: str = "") -> None:
        """Send news to every neighbour but `exclude`."""
        for neighbour in self.neighbours():
            if neighbour.vm != exclude:
                self._bus.tell(neighbour.peer_address, message)

    def learn(self, news: MemberNews) -> bool:
        """Take news of a member and forward it if it was new."""
        is_new = self._take_news(news)
        if is_new:
            self.publish(news)
        return is_new

    def add_digest(self, digest: Digest) -> None:
        """Compare `digest` on every heartbeat; add it before the bus starts."""
        self._digests.append(digest)

    def read_digests(self) -> list[int]:
        """Return the values of all digests, in the order in which they were added."""
        return [digest.read() for digest in self._digests]

    def compare_digests(self, member: Member, received: list[int]) -> None:
        """Reconcile, in a task of its own, each digest that differs."""
        for digest, theirs in zip(self._digests, received, strict=False):
            if digest.read() != theirs and digest.name not in self._reconciling:
                self._reconciling.add(digest.name)
                gevent.spawn(self._reconcile, digest, member, theirs)

    def _reconcile(self, digest: Digest, member: Member, theirs: int) -> None:
        self._metrics.count("fleet_reconciliations_total", digest=digest.name)
        try:
            digest.reconcile(member, theirs)
        finally:
            self._reconciling.discard(digest.name)

    def _take_news(self, news: MemberNews) -> bool:
        if news.vm == self.member.vm and self._is_wrong_about_self(news):
            self._refute(news)
            return False
        if not self.view.merge(news):
            return False
        self._neighbours = None
        self._timeline.record("member_" + news.status.name.lower(), news.vm)
        for listener in self._listeners:
            listener(news)
        if news.status is Status.GONE:
            self._forget_connection(news.vm)
        return True

    def _is_wrong_about_self(self, news: MemberNews) -> bool:
        return (
            news.incarnation == self.member.incarnation
            and news.status in (Status.SUSPECT, Status.DEAD)
            and news.counter >= self._counter
        )

    def _refute(self, news: MemberNews) -> None:
        self._counter = news.counter + 1
        self._metrics.count("fleet_refutations_total")
        self.learn(self.news_of_self())

    def _forget_connection(self, vm: str) -> None:
        news = self.view.get(vm)
        if news is not None and news.member is not None:
            self._bus.forget(news.member.peer_address)

    def _reconcile_view(self, member: Member, theirs: int) -> None:
        self.meet(member.peer_address)

    def _handle_view_request(self, sender: str, request: ViewRequest) -> ViewReply:
        mine = self.view.bucket_digests()
        pairs = zip(mine, request.buckets, strict=False)
        differing = {i for i, (a, b) in enumerate(pairs) if a != b}
        return ViewReply(self.view.news_in_buckets(differing))
