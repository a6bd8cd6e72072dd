"""Spreads the evacuations of availability zones among the nodes.

Every node reads the store, itself or through another node of its region, and tells the
others at once. A node that cannot reach the store learns of an evacuation from its
peers.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from math import isfinite
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import EvacuatedZones, EvacuationState
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.messages import element_digest
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_PEER_REQUEST_TIMEOUT_S = 0.6

_logger = logging.getLogger(__name__)


class EvacuationUpdate(PeerMessage, frozen=True, array_like=True):
    """Publishes whether a zone is evacuated; see `EvacuationState`.

    Attributes
    ----------
    ended_s_ago : float
        Time since the evacuation ended at the sender; 0 while it lasts.
    """

    KIND: ClassVar[str] = "gateway.evacuation"

    zone: str
    is_evacuated: bool
    era: int
    revision: int
    ended_s_ago: float = 0.0


class EvacuationsRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the states of all zones that the receiver knows."""

    KIND: ClassVar[str] = "gateway.evacuations_request"


class EvacuationsReply(PeerMessage, frozen=True, array_like=True):
    """The states of all zones that the sender knows.

    Attributes
    ----------
    is_known : bool
        Whether the sender has read them from the store or received them from a peer
        that has.
    updates : list of EvacuationUpdate
        The states.
    """

    KIND: ClassVar[str] = "gateway.evacuations_reply"

    is_known: bool
    updates: list[EvacuationUpdate]


class EvacuationSync:
    """Replicates which zones are evacuated.

    Changes are flooded; digests on heartbeats repair what was missed.

    Parameters
    ----------
    zones : EvacuatedZones
        States known to this node; updated.
    known_zones : collection of str
        Zones of the settings; an evacuation of another one is logged.
    fleet : Fleet
        Floods changes and compares digests.
    bus : PeerBus
        Requests the states that a peer knows.
    on_evacuated, on_ended : callable
        Called with each zone whose evacuation begins or ends.
    clock : Clock
        Monotonic time.
    metrics : Metrics
        Receives ``zone_evacuations_total``.

    Attributes
    ----------
    is_loaded : bool
        Whether the evacuated zones were read from the store or received from a peer.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_fleet",
        "_known_zones",
        "_metrics",
        "_on_ended",
        "_on_evacuated",
        "_zones",
        "is_loaded",
    )

    def __init__(
        self,
        zones: EvacuatedZones,
        known_zones: Collection[str],
        fleet: Fleet,
        bus: PeerBus,
        on_evacuated: Callable[[str], None],
        on_ended: Callable[[str], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._zones = zones
        self._known_zones = known_zones
        self._fleet = fleet
        self._bus = bus
        self._on_evacuated = on_evacuated
        self._on_ended = on_ended
        self._clock = clock
        self._metrics = metrics
        self.is_loaded = False
        fleet.add_digest(Digest("evacuations", self._read_digest, self._reconcile))
        fleet.subscribe_updates(EvacuationUpdate, self._handle_update)
        bus.subscribe(EvacuationsRequest, self._handle_request)

    def apply_change(
        self, zone: str, is_evacuated: bool, era: int, revision: int
    ) -> None:
        """Apply a changed row of the store, and publish it."""
        state = EvacuationState(zone, is_evacuated, era, revision)
        was_evacuated = self._zones.is_evacuated(zone)
        if self._zones.apply(state):
            if was_evacuated != is_evacuated:
                self._handle_change(state, "store")
            self._fleet.broadcast(self._to_update(state))

    def apply_full_read(self, zones: Collection[str], era: int, revision: int) -> None:
        """Apply a read of all evacuated zones in the store, and publish changes."""
        self.is_loaded = True
        for state in self._zones.apply_full_read(zones, era, revision):
            self._handle_change(state, "store")
            self._fleet.broadcast(self._to_update(state))

    def fetch(self, member: Member) -> bool:
        """Fetch the states that `member` knows; return whether it knew them.

        Nodes of builds without evacuations do not reply.
        """
        reply = self._bus.request(
            member.peer_address,
            EvacuationsRequest(),
            EvacuationsReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return False
        for update in reply.updates:
            if self._handle_update(update):
                self._fleet.broadcast(update)
        self.is_loaded = self.is_loaded or reply.is_known
        return reply.is_known

    def assume_none(self) -> None:
        """Start without evacuations, since no peer knows of any."""
        self.is_loaded = True
        _logger.warning("no peer knows which zones are evacuated; assuming none")

    def _handle_update(self, update: EvacuationUpdate) -> bool:
        ended_s_ago = update.ended_s_ago
        if not update.zone or not isfinite(ended_s_ago) or ended_s_ago < 0:
            return False
        state = EvacuationState(
            update.zone, update.is_evacuated, update.era, update.revision
        )
        was_evacuated = self._zones.is_evacuated(state.zone)
        is_new = self._zones.apply(state, ended_s_ago)
        if is_new and was_evacuated != state.is_evacuated:
            self._handle_change(state, "a peer")
        return is_new

    def _handle_change(self, state: EvacuationState, source: str) -> None:
        self._metrics.count(
            "zone_evacuations_total", change="begin" if state.is_evacuated else "end"
        )
        extra = {
            "zone": state.zone,
            "era": state.era,
            "revision": state.revision,
            "source": source,
        }
        if state.zone not in self._known_zones:
            _logger.warning("evacuation of an unknown zone", extra=extra)
        elif state.is_evacuated:
            _logger.info("zone evacuated", extra=extra)
        else:
            _logger.info("evacuation of a zone ended", extra=extra)
        if state.is_evacuated:
            self._on_evacuated(state.zone)
        else:
            self._on_ended(state.zone)

    def _read_digest(self) -> int:
        digest = 0
        for zone in self._zones.evacuated():
            digest ^= element_digest(zone)
        return digest

    def _reconcile(self, member: Member, remote_digest: int) -> None:
        self.fetch(member)

    def _handle_request(
        self, sender: str, request: EvacuationsRequest
    ) -> EvacuationsReply:
        updates = [self._to_update(state) for state in self._zones.states()]
        return EvacuationsReply(self.is_loaded, updates)

    def _to_update(self, state: EvacuationState) -> EvacuationUpdate:
        ended_at = self._zones.ended_at(state.zone)
        ended_s_ago = 0.0
        if ended_at is not None:
            ended_s_ago = max(0.0, self._clock.monotonic() - ended_at)
        return EvacuationUpdate(
            state.zone, state.is_evacuated, state.era, state.revision, ended_s_ago
        )
