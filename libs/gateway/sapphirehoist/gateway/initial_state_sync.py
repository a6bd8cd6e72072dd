"""Loads the initial state of a node from peers when the store is unavailable.

A node that starts while the store is down, or rejects its requests, would reject every
caller. It therefore fetches the configuration and the endpoints from its peers. Until
it has both, no caller is directed to it and it is the owner of no stage endpoint.
"""

from __future__ import annotations

import logging
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.evacuation_sync import EvacuationSync
from sapphirehoist.gateway.peer_state_sync import PeerStateSync
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage
from sapphirehoist.routes import RoutingReplica

# A node that can read the store has its initial state within this time. After it,
# missing state is fetched from peers.
_PEER_FALLBACK_DELAY_S = 0.6
_CHECK_INTERVAL_S = 0.1
_PEER_REQUEST_TIMEOUT_S = 1.0
# Peers of builds without evacuations do not reply to the question for them.
_MAX_EVACUATION_REQUESTS = 3

_logger = logging.getLogger(__name__)


class EndpointsRequest(PeerMessage, frozen=True, array_like=True):
    """Requests all endpoints that a peer knows."""

    KIND: ClassVar[str] = "gateway.endpoints_request"


class EndpointsReply(PeerMessage, frozen=True, array_like=True):
    """The endpoints that the sender knows.

    Attributes
    ----------
    is_known : bool
        Whether the sender has read the endpoints from the store or received them from
        a peer that has.
    records : list of EndpointRecord
        The endpoints, including draining ones.
    """

    KIND: ClassVar[str] = "gateway.endpoints_reply"

    is_known: bool
    records: list[EndpointRecord]


class InitialStateSync:
    """Fetches missing initial state from peers, then announces that this node serves.

    Parameters
    ----------
    fleet : Fleet
        Known peers; receives the announcement.
    bus : PeerBus
        Sends requests to peers.
    peer_state_sync : PeerStateSync
        Fetches the configuration from a peer.
    routing_replica, directory : RoutingReplica, EndpointDirectory
        Configuration and endpoints of this node.
    evacuation_sync : EvacuationSync
        Knows which zones are evacuated, and fetches it from a peer.
    clock : Clock
        Determines the time between checks.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_directory",
        "_evacuation_sync",
        "_fleet",
        "_is_announced",
        "_peer_state_sync",
        "_routing_replica",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        peer_state_sync: PeerStateSync,
        routing_replica: RoutingReplica,
        directory: EndpointDirectory,
        evacuation_sync: EvacuationSync,
        clock: Clock,
    ) -> None:
        self._evacuation_sync = evacuation_sync
        self._fleet = fleet
        self._bus = bus
        self._peer_state_sync = peer_state_sync
        self._routing_replica = routing_replica
        self._directory = directory
        self._clock = clock
        self._is_announced = False
        bus.subscribe(EndpointsRequest, self._handle_endpoints_request)

    @property
    def is_complete(self) -> bool:
        """Return whether configuration, endpoints and evacuated zones are known."""
        return (
            self._routing_replica.table is not None
            and self._directory.is_loaded
            and self._evacuation_sync.is_loaded
        )

    def run(self) -> None:
        """Fetch missing state from peers and announce its completion, until killed."""
        started_at = self._clock.monotonic()
        while True:
            if self.is_complete and not self._is_announced:
                self._is_announced = True
                self._fleet.announce_serving()
            may_fetch = self._clock.monotonic() - started_at > _PEER_FALLBACK_DELAY_S
            if may_fetch and not self.is_complete:
                self._fetch_from_peers()
            self._clock.sleep(_CHECK_INTERVAL_S)

    def _fetch_from_peers(self) -> None:
        """Fetch missing state, from the nearest serving peers first."""
        evacuation_requests = 0
        for member in sorted(self._fleet.other_members(), key=self._distance_key):
            if not self._fleet.is_serving(member.vm):
                continue
            if self._routing_replica.table is None:
                self._peer_state_sync.fetch_configuration(member)
            if not self._directory.is_loaded:
                self._fetch_endpoints(member)
            if not self._evacuation_sync.is_loaded:
                self._evacuation_sync.fetch(member)
                evacuation_requests += 1
            if self.is_complete:
                _logger.info("loaded initial state", extra={"peer": member.vm})
                return
            if evacuation_requests >= _MAX_EVACUATION_REQUESTS:
                break
        is_rest_complete = (
            self._routing_replica.table is not None and self._directory.is_loaded
        )
        # Peers that replied to the other questions are of an earlier build.
        if (
            is_rest_complete
            and evacuation_requests
            and not self._evacuation_sync.is_loaded
        ):
            self._evacuation_sync.assume_none()

    def _distance_key(self, member: Member) -> tuple[bool, bool, str]:
        """Return a sort key that puts members of the same zone and region first."""
        own = self._fleet.local_member
        return member.zone != own.zone, member.region != own.region, member.vm

    def _fetch_endpoints(self, member: Member) -> None:
        reply = self._bus.request(
            member.peer_address,
            EndpointsRequest(),
            EndpointsReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if not isinstance(reply, NoReply) and reply.is_known:
            self._directory.load_from_peer(reply.records, f"peer {member.vm}")

    def _handle_endpoints_request(
        self, sender: str, request: EndpointsRequest
    ) -> EndpointsReply:
        return EndpointsReply(
            self._directory.is_loaded, self._directory.list_for_peer()
        )
