"""Streams of which it is not certain yet which software version began them.

The node that relays such a stream watches the entries of its engine. The holders of the
stream's origin are told that it will be known, so that a caller which takes the stream
up meanwhile waits for it and is not refused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    StreamOrigin,
    TrackedStream,
    VersionWatch,
    VersionWatches,
    stream_holders,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.membership import Fleet
from sapphirehoist.peers import PeerBus, PeerMessage


class PendingStreamEntry(PeerMessage, frozen=True, array_like=True):
    """One stream; its origin is no longer awaited if no time remains."""

    KIND: ClassVar[str] = "gateway.pending_stream"

    request_id: str
    remaining_s: float


class PendingStreamsUpdate(PeerMessage, frozen=True, array_like=True):
    """Tells the holders of streams that their origins will be known."""

    KIND: ClassVar[str] = "gateway.pending_streams"

    entries: list[PendingStreamEntry]


@dataclass(frozen=True, slots=True)
class _PendingStream:
    """A stream that this node relays.

    Attributes
    ----------
    service : str
        Service of the stream.
    watch : VersionWatch
        Finds out which version began it.
    expires_at : float
        Monotonic time until which its caller may take it up.
    """

    service: str
    watch: VersionWatch
    expires_at: float


class PendingStreamOrigins:
    """Watches the streams of this node, and knows which ones others watch.

    Parameters
    ----------
    fleet : Fleet
        Members among which holders are chosen.
    bus : PeerBus
        Exchanges messages with holders.
    holder_count : int
        Number of holders of each stream.
    clock : Clock
        Monotonic time.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_elsewhere",
        "_fleet",
        "_holder_count",
        "_pending",
        "_unsent",
        "_watches",
    )

    def __init__(
        self, fleet: Fleet, bus: PeerBus, holder_count: int, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._holder_count = holder_count
        self._clock = clock
        self._watches = VersionWatches()
        # By the id of the request that began the stream.
        self._pending: dict[str, _PendingStream] = {}
        self._elsewhere: dict[str, float] = {}
        self._unsent: list[PendingStreamEntry] = []
        bus.subscribe(PendingStreamsUpdate, self._handle_update)

    def begin(
        self,
        request_id: str,
        endpoint: EndpointRecord,
        remaining_s: float,
        lost_at: float,
        connected_at: float,
    ) -> VersionWatch:
        """Watch a stream that has begun.

        Parameters
        ----------
        request_id : str
            Id of the caller's request that began the stream.
        endpoint : EndpointRecord
            Entry of the endpoint as of the choice of it.
        remaining_s : float
            Time until the caller's deadline.
        lost_at, connected_at : float
            As for `VersionWatch`.
        """
        watch = self._watches.begin(
            endpoint.name, endpoint.software_version, lost_at, connected_at
        )
        expires_at = self._clock.monotonic() + remaining_s
        pending = _PendingStream(endpoint.service, watch, expires_at)
        self._pending[request_id] = pending
        return watch

    def is_pending(self, request_id: str) -> bool:
        """Return whether the origin of a stream will be known, here or elsewhere."""
        return (
            request_id in self._pending
            or self._elsewhere.get(request_id, 0.0) > self._clock.monotonic()
        )

    def apply_entry(self, endpoint: EndpointRecord) -> None:
        """Record that an entry has stated another incarnation of an endpoint."""
        self._watches.apply_entry(
            endpoint.name, endpoint.software_version, self._clock.monotonic()
        )

    def apply_read(self, began_at: float, ended_at: float) -> None:
        """Learn from a read of the endpoints; see `VersionWatches`."""
        self._watches.apply_read(began_at, ended_at)

    def take_decided(
        self, is_mixed: Callable[[str], bool]
    ) -> list[tuple[str, StreamOrigin, float]]:
        """Return the streams that have become certain: id, origin and remaining time.

        Others are forgotten once nothing more is to be learned. `is_mixed` returns
        whether several versions serve, so that holders wait for the streams of a
        service.
        """
        now = self._clock.monotonic()
        certain = []
        for request_id, pending in list(self._pending.items()):
            remaining_s = pending.expires_at - now
            if remaining_s <= 0:
                pending.watch.give_up()
            if not pending.watch.is_decided:
                continue
            del self._pending[request_id]
            version = pending.watch.software_version
            if version is not None:
                origin = StreamOrigin(pending.service, version)
                certain.append((request_id, origin, remaining_s))
            elif is_mixed(pending.service):
                self._unsent.append(PendingStreamEntry(request_id, 0.0))
        return certain

    def announce(self, request_id: str) -> None:
        """Tell the holders of a stream soon that its origin will be known."""
        pending = self._pending[request_id]
        remaining_s = pending.expires_at - self._clock.monotonic()
        self._unsent.append(PendingStreamEntry(request_id, remaining_s))

    def announce_service(self, service: str) -> None:
        """Announce all present streams of a service."""
        for request_id, pending in self._pending.items():
            if pending.service == service:
                self.announce(request_id)

    def send(self) -> None:
        """Send what was announced."""
        if not self._unsent:
            return
        entries, self._unsent = self._unsent, []
        members = {member.vm: member for member in self._fleet.other_members()}
        by_holder: dict[str, list[PendingStreamEntry]] = {}
        for entry in entries:
            for vm in stream_holders(entry.request_id, members, self._holder_count):
                by_holder.setdefault(vm, []).append(entry)
        for vm, held in by_holder.items():
            self._bus.notify(members[vm].peer_address, PendingStreamsUpdate(held))

    def forget(self, streams: Iterable[TrackedStream]) -> None:
        """Await no longer what has become known."""
        for stream in streams:
            self._elsewhere.pop(stream.request_id, None)

    def remove_expired(self) -> None:
        """Forget the streams of other nodes that no caller takes up any more."""
        now = self._clock.monotonic()
        self._elsewhere = {
            request_id: expires_at
            for request_id, expires_at in self._elsewhere.items()
            if expires_at > now
        }

    def _handle_update(self, sender: str, update: PendingStreamsUpdate) -> None:
        now = self._clock.monotonic()
        for entry in update.entries:
            self._elsewhere[entry.request_id] = now + entry.remaining_s
