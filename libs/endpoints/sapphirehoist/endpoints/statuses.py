"""Tracks which endpoints are leaving, and shares this status among all nodes.

The first node that learns of a new status floods it to all others. Updates are ordered
by the endpoint's incarnation and then by status, so that a stale source cannot mark a
leaving instance as active again.
"""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar

from sapphirehoist.endpoints.client import EndpointReport
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.messages import element_digest
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_RECONCILE_TIMEOUT_S = 2.0


class EndpointStatus(IntEnum):
    """Whether an endpoint accepts new work; a higher value takes precedence."""

    ACTIVE = 0
    LEAVING = 1


class EndpointUpdate(PeerMessage, frozen=True, array_like=True):
    """Status of one incarnation of an endpoint."""

    KIND: ClassVar[str] = "endpoints.news"

    endpoint: str
    incarnation: int
    status: EndpointStatus

    def precedence(self) -> tuple[int, EndpointStatus]:
        """Return the sort key by which updates of an endpoint override each other."""
        return (self.incarnation, self.status)


class EndpointStatusRequest(PeerMessage, frozen=True, array_like=True):
    """Requests all status updates that the receiver holds."""

    KIND: ClassVar[str] = "endpoints.standing_request"


class EndpointStatusReply(PeerMessage, frozen=True, array_like=True):
    """All status updates that the sender holds."""

    KIND: ClassVar[str] = "endpoints.standing_reply"

    updates: list[EndpointUpdate]


class EndpointStatuses:
    """Tracks which endpoints are leaving.

    Only endpoints that have ever been leaving have a status update, so the updates that
    nodes store and exchange grow with the number of departures and not with the number
    of endpoints.

    Parameters
    ----------
    fleet : Fleet
        Floods updates and compares digests with neighbours.
    bus : PeerBus
        Messages between daemons.
    metrics : Metrics
        Receives the counter ``endpoint_leaving_total`` by source.
    timeline : Timeline
        Receives changes of status.
    """

    __slots__ = (
        "_bus",
        "_digest",
        "_fleet",
        "_incarnations",
        "_metrics",
        "_updates",
        "_timeline",
    )

    def __init__(
        self, fleet: Fleet, bus: PeerBus, metrics: Metrics, timeline: Timeline
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._metrics = metrics
        self._timeline = timeline
        self._updates: dict[str, EndpointUpdate] = {}
        self._incarnations: dict[str, int] = {}
        self._digest = 0
        fleet.subscribe_updates(EndpointUpdate, self._apply)
        fleet.add_digest(Digest("endpoints", self._read_digest, self._reconcile))
        bus.subscribe(EndpointStatusRequest, self._handle_request)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether `endpoint` must receive no new work."""
        update = self._updates.get(endpoint)
        return update is not None and update.status is EndpointStatus.LEAVING

    def leaving_endpoints(self) -> list[str]:
        """Return the sorted names of the endpoints that are leaving."""
        return sorted(name for name in self._updates if self.is_leaving(name))

    def observe(self, endpoint: str, report: EndpointReport) -> None:
        """Update the status of `endpoint` from a response of its own."""
        self._record_incarnation(endpoint, report.incarnation)
        if report.is_leaving:
            self._apply_and_publish(
                endpoint, report.incarnation, EndpointStatus.LEAVING, "endpoint"
            )
        elif endpoint in self._updates:
            self._apply_and_publish(
                endpoint, report.incarnation, EndpointStatus.ACTIVE, "endpoint"
            )

    def observe_vm_list_entry(
        self, endpoint: str, incarnation: int, is_leaving: bool
    ) -> None:
        """Update the status of `endpoint` from an entry of the platform's VM list."""
        self._record_incarnation(endpoint, incarnation)
        if is_leaving:
            self._apply_and_publish(
                endpoint, incarnation, EndpointStatus.LEAVING, "list"
            )
        elif endpoint in self._updates:
            self._apply_and_publish(
                endpoint, incarnation, EndpointStatus.ACTIVE, "list"
            )

    def drain(self, endpoint: str) -> None:
        """Mark `endpoint` as leaving at an operator's request."""
        incarnation = self._incarnations.get(endpoint, 0)
        update = self._updates.get(endpoint)
        if update is not None:
            incarnation = max(incarnation, update.incarnation)
        self._apply_and_publish(
            endpoint, incarnation, EndpointStatus.LEAVING, "operator"
        )

    def _record_incarnation(self, endpoint: str, incarnation: int) -> None:
        if incarnation > self._incarnations.get(endpoint, 0):
            self._incarnations[endpoint] = incarnation

    def _apply_and_publish(
        self, endpoint: str, incarnation: int, status: EndpointStatus, source: str
    ) -> None:
        update = EndpointUpdate(endpoint, incarnation, status)
        if not self._apply(update):
            return
        self._fleet.broadcast(update)
        if status is EndpointStatus.LEAVING:
            self._metrics.count("endpoint_leaving_total", source=source)

    def _fill_in_incarnation(self, update: EndpointUpdate) -> EndpointUpdate:
        """Assign an update without an incarnation to the newest known incarnation."""
        incarnation = self._incarnations.get(update.endpoint, 0)
        if update.incarnation or not incarnation:
            return update
        return EndpointUpdate(update.endpoint, incarnation, update.status)

    def _apply(self, received: EndpointUpdate) -> bool:
        """Store an update that overrides the current one; return whether it does."""
        update = self._fill_in_incarnation(received)
        current = self._updates.get(update.endpoint)
        if current is not None and update.precedence() <= current.precedence():
            return False
        self._toggle_in_digest(current)
        self._updates[update.endpoint] = update
        self._toggle_in_digest(update)
        self._timeline.record("endpoint_" + update.status.name.lower(), update.endpoint)
        return True

    def _toggle_in_digest(self, update: EndpointUpdate | None) -> None:
        """Add an update to the XOR digest, or remove one that it contains."""
        if update is not None:
            self._digest ^= element_digest(f"{update.endpoint} {update.precedence()}")

    def _read_digest(self) -> int:
        return self._digest

    def _reconcile(self, member: Member, remote_digest: int) -> None:
        reply = self._bus.request(
            member.peer_address,
            EndpointStatusRequest(),
            EndpointStatusReply,
            _RECONCILE_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return
        for update in reply.updates:
            if self._apply(update):
                self._fleet.broadcast(update)

    def _handle_request(
        self, sender: str, request: EndpointStatusRequest
    ) -> EndpointStatusReply:
        return EndpointStatusReply(list(self._updates.values()))
