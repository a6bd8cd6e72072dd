"""Synchronizes the configuration and endpoint departures directly between nodes.

Every node reads the store itself. A node that cannot reach the store, or is rejected by
it, learns from its peers which endpoints are draining or gone and which configuration
is in force.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import ClassVar

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.discovery import Departure, EndpointDirectory, EndpointPhase
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage
from sapphirehoist.routes import RouteTable, RoutingConfig, RoutingReplica

# A node that can read the store has a new version within this time. After it, the
# version is fetched from a peer.
_PEER_FALLBACK_DELAY_S = 0.8
_PEER_REQUEST_TIMEOUT_S = 1.0
_MAX_FETCH_ATTEMPTS = 3

_logger = logging.getLogger(__name__)


class VersionUpdate(PeerMessage, frozen=True, array_like=True):
    """Reports the configuration version in force at the sender, and its era."""

    KIND: ClassVar[str] = "gateway.version"

    version: int
    era: int = 0


class ConfigurationRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the configuration if it is newer than `version` of `era`."""

    KIND: ClassVar[str] = "gateway.document_request"

    version: int
    era: int = 0


class ConfigurationReply(PeerMessage, frozen=True, array_like=True):
    """The configuration document as the operator submitted it; empty if not newer.

    `era` is the era of the store in which the sender read it.
    """

    KIND: ClassVar[str] = "gateway.document_reply"

    document: bytes
    era: int = 0


class DepartureUpdate(PeerMessage, frozen=True, array_like=True):
    """Reports that an endpoint is draining or gone.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    born_ms : int
        Start time in milliseconds, which identifies the endpoint's incarnation.
    is_gone : bool
        Whether the endpoint is gone rather than draining.
    sequence : int or None
        Sequence number of the endpoint's last entry that the sender knows.
    """

    KIND: ClassVar[str] = "gateway.departure"

    name: str
    born_ms: int
    is_gone: bool
    sequence: int | None = None


class PeerStateSync:
    """Synchronizes this node's configuration and endpoint departures with its peers.

    Parameters
    ----------
    fleet : Fleet
        Gossips updates and compares digests.
    bus : PeerBus
        Sends requests to single peers.
    routing_replica : RoutingReplica
        Configuration in force.
    directory : EndpointDirectory
        Known endpoints.
    decode_config : callable
        Decodes a configuration document; returns None for an invalid one.
    clock : Clock
        Delays requests to peers.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_decode_config",
        "_directory",
        "_fleet",
        "_routing_replica",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        routing_replica: RoutingReplica,
        directory: EndpointDirectory,
        decode_config: Callable[[bytes], RoutingConfig | None],
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._routing_replica = routing_replica
        self._directory = directory
        self._decode_config = decode_config
        self._clock = clock
        fleet.add_digest(
            Digest(
                "routes", lambda: routing_replica.version, self._handle_version_digest
            )
        )
        fleet.add_digest(
            Digest("routes_era", lambda: routing_replica.era, self._handle_era_digest)
        )
        bus.subscribe(VersionUpdate, self._handle_version)
        bus.subscribe(ConfigurationRequest, self._handle_configuration_request)
        fleet.subscribe_updates(DepartureUpdate, self._handle_departure)
        routing_replica.on_change(self._publish_version)
        directory.on_departure(self._publish_departure)

    def _publish_version(self, table: RouteTable) -> None:
        self._fleet.broadcast(VersionUpdate(table.version, self._routing_replica.era))

    def _handle_version(self, sender: str, update: VersionUpdate) -> None:
        """Fetch the version from the sender unless the store provides it first."""
        if self._is_known(update.version, update.era):
            return
        self._clock.sleep(_PEER_FALLBACK_DELAY_S)
        member = self._find_member(sender)
        for _ in range(_MAX_FETCH_ATTEMPTS):
            if self._is_known(update.version, update.era) or member is None:
                return
            self.fetch_configuration(member)

    def _is_known(self, version: int, era: int) -> bool:
        replica = self._routing_replica
        return (version, era) <= (replica.version, replica.era)

    def _handle_version_digest(self, member: Member, peer_version: int) -> None:
        if peer_version > self._routing_replica.version:
            self.fetch_configuration(member)

    def _handle_era_digest(self, member: Member, peer_era: int) -> None:
        if peer_era > self._routing_replica.era:
            self.fetch_configuration(member)

    def fetch_configuration(self, member: Member) -> None:
        """Fetch and apply the configuration of `member` if it is newer."""
        replica = self._routing_replica
        reply = self._bus.request(
            member.peer_address,
            ConfigurationRequest(replica.version, replica.era),
            ConfigurationReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply) or not reply.document:
            return
        config = self._decode_config(reply.document)
        if config is not None:
            replica.apply_if_newer(
                config, reply.document, f"peer {member.vm}", reply.era
            )

    def _handle_configuration_request(
        self, sender: str, request: ConfigurationRequest
    ) -> ConfigurationReply:
        replica = self._routing_replica
        if self._is_known_to(request):
            return ConfigurationReply(b"")
        return ConfigurationReply(replica.document, replica.era)

    def _is_known_to(self, request: ConfigurationRequest) -> bool:
        replica = self._routing_replica
        return (replica.version, replica.era) <= (request.version, request.era)

    def _handle_departure(self, update: DepartureUpdate) -> bool:
        """Apply a departure; return whether it is new and has to be forwarded."""
        phase = EndpointPhase.GONE if update.is_gone else EndpointPhase.DRAINING
        return self._directory.apply_departure(
            Departure(update.name, update.born_ms, phase, update.sequence), "a peer"
        )

    def _publish_departure(self, departure: Departure, record: object) -> None:
        is_gone = departure.phase is EndpointPhase.GONE
        update = DepartureUpdate(
            departure.name, departure.born_ms, is_gone, departure.sequence
        )
        gevent.spawn(self._fleet.broadcast, update)

    def _find_member(self, vm: str) -> Member | None:
        entry = self._fleet.view.get(vm)
        return entry.member if entry is not None else None
