"""Fleet membership as seen by one node: members, neighbours, gossip and digests."""

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

_VIEW_REQUEST_TIMEOUT_S = 2.0
_PRESENT_STATUSES = (Status.ALIVE, Status.SUSPECT)


@dataclass(frozen=True, slots=True)
class Digest:
    """Digest of replicated state, which neighbours compare on every heartbeat.

    Attributes
    ----------
    name : str
        Label in counters.
    read : callable
        Returns the value of the local digest.
    reconcile : callable
        Called with a member and the value of its digest if it differs from the local
        one.
    """

    name: str
    read: Callable[[], int]
    reconcile: Callable[[Member, int], None]


class Fleet:
    """Membership of the fleet, and gossip to all of its members.

    Updates are flooded over the overlay network: a node forwards an update to its
    neighbours only if it did not know it, so an update crosses each link at most once.
    Digests on heartbeats repair updates lost to a partition or a dead neighbour.

    Parameters
    ----------
    member : Member
        This node.
    bus : PeerBus
        Sends messages to other daemons.
    metrics : Metrics
        Receives the counters ``fleet_*_total``.
    timeline : Timeline
        Receives changes of status.
    is_starting : bool
        Whether this node cannot serve requests until `announce_serving` is called.

    Attributes
    ----------
    member : Member
        This node.
    view : MemberView
        The newest update of each member.
    """

    __slots__ = (
        "_bus",
        "_digests",
        "_is_leaving",
        "_is_starting",
        "_listeners",
        "_metrics",
        "_neighbours",
        "_reconciling_digests",
        "_sequence",
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
        self._sequence = 0
        self._is_leaving = False
        self._is_starting = is_starting
        self._digests: list[Digest] = []
        self._listeners: list[Callable[[MemberNews], None]] = []
        self._neighbours: list[Member] | None = None
        self._reconciling_digests: set[str] = set()
        self.subscribe_news(MemberNews, self._apply_update)
        bus.subscribe(ViewRequest, self._handle_view_request)
        self.add_digest(Digest("view", self.view.digest, self._reconcile_view))
        self.view.merge(self.news_of_self())

    def news_of_self(self) -> MemberNews:
        """Return the update that reports this node as alive."""
        return MemberNews(
            self.member.vm,
            self.member.incarnation,
            self._sequence,
            Status.ALIVE,
            self._is_leaving,
            self.member,
            self._is_starting,
        )

    def announce(self) -> None:
        """Announce to the fleet that this node is alive."""
        self.publish(self.news_of_self())

    def announce_serving(self) -> None:
        """Announce to the fleet that this node accepts callers."""
        self._is_starting = False
        self._sequence += 1
        self.learn(self.news_of_self())

    def announce_leaving(self) -> None:
        """Announce to the fleet that this node is going to stop."""
        self._is_leaving = True
        self._sequence += 1
        self.learn(self.news_of_self())

    def announce_gone(self) -> None:
        """Announce to the fleet that this node has stopped."""
        update = self.news_of_self()
        self.publish(
            MemberNews(update.vm, update.incarnation, update.counter, Status.GONE)
        )

    def present(self) -> list[Member]:
        """Return the members that are alive or suspected, including this one."""
        return self.view.members(*_PRESENT_STATUSES)

    def others(self) -> list[Member]:
        """Return the members that are alive or suspected, except this one."""
        return [m for m in self.present() if m.vm != self.member.vm]

    def dead(self) -> list[Member]:
        """Return the members that are unreachable but not known to be gone."""
        return self.view.members(Status.DEAD)

    def is_present(self, vm: str) -> bool:
        """Return whether `vm` is alive or suspected, including when it is leaving."""
        update = self.view.get(vm)
        return update is not None and update.status in _PRESENT_STATUSES

    def is_serving(self, vm: str) -> bool:
        """Return whether `vm` accepts new callers."""
        update = self.view.get(vm)
        if update is None or update.status is not Status.ALIVE:
            return False
        return not (update.is_leaving or update.is_starting)

    def meet(self, address: str) -> bool:
        """Merge the view of the daemon at `address`; return whether it replied."""
        request = ViewRequest(self.view.bucket_digests())
        reply = self._bus.ask(address, request, ViewReply, _VIEW_REQUEST_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return False
        for update in reply.updates:
            self.learn(update)
        return True

    def neighbours(self) -> list[Member]:
        """Return the members to which this node sends heartbeats and updates."""
        if self._neighbours is None:
            self._neighbours = finger_neighbours(self.member.vm, self.others())
        return self._neighbours

    def forget_neighbours(self) -> None:
        """Invalidate the cached neighbours after a direct change of `view`."""
        self._neighbours = None

    def begin_incarnation(self, incarnation: int) -> None:
        """Continue as a new member on the same VM, after the old one was declared gone.

        The addresses and the location stay the same.
        """
        previous = self.member
        self.member = Member(
            previous.vm,
            incarnation,
            previous.region,
            previous.zone,
            previous.peer_address,
            previous.caller_url,
            previous.operator_url,
        )
        self._sequence = 0
        self.view.merge(self.news_of_self())
        self._neighbours = None

    def on_change(self, listener: Callable[[MemberNews], None]) -> None:
        """Call `listener` with each update that changes the view."""
        self._listeners.append(listener)

    def subscribe_news(
        self, update_type: type[M], apply_update: Callable[[M], bool]
    ) -> None:
        """Call `apply_update` for each received update of type `update_type`.

        It returns whether the update was new; a new update is forwarded.
        """

        def handle_message(sender: str, message: M) -> None:
            if apply_update(message):
                self.publish(message, exclude=sender)

        self._bus.subscribe(update_type, handle_message)

    def publish(self, message: PeerMessage, exclude: str = "") -> None:
        """Send `message` to every neighbour except the VM `exclude`."""
        for neighbour in self.neighbours():
            if neighbour.vm != exclude:
                self._bus.tell(neighbour.peer_address, message)

    def learn(self, update: MemberNews) -> bool:
        """Apply an update and publish it if it was new; return whether it was."""
        is_new = self._apply_update(update)
        if is_new:
            self.publish(update)
        return is_new

    def add_digest(self, digest: Digest) -> None:
        """Compare `digest` on every heartbeat.

        All nodes add the same digests in the same order, before the bus starts.
        """
        self._digests.append(digest)

    def read_digests(self) -> list[int]:
        """Return the values of all digests, in the order in which they were added."""
        return [digest.read() for digest in self._digests]

    def compare_digests(self, member: Member, remote_values: list[int]) -> None:
        """Reconcile each digest that differs, in its own greenlet."""
        for digest, remote_value in zip(self._digests, remote_values, strict=False):
            if (
                digest.read() != remote_value
                and digest.name not in self._reconciling_digests
            ):
                self._reconciling_digests.add(digest.name)
                gevent.spawn(self._reconcile, digest, member, remote_value)

    def _reconcile(self, digest: Digest, member: Member, remote_value: int) -> None:
        self._metrics.count("fleet_reconciliations_total", digest=digest.name)
        try:
            digest.reconcile(member, remote_value)
        finally:
            self._reconciling_digests.discard(digest.name)

    def _apply_update(self, update: MemberNews) -> bool:
        if update.vm == self.member.vm and self._is_refutable(update):
            self._refute(update)
            return False
        if not self.view.merge(update):
            return False
        self._neighbours = None
        self._timeline.record("member_" + update.status.name.lower(), update.vm)
        for listener in self._listeners:
            listener(update)
        if update.status is Status.GONE:
            self._disconnect(update.vm)
        return True

    def _is_refutable(self, update: MemberNews) -> bool:
        """Return whether `update` wrongly reports this node as suspected or dead."""
        return (
            update.incarnation == self.member.incarnation
            and update.status in (Status.SUSPECT, Status.DEAD)
            and update.counter >= self._sequence
        )

    def _refute(self, update: MemberNews) -> None:
        self._sequence = update.counter + 1
        self._metrics.count("fleet_refutations_total")
        self.learn(self.news_of_self())

    def _disconnect(self, vm: str) -> None:
        update = self.view.get(vm)
        if update is not None and update.member is not None:
            self._bus.forget(update.member.peer_address)

    def _reconcile_view(self, member: Member, remote_value: int) -> None:
        self.meet(member.peer_address)

    def _handle_view_request(self, sender: str, request: ViewRequest) -> ViewReply:
        local_digests = self.view.bucket_digests()
        pairs = zip(local_digests, request.bucket_digests, strict=False)
        differing_buckets = {i for i, (a, b) in enumerate(pairs) if a != b}
        return ViewReply(self.view.news_in_buckets(differing_buckets))
