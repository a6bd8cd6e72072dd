"""Shares the paces of engines that nodes learn from streams."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import ClassVar

from sapphirehoist.decisions import EnginePaces, PaceState
from sapphirehoist.discovery import (
    Departure,
    EndpointDirectory,
    EndpointPhase,
    EndpointRecord,
)
from sapphirehoist.membership import Fleet
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import PeerMessage

_logger = logging.getLogger(__name__)


class PaceUpdate(PeerMessage, frozen=True, array_like=True):
    """Publishes the pace of one incarnation of an engine; see `PaceState`."""

    KIND: ClassVar[str] = "gateway.engine_pace"

    endpoint: str
    born_ms: int
    revision: int
    gap_s: float


class EnginePaceSync:
    """Publishes new estimates of this node and applies those of its peers.

    Speeds are learned for services whose engines state slowdowns. Where they do not,
    the gaps between events follow the load of an engine rather than its speed. A missed
    update is not repaired: the node learns the pace from its own streams.

    Parameters
    ----------
    paces : EnginePaces
        Estimates of this node.
    directory : EndpointDirectory
        Known endpoints; estimates of others are neither applied nor kept.
    fleet : Fleet
        Floods the estimates.
    metrics : Metrics
        Receives ``engine_pace_changes_total``.
    """

    __slots__ = ("_directory", "_fleet", "_metrics", "_paces", "_uneven_services")

    def __init__(
        self,
        paces: EnginePaces,
        directory: EndpointDirectory,
        fleet: Fleet,
        metrics: Metrics,
    ) -> None:
        self._paces = paces
        self._directory = directory
        self._fleet = fleet
        self._metrics = metrics
        # Services of which an engine has stated a slowdown.
        self._uneven_services: set[str] = set()
        fleet.subscribe_updates(PaceUpdate, self._handle_update)
        directory.on_departure(self._on_departure)

    def factors(self, service: str) -> Mapping[str, float]:
        """Return the work time of engines relative to a typical one of `service`.

        Engines that are left out take the time of a typical one.
        """
        pool = self._directory.list_in_service(service)
        return self._paces.factors(record.name for record in pool)

    def record_stream(
        self, record: EndpointRecord, gaps_s: Sequence[float], slowdown: float
    ) -> None:
        """Record the times between the events of a stream of `record`.

        `slowdown` is the factor by which the engine stated to be slowed down.
        """
        if slowdown != 1.0:
            self._uneven_services.add(record.service)
        if record.service not in self._uneven_services:
            return
        state = self._paces.record_stream(record.name, record.born_ms, gaps_s, slowdown)
        if state is None:
            return
        self._metrics.count("engine_pace_changes_total")
        _logger.info(
            "engine pace changed",
            extra={
                "endpoint": state.endpoint,
                "gap_ms": round(state.gap_s * 1000, 1),
                "revision": state.revision,
            },
        )
        self._fleet.broadcast(
            PaceUpdate(state.endpoint, state.incarnation, state.revision, state.gap_s)
        )

    def _handle_update(self, update: PaceUpdate) -> bool:
        record = self._directory.get(update.endpoint)
        if record is None or record.born_ms != update.born_ms or update.gap_s <= 0:
            return False
        state = PaceState(
            update.endpoint, update.born_ms, update.revision, update.gap_s
        )
        return self._paces.apply(state)

    def _on_departure(self, departure: Departure, record: EndpointRecord) -> None:
        if departure.phase is EndpointPhase.GONE:
            self._paces.discard(record.name)
