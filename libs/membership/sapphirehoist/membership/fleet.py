"""Fleet membership as seen by one node: members, neighbours, gossip and digests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
from msgspec.structs import replace

from sapphirehoist.membership.member import Member, MemberUpdate, Status
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
    local_member : Member
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
    local_member : Member
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
        "local_member",
        "view",
    )

    def __init__(
        self,
        local_member: Member,
        bus: PeerBus,
        metrics: Metrics,
        timeline: Timeline,
        is_starting: bool = False,
    ) -> None:
        self.local_member = local_member
        self.view = MemberView()
        self._bus = bus
        self._metrics = metrics
        self._timeline = timeline
        self._sequence = 0
        self._is_leaving = False
        self._is_starting = is_starting
        self._digests: list[Digest] = []
        self._listeners: list[Callable[[MemberUpdate], None]] = []
        self._neighbours: list[Member] | None = None
        self._reconciling_digests: set[str] = set()
        self.subscribe_updates(MemberUpdate, self._merge_update)
        bus.subscribe(ViewRequest, self._handle_view_request)
        self.add_digest(Digest("view", self.view.digest, self._reconcile_view))
        self.view.merge(self.local_update())

    def local_update(self) -> MemberUpdate:
        """Return the update that reports this node as alive."""
        return MemberUpdate(
            self.local_member.vm,
            self.local_member.incarnation,
            self._sequence,
            Status.ALIVE,
            self._is_leaving,
            self.local_member,
            self._is_starting,
        )

    def announce(self) -> None:
        """Announce to the fleet that this node is alive."""
        self.broadcast(self.local_update())

    def announce_serving(self) -> None:
        """Announce to the fleet that this node accepts callers."""
        self._is_starting = False
        self._sequence += 1
        self.apply_update(self.local_update())

    def announce_leaving(self) -> None:
        """Announce to the fleet that this node is going to stop."""
        self._is_leaving = True
        self._sequence += 1
        self.apply_update(self.local_update())

    def announce_gone(self) -> None:
        """Announce to the fleet that this node has stopped."""
        update = self.local_update()
        self.broadcast(
            MemberUpdate(update.vm, update.incarnation, update.sequence, Status.GONE)
        )

    def present_members(self) -> list[Member]:
        """Return the members that are alive or suspected, including this one."""
        return self.view.members(*_PRESENT_STATUSES)

    def other_members(self) -> list[Member]:
        """Return the members that are alive or suspected, except this one."""
        return [m for m in self.present_members() if m.vm != self.local_member.vm]

    def dead_members(self) -> list[Member]:
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

    def sync_view(self, address: str) -> bool:
        """Merge the view of the daemon at `address`; return whether it replied."""
        request = ViewRequest(self.view.bucket_digests())
        reply = self._bus.request(address, request, ViewReply, _VIEW_REQUEST_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return False
        for update in reply.updates:
            self.apply_update(update)
        return True

    def neighbours(self) -> list[Member]:
        """Return the members to which this node sends heartbeats and updates."""
        if self._neighbours is None:
            self._neighbours = finger_neighbours(
                self.local_member.vm, self.other_members()
            )
        return self._neighbours

    def invalidate_neighbours(self) -> None:
        """Invalidate the cached neighbours after a direct change of `view`."""
        self._neighbours = None

    def begin_incarnation(self, incarnation: int) -> None:
        """Continue as a new member on the same VM, after the old one was declared gone.

        The addresses and the location stay the same.
        """
        self.local_member = replace(self.local_member, incarnation=incarnation)
        self._sequence = 0
        self.view.merge(self.local_update())
        self._neighbours = None

    def on_change(self, listener: Callable[[MemberUpdate], None]) -> None:
        """Call `listener` with each update that changes the view."""
        self._listeners.append(listener)

    def subscribe_updates(
        self, update_type: type[M], apply_update: Callable[[M], bool]
    ) -> None:
        """Call `apply_update` for each received update of type `update_type`.

        `apply_update` returns whether the update was new; a new update is forwarded.
        """

        def handle_message(sender: str, message: M) -> None:
            if apply_update(message):
                self.broadcast(message, exclude_vm=sender)

        self._bus.subscribe(update_type, handle_message)

    def broadcast(self, message: PeerMessage, exclude_vm: str = "") -> None:
        """Send `message` to every neighbour except the VM `exclude_vm`."""
        for neighbour in self.neighbours():
            if neighbour.vm != exclude_vm:
                self._bus.notify(neighbour.peer_address, message)

    def apply_update(self, update: MemberUpdate) -> bool:
        """Apply an update and broadcast it if it was new; return whether it was."""
        is_new = self._merge_update(update)
        if is_new:
            self.broadcast(update)
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
        """Reconcile each differing digest in a greenlet, unless one already does."""
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

    def _merge_update(self, update: MemberUpdate) -> bool:
        if update.vm == self.local_member.vm and self._is_refutable(update):
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

    def _is_refutable(self, update: MemberUpdate) -> bool:
        """Return whether `update` wrongly reports this node as suspected or dead."""
        return (
            update.incarnation == self.local_member.incarnation
            and update.status in (Status.SUSPECT, Status.DEAD)
            and update.sequence >= self._sequence
        )

    def _refute(self, update: MemberUpdate) -> None:
        self._sequence = update.sequence + 1
        self._metrics.count("fleet_refutations_total")
        self.apply_update(self.local_update())

    def _disconnect(self, vm: str) -> None:
        update = self.view.get(vm)
        if update is not None and update.member is not None:
            self._bus.disconnect(update.member.peer_address)

    def _reconcile_view(self, member: Member, remote_value: int) -> None:
        self.sync_view(member.peer_address)

    def _handle_view_request(self, sender: str, request: ViewRequest) -> ViewReply:
        local_digests = self.view.bucket_digests()
        pairs = zip(local_digests, request.bucket_digests, strict=False)
        differing_buckets = {i for i, (a, b) in enumerate(pairs) if a != b}
        return ViewReply(self.view.updates_in_buckets(differing_buckets))
