"""What a node needs before it can serve, from peers where the store gives nothing.

A node that starts while the store is away, or turns it away, would refuse every caller.
Its peers have the configuration and the endpoints; until it has both from somewhere,
no caller is sent to it and it owns no endpoint.
"""

from __future__ import annotations

import logging
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.fleet_link import FleetLink
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage
from sapphirehoist.routes import RouteHolder

# A node that can read the store has everything before this has passed.
_OWN_READ_S = 0.6
_LOOK_S = 0.1
_ASK_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class EndpointsRequest(PeerMessage, frozen=True, array_like=True):
    """Asks for all endpoints."""

    KIND: ClassVar[str] = "gateway.endpoints_request"


class EndpointsReply(PeerMessage, frozen=True, array_like=True):
    """The endpoints that the sender knows.

    Attributes
    ----------
    is_known : bool
        Whether it has read them itself, or has them from a peer that has.
    records : list of EndpointRecord
        The endpoints, draining ones included.
    """

    KIND: ClassVar[str] = "gateway.endpoints_reply"

    is_known: bool
    records: list[EndpointRecord]


class FirstState:
    """Says that this node serves once it has a configuration and endpoints.

    Parameters
    ----------
    fleet, bus : Fleet, PeerBus
        Peers to ask, and to tell.
    link : FleetLink
        Fetches the configuration.
    holder, directory : RouteHolder, EndpointDirectory
        What is needed.
    clock : Clock
        Paces questions.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_directory",
        "_fleet",
        "_holder",
        "_is_announced",
        "_link",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        link: FleetLink,
        holder: RouteHolder,
        directory: EndpointDirectory,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._link = link
        self._holder = holder
        self._directory = directory
        self._clock = clock
        self._is_announced = False
        bus.subscribe(EndpointsRequest, self._handle_request)

    @property
    def is_complete(self) -> bool:
        """Return whether a configuration and endpoints are known."""
        return self._holder.table is not None and self._directory.is_known

    def run(self) -> None:
        """Ask peers until the state is complete, then announce it; until killed."""
        started = self._clock.monotonic()
        while True:
            if self.is_complete and not self._is_announced:
                self._is_announced = True
                self._fleet.announce_serving()
            may_ask = self._clock.monotonic() - started > _OWN_READ_S
            if may_ask and not self.is_complete:
                self._ask_peers()
            self._clock.sleep(_LOOK_S)

    def _ask_peers(self) -> None:
        """Ask the nearest peers first, until one of them has what is missing."""
        for member in sorted(self._fleet.others(), key=self._remoteness):
            if not self._fleet.is_serving(member.vm):
                continue
            if self._holder.table is None:
                self._link.fetch(member)
            if not self._directory.is_known:
                self._fetch_endpoints(member)
            if self.is_complete:
                _logger.info("state from a peer", extra={"peer": member.vm})
                return

    def _remoteness(self, member: Member) -> tuple[bool, bool, str]:
        own = self._fleet.member
        return member.zone != own.zone, member.region != own.region, member.vm

    def _fetch_endpoints(self, member: Member) -> None:
        reply = self._bus.ask(
            member.peer_address, EndpointsRequest(), EndpointsReply, _ASK_TIMEOUT_S
        )
        if not isinstance(reply, NoReply) and reply.is_known:
            self._directory.take_first(reply.records, f"peer {member.vm}")

    def _handle_request(self, sender: str, request: EndpointsRequest) -> EndpointsReply:
        return EndpointsReply(self._directory.is_known, self._directory.all_records())
