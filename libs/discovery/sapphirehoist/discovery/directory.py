"""Which endpoints there are now, from the platform's table and from peers.

An entry that vanishes while the platform's store is healthy names an endpoint that is
gone. One that is missing right after an outage may only have lapsed: its endpoint is
kept for a grace period, in which it writes its entry again if it lives.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from sapphirehoist.clock import Clock
from sapphirehoist.discovery.records import EndpointPhase, EndpointRecord
from sapphirehoist.observability import Metrics

# Entries that lapsed in an outage are back about 2 s after its end.
LAPSE_GRACE_S = 2.2
# An address is given to another service after 2 s; it is remembered no longer.
_DEPARTED_KEPT_S = 600.0

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that is draining or gone, as one node tells another.

    Attributes
    ----------
    name, born_ms : str, int
        Which incarnation of which endpoint.
    phase : EndpointPhase
        `DRAINING` or `GONE`.
    """

    name: str
    born_ms: int
    phase: EndpointPhase


class EndpointDirectory:
    """The endpoints by service; changes are logged with their source.

    Parameters
    ----------
    clock : Clock
        Times grace periods.
    metrics : Metrics
        Takes ``endpoint_changes_total``.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_departed",
        "_is_known",
        "_lapsed",
        "_listeners",
        "_metrics",
        "_records",
    )

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._records: dict[str, EndpointRecord] = {}
        self._by_service: dict[str, list[EndpointRecord]] = {}
        self._departed: dict[tuple[str, int], tuple[EndpointPhase, float]] = {}
        self._lapsed: dict[str, float] = {}
        self._is_known = False
        self._listeners: list[Callable[[Departure, EndpointRecord], None]] = []

    def on_departure(
        self, listener: Callable[[Departure, EndpointRecord], None]
    ) -> None:
        """Call `listener` when an endpoint begins to drain or is gone."""
        self._listeners.append(listener)

    @property
    def is_known(self) -> bool:
        """Return whether the whole table was read, here or by a peer."""
        return self._is_known

    def get(self, name: str) -> EndpointRecord | None:
        """Return the endpoint `name`, draining or not."""
        return self._records.get(name)

    def in_service(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of `service` that take new work."""
        return self._by_service.get(service, [])

    def all_records(self) -> list[EndpointRecord]:
        """Return every endpoint that is known."""
        return list(self._records.values())

    def take_all(
        self, records: Iterable[EndpointRecord], is_after_outage: bool
    ) -> None:
        """Take the whole table; what is missing has lapsed or is gone."""
        self._is_known = True
        found = {record.name: record for record in records}
        for name in [name for name in self._records if name not in found]:
            if is_after_outage:
                self._lapsed.setdefault(name, self._clock.monotonic())
            else:
                self._remove(name, "absent from the table")
        for record in found.values():
            self.take(record)

    def take_first(self, records: Iterable[EndpointRecord], source: str) -> None:
        """Take what a peer knows, as long as the table could not be read."""
        if self._is_known:
            return
        self._is_known = True
        for record in records:
            self.take(record, source)

    def take(self, record: EndpointRecord, source: str = "table") -> None:
        """Take one entry of the table."""
        self._lapsed.pop(record.name, None)
        known = self._records.get(record.name)
        if known is not None and _order(record) < _order(known):
            return
        departed = self._departed.get((record.name, record.born_ms))
        if departed is not None:
            if departed[0] is EndpointPhase.GONE:
                return
            record = replace(record, phase=EndpointPhase.DRAINING)
        self._records[record.name] = record
        self._index()
        if known is None or known.born_ms != record.born_ms:
            self._log_change(record, "new", source)
        elif (known.phase, known.service) != (record.phase, record.service):
            self._log_change(record, record.phase.value, source)
        was_draining = known is not None and known.phase is EndpointPhase.DRAINING
        if record.phase is EndpointPhase.DRAINING and not was_draining:
            self._tell(record, EndpointPhase.DRAINING)

    def drop(self, name: str, is_after_outage: bool, reason: str) -> None:
        """Take the removal of an entry."""
        if name not in self._records:
            return
        if is_after_outage:
            self._lapsed.setdefault(name, self._clock.monotonic())
        else:
            self._remove(name, reason)

    def learn(self, departure: Departure, source: str) -> bool:
        """Take what a peer has seen; return whether it was new."""
        key = (departure.name, departure.born_ms)
        known = self._departed.get(key)
        if known is not None and (
            known[0] is EndpointPhase.GONE or known[0] is departure.phase
        ):
            return False
        self._departed[key] = (departure.phase, self._clock.monotonic())
        record = self._records.get(departure.name)
        if record is None or record.born_ms != departure.born_ms:
            return True
        if departure.phase is EndpointPhase.GONE:
            self._remove(record.name, source)
        elif record.phase is EndpointPhase.IN_SERVICE:
            self._records[record.name] = replace(record, phase=EndpointPhase.DRAINING)
            self._log_change(record, EndpointPhase.DRAINING.value, source)
            self._index()
            self._tell(record, EndpointPhase.DRAINING)
        return True

    def expire(self) -> None:
        """Remove the endpoints whose entry has not come back after an outage."""
        now = self._clock.monotonic()
        for name, since in list(self._lapsed.items()):
            if now - since >= LAPSE_GRACE_S:
                self._remove(name, "entry not back after an outage")
        kept = {
            key: seen
            for key, seen in self._departed.items()
            if now - seen[1] < _DEPARTED_KEPT_S
        }
        self._departed = kept

    def _remove(self, name: str, reason: str) -> None:
        self._lapsed.pop(name, None)
        record = self._records.pop(name, None)
        if record is None:
            return
        self._log_change(record, EndpointPhase.GONE.value, reason)
        self._index()
        self._tell(record, EndpointPhase.GONE)

    def _tell(self, record: EndpointRecord, phase: EndpointPhase) -> None:
        departure = Departure(record.name, record.born_ms, phase)
        known = self._departed.get((record.name, record.born_ms))
        if phase is EndpointPhase.DRAINING and known is None:
            self._departed[(record.name, record.born_ms)] = (
                phase,
                self._clock.monotonic(),
            )
        for listener in self._listeners:
            listener(departure, record)

    def _index(self) -> None:
        by_service: dict[str, list[EndpointRecord]] = {}
        for record in self._records.values():
            if record.phase is EndpointPhase.IN_SERVICE:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = by_service

    def _log_change(self, record: EndpointRecord, change: str, source: str) -> None:
        self._metrics.count("endpoint_changes_total", change=change)
        _logger.info(
            "endpoint changed",
            extra={
                "endpoint": record.name,
                "change": change,
                "service": record.service,
                "address": record.address,
                "zone": record.zone,
                "sequence": record.sequence,
                "born_ms": record.born_ms,
                "source": source,
            },
        )


def _order(record: EndpointRecord) -> tuple[int, int]:
    return record.born_ms, record.sequence
