"""One node in each region reads the store and passes the changes on to the others."""

from __future__ import annotations

import logging
import zlib
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import most_capable, rendezvous_score
from sapphirehoist.discovery import ReadSharing, SharedRead, TableFollower, TableRow
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.messages import decode_msgpack, encode_msgpack
from sapphirehoist.peers import PeerBus, PeerMessage

# Time for which a node that could not read the store does not read for others.
_EXCLUSION_S = 3.0
# Larger payloads, such as a whole configuration, are compressed.
_MIN_COMPRESSED_BYTES = 1_000
_COMPRESSION_LEVEL = 1

_logger = logging.getLogger(__name__)


class SharedReadMessage(PeerMessage, frozen=True, array_like=True):
    """Passes a read of one table on.

    Attributes
    ----------
    table : str
        Name of the table's follower.
    era, base_revision, revision, is_after_outage
        As in `SharedRead`.
    rows : bytes
        MessagePack of the changed rows, as pairs of key and value.
    is_compressed : bool
        Whether `rows` is compressed with zlib.
    duration_s : float
        As in `SharedRead`; nodes that do not state it poll for about as long.
    """

    KIND: ClassVar[str] = "gateway.shared_read"

    table: str
    era: int
    base_revision: int
    revision: int
    is_after_outage: bool
    rows: bytes
    is_compressed: bool
    duration_s: float = 1.5


class ReadFailureMessage(PeerMessage, frozen=True, array_like=True):
    """Tells that the sender cannot read the store, so that another node reads."""

    KIND: ClassVar[str] = "gateway.read_failure"


class RegionReaders:
    """Chooses the node of this region that reads the store for the others.

    It is one of the serving nodes with the best links, chosen by rendezvous hashing.
    Nodes that report that they cannot read are left out for a while, unless all do.

    Parameters
    ----------
    fleet : Fleet
        Known nodes and their status.
    bus : PeerBus
        Exchanges messages with the nodes of the region.
    clock : Clock
        Monotonic time.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_excluded_until",
        "_fleet",
        "_followers",
        "_ranked_members",
        "_ranked_revision",
    )

    def __init__(self, fleet: Fleet, bus: PeerBus, clock: Clock) -> None:
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._excluded_until: dict[str, float] = {}
        self._followers: dict[str, TableFollower] = {}
        # Serving nodes of the region, the preferred one first, as of this revision of
        # the view.
        self._ranked_members: list[Member] = []
        self._ranked_revision = -1
        bus.subscribe(SharedReadMessage, self._handle_shared_read)
        bus.subscribe(ReadFailureMessage, self._handle_failure)

    def share_reads_of(self, table: str) -> ReadSharing:
        """Return the sharing of one table; `add_follower` follows."""
        return _TableReadSharing(table, self)

    def add_follower(self, table: str, follower: TableFollower) -> None:
        """Deliver the reads of other nodes to the follower of `table`."""
        self._followers[table] = follower

    def reader(self) -> Member | None:
        """Return the node that reads for this region; None if none serves."""
        ranked = self._rank()
        now = self._clock.monotonic()
        for member in ranked:
            if self._excluded_until.get(member.vm, 0.0) <= now:
                return member
        return ranked[0] if ranked else None

    def is_reader(self) -> bool:
        """Return whether this node reads for its region."""
        reader = self.reader()
        return reader is not None and reader.vm == self._fleet.local_member.vm

    def others(self) -> list[Member]:
        """Return the other present nodes of the region."""
        region = self._fleet.local_member.region
        return [m for m in self._fleet.other_members() if m.region == region]

    def publish(self, table: str, read: SharedRead) -> None:
        """Send a read to the other nodes of the region."""
        rows = encode_msgpack([(row.key, row.value) for row in read.rows])
        is_compressed = len(rows) >= _MIN_COMPRESSED_BYTES
        if is_compressed:
            rows = zlib.compress(rows, _COMPRESSION_LEVEL)
        message = SharedReadMessage(
            table,
            read.era,
            read.base_revision,
            read.revision,
            read.is_after_outage,
            rows,
            is_compressed,
            read.duration_s,
        )
        self._bus.notify_all([m.peer_address for m in self.others()], message)

    def report_failure(self) -> None:
        """Leave this node out for a while, and tell the others."""
        if not self.is_reader():
            return
        vm = self._fleet.local_member.vm
        self._excluded_until[vm] = self._clock.monotonic() + _EXCLUSION_S
        addresses = [member.peer_address for member in self.others()]
        self._bus.notify_all(addresses, ReadFailureMessage())
        _logger.info("cannot read the store for the region")

    def _rank(self) -> list[Member]:
        revision = self._fleet.view.revision
        if revision != self._ranked_revision:
            self._ranked_revision = revision
            region = self._fleet.local_member.region
            serving = [
                member
                for member in self._fleet.present_members()
                if member.region == region and self._fleet.is_serving(member.vm)
            ]
            self._ranked_members = sorted(
                most_capable(serving, lambda member: member.link_mbps),
                key=lambda member: rendezvous_score(region, member.vm),
                reverse=True,
            )
        return self._ranked_members

    def _handle_shared_read(self, sender: str, message: SharedReadMessage) -> None:
        follower = self._followers.get(message.table)
        rows = _decode_rows(message)
        if follower is None or rows is None:
            return
        follower.apply_shared_read(
            SharedRead(
                message.era,
                message.base_revision,
                message.revision,
                rows,
                message.is_after_outage,
                message.duration_s,
            )
        )

    def _handle_failure(self, sender: str, message: ReadFailureMessage) -> None:
        self._excluded_until[sender] = self._clock.monotonic() + _EXCLUSION_S


class _TableReadSharing(ReadSharing):
    """Sharing of the reads of one table within the region."""

    __slots__ = ("_readers", "_table")

    def __init__(self, table: str, readers: RegionReaders) -> None:
        self._table = table
        self._readers = readers

    def is_reader(self) -> bool:
        """Return whether this node reads the table for its region."""
        return self._readers.is_reader()

    def has_other_nodes(self) -> bool:
        """Return whether the region has other nodes."""
        return bool(self._readers.others())

    def publish(self, read: SharedRead) -> None:
        """Send the read to the other nodes of the region."""
        self._readers.publish(self._table, read)

    def report_failure(self) -> None:
        """Let another node of the region read."""
        self._readers.report_failure()


def _decode_rows(message: SharedReadMessage) -> tuple[TableRow, ...] | None:
    data = message.rows
    if message.is_compressed:
        try:
            data = zlib.decompress(data)
        except zlib.error:
            return None
    pairs = decode_msgpack(data, list[tuple[str, bytes | None]])
    if not isinstance(pairs, list):
        return None
    return tuple(TableRow(key, value) for key, value in pairs)
