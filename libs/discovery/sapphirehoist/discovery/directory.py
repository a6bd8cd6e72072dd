"""Directory of known endpoints, built from the platform's table and from peers.

When an entry is deleted while the platform's store is reachable, its endpoint is gone.
When an entry is missing right after an outage of the store, it may only have expired:
its endpoint is kept for a grace period, within which a live endpoint rewrites its
entry. A store that was restored from a copy may show entries of endpoints that have
left since: they are ignored until their endpoint writes again.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from sapphirehoist.clock import Clock
from sapphirehoist.discovery.cold_times import ColdTimes
from sapphirehoist.discovery.records import EndpointPhase, EndpointRecord
from sapphirehoist.observability import Metrics

# Live endpoints rewrite entries that expired in an outage about 2 s after its end.
MISSING_ENTRY_GRACE_S = 2.2
# Sequence numbers are not negative, so that no entry is ignored.
_IGNORE_NONE = -1
_IGNORE_ALL = sys.maxsize
# Departures are kept far longer than the 2 s after which an address may be reassigned
# to another service.
_DEPARTURE_RETENTION_S = 600.0
# Longer than any stream that began at an endpoint which has left since.
_VERSION_RETENTION_S = 120.0

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _GoneIncarnation:
    """An incarnation that is gone.

    Attributes
    ----------
    ignored_up_to : int
        Entries with at most this sequence number are older than the departure.
    since : float
        Monotonic time at which the departure was recorded.
    """

    ignored_up_to: int
    since: float


@dataclass(frozen=True, slots=True)
class Departure:
    """Notice that an endpoint is draining or gone; nodes exchange departures.

    Attributes
    ----------
    name, born_ms : str, int
        Name of the endpoint and start time of the incarnation, as in `EndpointRecord`.
    phase : EndpointPhase
        `DRAINING` or `GONE`.
    sequence : int or None
        Sequence number of the endpoint's last known entry; None where unknown.
    """

    name: str
    born_ms: int
    phase: EndpointPhase
    sequence: int | None = None


class EndpointDirectory:
    """Known endpoints, indexed by name and by service.

    Each change is logged with its source. As long as its departure is retained, an
    incarnation that is draining does not return to service, and one that is gone is
    added again only by an entry that it wrote later.

    Parameters
    ----------
    clock : Clock
        Measures grace and retention periods.
    metrics : Metrics
        Receives ``endpoint_changes_total``.
    get_cold_start_s : callable, optional
        Returns for how many seconds endpoints of a service are cold after a start.
    """

    __slots__ = (
        "_clock",
        "_cold_times",
        "_draining_since",
        "_gone",
        "_in_service_records",
        "_incarnation_listeners",
        "_is_loaded",
        "_left_versions",
        "_listeners",
        "_metrics",
        "_missing_since",
        "_records",
        "_versions",
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        get_cold_start_s: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._cold_times = ColdTimes(clock, get_cold_start_s)
        self._records: dict[str, EndpointRecord] = {}
        self._in_service_records: dict[str, list[EndpointRecord]] = {}
        # Software versions of all known endpoints by service; by service and version,
        # the monotonic time at which an endpoint was last removed.
        self._versions: dict[str, set[str]] = {}
        self._left_versions: dict[tuple[str, str], float] = {}
        # By name and start time of an incarnation: monotonic time since which it is
        # known to be draining, and the departure of one that is gone.
        self._draining_since: dict[tuple[str, int], float] = {}
        self._gone: dict[tuple[str, int], _GoneIncarnation] = {}
        self._missing_since: dict[str, float] = {}
        self._is_loaded = False
        self._listeners: list[Callable[[Departure, EndpointRecord], None]] = []
        self._incarnation_listeners: list[Callable[[EndpointRecord], None]] = []

    def on_departure(
        self, listener: Callable[[Departure, EndpointRecord], None]
    ) -> None:
        """Call `listener` when an endpoint starts draining or is gone."""
        self._listeners.append(listener)

    def on_incarnation(self, listener: Callable[[EndpointRecord], None]) -> None:
        """Call `listener` with the first entry of each incarnation."""
        self._incarnation_listeners.append(listener)

    @property
    def is_loaded(self) -> bool:
        """Return whether the full table was loaded, from the store or from a peer."""
        return self._is_loaded

    def get(self, name: str) -> EndpointRecord | None:
        """Return the record of the endpoint `name`, including a draining one."""
        return self._records.get(name)

    def list_in_service(self, service: str) -> list[EndpointRecord]:
        """Return the records of the endpoints of `service` that accept new requests."""
        return self._in_service_records.get(service, [])

    def services(self) -> Collection[str]:
        """Return the services of all known endpoints, including draining ones."""
        return self._versions.keys()

    def recent_versions(self, service: str) -> set[str]:
        """Return the software versions that serve, or served until lately."""
        oldest = self._clock.monotonic() - _VERSION_RETENTION_S
        left_versions = {
            version
            for (left_service, version), left_at in self._left_versions.items()
            if left_service == service and left_at > oldest
        }
        return self._versions.get(service, set()) | left_versions

    def list_all(self) -> list[EndpointRecord]:
        """Return the records of all known endpoints, including draining ones."""
        return list(self._records.values())

    def list_for_peer(self) -> list[EndpointRecord]:
        """Return all records with the warm-up times that remain now."""
        return [
            replace(record, cold_s=cold_s, states_cold=record.states_cold or cold_s > 0)
            for record in self._records.values()
            for cold_s in (self._cold_times.remaining_s(record),)
        ]

    def cold_remaining_s(self, name: str) -> float:
        """Return how much longer an endpoint is cold; 0 for a warm or unknown one."""
        record = self._records.get(name)
        return self._cold_times.remaining_s(record) if record is not None else 0.0

    def record_cold(
        self, record: EndpointRecord, remaining_s: float, sent_at: float
    ) -> bool:
        """Record a warm-up time that an endpoint stated in a reply.

        `sent_at` is the monotonic time at which the request was sent. Return whether
        the endpoint is cold for longer than was known.
        """
        known = self._records.get(record.name)
        if known is None or known.born_ms != record.born_ms:
            return False
        return self._cold_times.apply_reply(record, remaining_s, sent_at)

    def presume_cold(self, zone: str) -> None:
        """Count all endpoints in `zone` as cold from now on, as after a start."""
        records = [r for r in self._records.values() if r.zone == zone]
        self._cold_times.presume_cold(records)

    def apply_full_read(
        self, records: Iterable[EndpointRecord], is_after_outage: bool
    ) -> None:
        """Apply a full read of the table.

        Endpoints without an entry are removed, or kept for the grace period if
        `is_after_outage`.
        """
        current = {record.name: record for record in records}
        for name in {name for name, _ in self._gone} - current.keys():
            self._trust_later_entries(name)
        for name in [name for name in self._records if name not in current]:
            if is_after_outage:
                self._missing_since.setdefault(name, self._clock.monotonic())
            else:
                self._remove(name, "absent from the table")
        for record in current.values():
            self.apply_entry(record)
        self._is_loaded = True

    def distrust_entries(self, records: Iterable[EndpointRecord]) -> None:
        """Ignore entries of endpoints that are gone until these write again.

        `records` are the entries of a store that was restored from a copy, which may
        contain endpoints that have left since the copy was made.
        """
        for record in records:
            key = (record.name, record.born_ms)
            gone = self._gone.get(key)
            if gone is not None:
                ignored_up_to = max(gone.ignored_up_to, record.sequence)
                self._gone[key] = replace(gone, ignored_up_to=ignored_up_to)

    def load_from_peer(self, records: Iterable[EndpointRecord], source: str) -> None:
        """Apply the records of a peer, unless the full table is already loaded."""
        if self._is_loaded:
            return
        for record in records:
            self.apply_entry(record, source)
        self._is_loaded = True

    def apply_entry(self, record: EndpointRecord, source: str = "table") -> None:
        """Apply an entry from the table or a peer, unless a newer one is known."""
        self._missing_since.pop(record.name, None)
        known = self._records.get(record.name)
        if known is not None and _version_key(record) < _version_key(known):
            return
        key = (record.name, record.born_ms)
        gone = self._gone.get(key)
        if gone is not None:
            if record.sequence <= gone.ignored_up_to:
                return
            del self._gone[key]
        is_new = known is None or known.born_ms != record.born_ms
        # At the first read, endpoints that have run for long are new to this node too.
        has_started = is_new and gone is None and self._is_loaded
        self._cold_times.apply_entry(record, has_started)
        if key in self._draining_since:
            record = replace(record, phase=EndpointPhase.DRAINING)
        if known is not None:
            self._record_left_version(known)
        self._records[record.name] = record
        self._rebuild_service_index()
        if known is None or known.born_ms != record.born_ms:
            self._log_change(record, "new", source)
            for listener in self._incarnation_listeners:
                listener(record)
        elif (known.phase, known.service) != (record.phase, record.service):
            self._log_change(record, record.phase.value, source)
        was_draining = known is not None and known.phase is EndpointPhase.DRAINING
        if record.phase is EndpointPhase.DRAINING and not was_draining:
            self._publish_departure(record, EndpointPhase.DRAINING)

    def apply_deletion(self, name: str, is_after_outage: bool, reason: str) -> None:
        """Apply the deletion of an entry.

        The endpoint is removed, or kept for the grace period if `is_after_outage`.
        """
        if name not in self._records:
            self._trust_later_entries(name)
        elif is_after_outage:
            self._missing_since.setdefault(name, self._clock.monotonic())
        else:
            self._remove(name, reason)

    def _trust_later_entries(self, name: str) -> None:
        """Accept the next entry of `name`, which a peer reported as gone before.

        The table has shown its removal, so that a later entry is a new registration.
        """
        for key, gone in self._gone.items():
            if key[0] == name:
                self._gone[key] = replace(gone, ignored_up_to=_IGNORE_NONE)

    def apply_departure(self, departure: Departure, source: str) -> bool:
        """Apply a departure received from a peer; return whether it was new."""
        record = self._records.get(departure.name)
        if record is not None and record.born_ms != departure.born_ms:
            record = None
        if departure.phase is EndpointPhase.GONE:
            return self._apply_gone(departure, record, source)
        key = (departure.name, departure.born_ms)
        if key in self._draining_since:
            return False
        self._draining_since[key] = self._clock.monotonic()
        if record is not None and record.phase is EndpointPhase.IN_SERVICE:
            self._records[record.name] = replace(record, phase=EndpointPhase.DRAINING)
            self._log_change(record, EndpointPhase.DRAINING.value, source)
            self._rebuild_service_index()
            self._publish_departure(record, EndpointPhase.DRAINING)
        return True

    def _apply_gone(
        self, departure: Departure, record: EndpointRecord | None, source: str
    ) -> bool:
        """Apply a departure of an endpoint that is gone; return whether it was new."""
        if (departure.name, departure.born_ms) in self._gone:
            return False
        sequence = _IGNORE_ALL if departure.sequence is None else departure.sequence
        if record is not None:
            if record.sequence > sequence:
                return False  # it has registered again since
            self._remove(record.name, source)
        self._record_gone(departure.name, departure.born_ms, sequence)
        return True

    def remove_expired(self) -> None:
        """Remove endpoints whose grace period has ended, and old departures."""
        now = self._clock.monotonic()
        for name, missing_since in list(self._missing_since.items()):
            if now - missing_since >= MISSING_ENTRY_GRACE_S:
                self._remove(name, "entry not back after an outage")
        oldest = now - _DEPARTURE_RETENTION_S
        self._gone = {
            key: gone for key, gone in self._gone.items() if gone.since > oldest
        }
        present = {(r.name, r.born_ms) for r in self._records.values()}
        oldest_version = now - _VERSION_RETENTION_S
        self._left_versions = {
            key: left_at
            for key, left_at in self._left_versions.items()
            if left_at > oldest_version
        }
        self._draining_since = {
            key: since
            for key, since in self._draining_since.items()
            if since > oldest or key in present
        }

    def _remove(self, name: str, reason: str) -> None:
        self._missing_since.pop(name, None)
        record = self._records.pop(name, None)
        if record is None:
            return
        self._cold_times.discard(name)
        self._record_left_version(record)
        self._record_gone(record.name, record.born_ms, _IGNORE_NONE)
        self._log_change(record, EndpointPhase.GONE.value, reason)
        self._rebuild_service_index()
        self._publish_departure(record, EndpointPhase.GONE)

    def _record_left_version(self, record: EndpointRecord) -> None:
        key = (record.service, record.software_version)
        self._left_versions[key] = self._clock.monotonic()

    def _record_gone(self, name: str, born_ms: int, ignored_up_to: int) -> None:
        now = self._clock.monotonic()
        self._gone[(name, born_ms)] = _GoneIncarnation(ignored_up_to, now)

    def _publish_departure(self, record: EndpointRecord, phase: EndpointPhase) -> None:
        departure = Departure(record.name, record.born_ms, phase, record.sequence)
        if phase is EndpointPhase.DRAINING:
            key = (record.name, record.born_ms)
            self._draining_since.setdefault(key, self._clock.monotonic())
        for listener in self._listeners:
            listener(departure, record)

    def _rebuild_service_index(self) -> None:
        by_service: dict[str, list[EndpointRecord]] = {}
        versions: dict[str, set[str]] = {}
        for record in self._records.values():
            versions.setdefault(record.service, set()).add(record.software_version)
            if record.phase is EndpointPhase.IN_SERVICE:
                by_service.setdefault(record.service, []).append(record)
        self._in_service_records = by_service
        self._versions = versions

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
                "software_version": record.software_version,
                "source": source,
            },
        )


def _version_key(record: EndpointRecord) -> tuple[int, int]:
    return record.born_ms, record.sequence
