"""Keeps the origins of streams in the store while software versions are mixed.

Nodes that are all killed at once lose what they hold in memory. One node per service
writes the origins of all streams in batches, and the versions that serve. Rows are
removed once no caller takes these streams up any more.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import ClassVar

import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    StreamOrigin,
    StreamOrigins,
    TrackedStream,
    rendezvous_score,
)
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
from sapphirehoist.peers import PeerBus, PeerMessage
from sapphirehoist.storage import Committed, TableService, Unavailable, Write

_WRITE_INTERVAL_S = 0.2
_RETRY_INTERVAL_S = 1.0
_MAX_STREAMS_PER_ROW = 40
_MAX_ROWS_PER_WRITE = 40
# While the store is away, older ones are dropped.
_MAX_UNWRITTEN_STREAMS = 1_600
# Longer than callers take a stream up.
_ROW_RETENTION_S = 60.0
_PREFIX = "stream_origins/"
_BATCH_PREFIX = _PREFIX + "batch/"
_VERSIONS_PREFIX = _PREFIX + "versions/"

_logger = logging.getLogger(__name__)


class StreamOriginEntry(PeerMessage, frozen=True, array_like=True):
    """One stream; see `TrackedStream`."""

    KIND: ClassVar[str] = "gateway.stream_origin"

    request_id: str
    service: str
    software_version: str
    remaining_s: float

    @classmethod
    def from_stream(cls, stream: TrackedStream) -> StreamOriginEntry:
        """Return the entry of a stream."""
        origin = stream.origin
        return cls(
            stream.request_id,
            origin.service,
            origin.software_version,
            stream.remaining_s,
        )

    def to_stream(self) -> TrackedStream:
        """Return the stream of this entry."""
        origin = StreamOrigin(self.service, self.software_version)
        return TrackedStream(self.request_id, origin, self.remaining_s)


class StreamOriginsWriteRequest(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver to write the origins of streams to the store."""

    KIND: ClassVar[str] = "gateway.stream_origins_write"

    entries: list[StreamOriginEntry]


class StreamOriginJournal:
    """Writes origins to the store, and reads those of before this node started.

    Parameters
    ----------
    table : TableService
        The platform's table.
    origins : StreamOrigins
        Receives the origins that were read.
    fleet : Fleet
        Members among which the writers are chosen.
    bus : PeerBus
        Sends origins to the writers.
    clock : Clock
        Determines the time between writes.

    Attributes
    ----------
    is_loaded : bool
        Whether the origins and versions of before have been read.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_expiring_rows",
        "_fleet",
        "_origins",
        "_recalled_until",
        "_recalled_versions",
        "_row_number",
        "_table",
        "_unwritten",
        "_versions",
        "_writers",
        "_written_versions",
        "is_loaded",
    )

    def __init__(
        self,
        table: TableService,
        origins: StreamOrigins,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
    ) -> None:
        self._table = table
        self._origins = origins
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self.is_loaded = False
        self._recalled_versions: dict[str, list[str]] = {}
        self._recalled_until = 0.0
        self._row_number = 0
        self._unwritten: list[StreamOriginEntry] = []
        # Versions of the services with several, as given and as written by this node.
        self._versions: dict[str, list[str]] = {}
        self._written_versions: dict[str, list[str]] = {}
        self._writers: dict[str, str] = {}
        # Service of each row to be removed and the monotonic time for it, by key.
        self._expiring_rows: dict[str, tuple[str, float]] = {}
        bus.subscribe(StreamOriginsWriteRequest, self._handle_write_request)
        table.era.on_restore(lambda era: self._write_again())

    def recalled_versions(self, service: str) -> set[str]:
        """Return the versions that served before all nodes were restarted."""
        if self._clock.monotonic() >= self._recalled_until:
            return set()
        return set(self._recalled_versions.get(service, ()))

    def services(self) -> set[str]:
        """Return the services that had several versions before."""
        return {s for s in self._recalled_versions if self.recalled_versions(s)}

    def set_versions(self, versions: dict[str, list[str]]) -> None:
        """Set the versions of the services that have several."""
        self._versions = versions
        for service in versions:
            writer = self._writer(service).vm
            if self._writers.get(service, writer) != writer:
                self.add(self._origins.streams_of(service))
            self._writers[service] = writer

    def add(self, streams: Iterable[TrackedStream]) -> None:
        """Have the origins of streams written soon."""
        by_writer: dict[str, list[StreamOriginEntry]] = {}
        members: dict[str, Member] = {}
        for stream in streams:
            member = self._writer(stream.origin.service)
            members[member.vm] = member
            entry = StreamOriginEntry.from_stream(stream)
            by_writer.setdefault(member.vm, []).append(entry)
        for vm, entries in by_writer.items():
            if vm == self._fleet.local_member.vm:
                self._unwritten.extend(entries)
            else:
                self._bus.notify(
                    members[vm].peer_address, StreamOriginsWriteRequest(entries)
                )

    def run(self) -> None:
        """Read the rows of before, then write at a fixed interval, until killed."""
        while not self.is_loaded:
            self._load()
            if not self.is_loaded:
                self._clock.sleep(_RETRY_INTERVAL_S)
        while True:
            is_written = self._write()
            self._clock.sleep(_WRITE_INTERVAL_S if is_written else _RETRY_INTERVAL_S)

    def _writer(self, service: str) -> Member:
        """Return the member that writes the origins of a service."""
        serving = [
            member
            for member in self._fleet.present_members()
            if self._fleet.is_serving(member.vm)
        ]
        return max(
            serving or [self._fleet.local_member],
            key=lambda member: rendezvous_score(_PREFIX + service, member.vm),
        )

    def _is_writer(self, service: str) -> bool:
        return self._writer(service).vm == self._fleet.local_member.vm

    def _load(self) -> None:
        rows = self._table.read_prefix(_PREFIX)
        if isinstance(rows, Unavailable):
            return
        now = self._clock.monotonic()
        stream_count = 0
        for row in rows.rows:
            service = row.key.removeprefix(_BATCH_PREFIX).removeprefix(_VERSIONS_PREFIX)
            service = service.partition("/")[0]
            self._expiring_rows[row.key] = (service, now + _ROW_RETENTION_S)
            if row.key.startswith(_VERSIONS_PREFIX):
                versions = decode_json(row.value, list[str])
                if not isinstance(versions, MalformedMessage):
                    self._recalled_versions[service] = versions
                continue
            entries = decode_json(row.value, list[StreamOriginEntry])
            if not isinstance(entries, MalformedMessage):
                stream_count += len(entries)
                for entry in entries:
                    self._origins.record(entry.to_stream())
        self._recalled_until = now + _ROW_RETENTION_S
        self.is_loaded = True
        if rows.rows:
            _logger.info(
                "recalled origins of streams",
                extra={"streams": stream_count, "versions": self._recalled_versions},
            )

    def _write(self) -> bool:
        """Write what is new, and remove what has expired, in one transaction.

        Return False if the store did not confirm it; it is then written again.
        """
        entries, self._unwritten = self._unwritten[-_MAX_UNWRITTEN_STREAMS:], []
        writes = [*self._version_writes(), *self._batch_writes(entries)]
        now = self._clock.monotonic()
        expired = [
            key
            for key, (service, expires_at) in self._expiring_rows.items()
            if expires_at <= now and self._is_writer(service)
        ][:_MAX_ROWS_PER_WRITE]
        writes += [Write(key, None) for key in expired]
        if not writes:
            return True
        outcome = self._table.transact([], writes)
        if not isinstance(outcome, Committed):
            self._written_versions.clear()
            self._unwritten = entries + self._unwritten
            return False
        for key in expired:
            del self._expiring_rows[key]
        return True

    def _version_writes(self) -> list[Write]:
        writes = []
        for service, versions in self._versions.items():
            if self._written_versions.get(service) == versions:
                continue
            if not self._is_writer(service):
                continue
            self._written_versions[service] = versions
            key = _VERSIONS_PREFIX + service
            self._expiring_rows.pop(key, None)
            writes.append(Write(key, encode_json(versions)))
        for service in self._written_versions.keys() - self._versions.keys():
            del self._written_versions[service]
            key = _VERSIONS_PREFIX + service
            expires_at = self._clock.monotonic() + _ROW_RETENTION_S
            self._expiring_rows[key] = (service, expires_at)
        return writes

    def _batch_writes(self, entries: list[StreamOriginEntry]) -> list[Write]:
        by_service: dict[str, list[StreamOriginEntry]] = {}
        for entry in entries:
            by_service.setdefault(entry.service, []).append(entry)
        member = self._fleet.local_member
        writes = []
        for service, of_service in by_service.items():
            for first in range(0, len(of_service), _MAX_STREAMS_PER_ROW):
                self._row_number += 1
                name = f"{member.vm}-{member.incarnation}-{self._row_number}"
                key = f"{_BATCH_PREFIX}{service}/{name}"
                expires_at = self._clock.monotonic() + _ROW_RETENTION_S
                self._expiring_rows[key] = (service, expires_at)
                batch = of_service[first : first + _MAX_STREAMS_PER_ROW]
                writes.append(Write(key, msgspec.json.encode(batch)))
        return writes

    def _write_again(self) -> None:
        """Write everything again; the restored store may lack it."""
        self._written_versions.clear()
        for service in self._versions:
            self.add(self._origins.streams_of(service))

    def _handle_write_request(
        self, sender: str, request: StreamOriginsWriteRequest
    ) -> None:
        self._unwritten.extend(request.entries)
