"""Tells other nodes which software version began a stream, and asks them.

While one software version serves, every node knows the origin of each stream, and
nothing is sent. Otherwise a few nodes hold the origin of each stream: the one that
relays its first event, and others that are chosen by a hash of its request id. The
store has it, too, in case all nodes are killed at once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import ClassVar

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    StreamOrigin,
    StreamOrigins,
    TrackedStream,
    VersionWatch,
    infer_origin,
    may_infer_origin,
    stream_holders,
)
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.pending_stream_origins import PendingStreamOrigins
from sapphirehoist.gateway.stream_origin_journal import (
    StreamOriginEntry,
    StreamOriginJournal,
)
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_SEND_INTERVAL_S = 0.05
_HOLDER_COUNT = 3
# Members that have joined or left since change the ranks of the others.
_ASKED_COUNT = 5
_LOOKUP_TIMEOUT_S = 0.5
# The store answers a read at most this long before the read ends.
_READ_DELAY_S = 0.1
# Longer than the time between two reads of the endpoints.
_READ_TIMEOUT_S = 1.5
_READ_POLL_INTERVAL_S = 0.05
# A caller that takes a stream up waits this long for an origin that will be known.
_PENDING_TIMEOUT_S = 1.5
_PENDING_POLL_INTERVAL_S = 0.1
# A caller that takes its stream up just before its deadline may reach a node after it.
_EXPIRY_MARGIN_S = 2.0

_logger = logging.getLogger(__name__)


class StreamOriginsUpdate(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver to hold the origins of streams."""

    KIND: ClassVar[str] = "gateway.stream_origins"

    entries: list[StreamOriginEntry]


class StreamOriginRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the origin of a stream of `service`."""

    KIND: ClassVar[str] = "gateway.stream_origin_request"

    request_id: str
    service: str


class StreamOriginReply(PeerMessage, frozen=True, array_like=True):
    """The origin of a stream, if the sender knows it.

    Attributes
    ----------
    origins : list of StreamOriginEntry
        The stream; empty if the sender does not know it.
    recent_versions : list of str
        Software versions that the sender has lately seen at the service.
    knows_past : bool
        Whether these include the versions of before the sender started.
    is_pending : bool
        Whether the origin is not certain yet, and will be known soon.
    """

    KIND: ClassVar[str] = "gateway.stream_origin_reply"

    origins: list[StreamOriginEntry]
    recent_versions: list[str]
    knows_past: bool = True
    is_pending: bool = False


class StreamOriginSync:
    """Records the origins of streams here and at their holders, and finds them.

    Parameters
    ----------
    origins : StreamOrigins
        Origins known to this node.
    journal : StreamOriginJournal
        Origins in the store.
    directory : EndpointDirectory
        Knows which software versions serve.
    fleet : Fleet
        Members among which holders are chosen.
    bus : PeerBus
        Exchanges messages with holders.
    clock : Clock
        Determines the time between updates.
    get_endpoints_read_at : callable
        Returns the monotonic time of the last read of the endpoints; None before it.
    get_propagation_bound_s : callable
        Returns the time, in seconds, within which every node has to apply a change.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_directory",
        "_fleet",
        "_get_endpoints_read_at",
        "_get_propagation_bound_s",
        "_journal",
        "_mixed_services",
        "_origins",
        "_pending",
        "_unsent",
    )

    def __init__(
        self,
        origins: StreamOrigins,
        journal: StreamOriginJournal,
        directory: EndpointDirectory,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        get_endpoints_read_at: Callable[[], float | None],
        get_propagation_bound_s: Callable[[], float],
    ) -> None:
        self._origins = origins
        self._get_endpoints_read_at = get_endpoints_read_at
        self._get_propagation_bound_s = get_propagation_bound_s
        self._journal = journal
        self._directory = directory
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._mixed_services: set[str] = set()
        self._unsent: list[TrackedStream] = []
        self._pending = PendingStreamOrigins(fleet, bus, _HOLDER_COUNT, clock)
        directory.on_incarnation(self._pending.apply_entry)
        bus.subscribe(StreamOriginsUpdate, self._handle_update)
        bus.subscribe(StreamOriginRequest, self._handle_request)

    def record_start(
        self, request_id: str, endpoint: EndpointRecord, remaining_s: float
    ) -> None:
        """Record that `endpoint` has sent the first event of a stream.

        Parameters
        ----------
        request_id : str
            Id of the caller's request that began the stream.
        endpoint : EndpointRecord
            The endpoint that sent the event.
        remaining_s : float
            Time until the caller's deadline.
        """
        origin = StreamOrigin(endpoint.service, endpoint.software_version)
        stream = TrackedStream(request_id, origin, remaining_s + _EXPIRY_MARGIN_S)
        self._origins.record(stream)
        if endpoint.service in self._mixed_services:
            self._unsent.append(stream)

    def watch_start(
        self,
        request_id: str,
        endpoint: EndpointRecord,
        remaining_s: float,
        lost_at: float,
        connected_at: float,
    ) -> VersionWatch:
        """Record that a stream has begun at an endpoint that may have started again.

        See `record_start` and `VersionWatch` for the parameters.
        """
        watch = self._pending.begin(
            request_id,
            endpoint,
            remaining_s + _EXPIRY_MARGIN_S,
            lost_at,
            connected_at,
        )
        if endpoint.service in self._mixed_services:
            self._pending.announce(request_id)
        return watch

    def apply_read(self, began_at: float, ended_at: float) -> None:
        """Learn from a read of the endpoints, which has been applied.

        Parameters
        ----------
        began_at, ended_at : float
            Monotonic times between which the store has answered.
        """
        self._pending.apply_read(began_at, ended_at)

    def find(self, request_id: str, service: str) -> StreamOrigin | None:
        """Return where a stream began that a caller takes up; None if in doubt.

        Parameters
        ----------
        request_id : str
            Id of the caller's request that began the stream; empty if not stated.
        service : str
            Service at which the stream would go on.
        """
        started_at = self._clock.monotonic()
        request = StreamOriginRequest(request_id, service)
        while True:
            asked_count, replies = 0, list[StreamOriginReply]()
            origin = self._origins.get(request_id)
            if origin is None and not self._pending.is_pending(request_id):
                asked_count, replies = self._ask_holders(request)
                origin = self._record_replies(replies)
            if origin is not None:
                return origin
            is_pending = any(reply.is_pending for reply in replies)
            if not is_pending and not self._pending.is_pending(request_id):
                break
            if self._clock.monotonic() >= started_at + _PENDING_TIMEOUT_S:
                return None
            self._clock.sleep(_PENDING_POLL_INTERVAL_S)
        versions = {v for reply in replies for v in reply.recent_versions}
        knows_past = self._journal.is_loaded or any(r.knows_past for r in replies)
        if not knows_past:
            return None
        may_infer = may_infer_origin(
            asked_count,
            len(replies),
            bool(self._fleet.dead_members()),
            self._is_current(started_at),
        )
        if not may_infer and not self._wait_for_read(started_at):
            _logger.info(
                "origin of a stream in doubt",
                extra={
                    "request_id": request_id,
                    "service": service,
                    "asked": asked_count,
                    "replies": len(replies),
                },
            )
            return None
        return infer_origin(service, versions | self._known_versions(service))

    def _record_replies(
        self, replies: Iterable[StreamOriginReply]
    ) -> StreamOrigin | None:
        """Record the stream that a holder knows; return its origin."""
        for reply in replies:
            if reply.origins:
                stream = reply.origins[0].to_stream()
                self._origins.record(stream)
                return stream.origin
        return None

    def _is_current(self, now: float) -> bool:
        """Return whether this node knows the endpoints of a propagation bound ago."""
        read_at = self._get_endpoints_read_at()
        return read_at is not None and now - read_at <= self._get_propagation_bound_s()

    def _wait_for_read(self, since: float) -> bool:
        """Wait for the endpoints as of `since` or later; return False on a timeout."""
        ends_at = self._clock.monotonic() + _READ_TIMEOUT_S
        while self._clock.monotonic() < ends_at:
            read_at = self._get_endpoints_read_at()
            if read_at is not None and read_at > since + _READ_DELAY_S:
                return True
            self._clock.sleep(_READ_POLL_INTERVAL_S)
        return False

    def run(self) -> None:
        """Send origins to their holders at a fixed interval, until killed."""
        while True:
            self._clock.sleep(_SEND_INTERVAL_S)
            self._update_mixed_services()
            self._record_certain_streams()
            self._pending.send()
            if self._unsent:
                streams, self._unsent = self._unsent, []
                self._send(streams)
                self._journal.add(streams)

    def remove_expired(self) -> None:
        """Discard the streams that no caller takes up any more."""
        self._origins.remove_expired()
        self._pending.remove_expired()

    def _record_certain_streams(self) -> None:
        """Record the streams whose origin has become certain."""
        certain = self._pending.take_decided(self._mixed_services.__contains__)
        for request_id, origin, remaining_s in certain:
            stream = TrackedStream(request_id, origin, remaining_s)
            self._origins.record(stream)
            if origin.service in self._mixed_services:
                self._unsent.append(stream)

    def _update_mixed_services(self) -> None:
        """Notice which services have several versions; send their present streams."""
        services = {*self._directory.services(), *self._journal.services()}
        versions = {service: self._known_versions(service) for service in services}
        mixed_versions = {s: sorted(v) for s, v in versions.items() if len(v) > 1}
        self._journal.set_versions(mixed_versions)
        for service in mixed_versions.keys() - self._mixed_services:
            self._unsent.extend(self._origins.streams_of(service))
            self._pending.announce_service(service)
            _logger.info(
                "several software versions serve",
                extra={"service": service, "versions": mixed_versions[service]},
            )
        self._mixed_services = set(mixed_versions)

    def _known_versions(self, service: str) -> set[str]:
        recent = self._directory.recent_versions(service)
        return recent | self._journal.recalled_versions(service)

    def _send(self, streams: Iterable[TrackedStream]) -> None:
        members = {member.vm: member for member in self._fleet.other_members()}
        by_holder: dict[str, list[StreamOriginEntry]] = {}
        for stream in streams:
            for vm in stream_holders(stream.request_id, members, _HOLDER_COUNT):
                by_holder.setdefault(vm, []).append(
                    StreamOriginEntry.from_stream(stream)
                )
        for vm, entries in by_holder.items():
            self._bus.notify(members[vm].peer_address, StreamOriginsUpdate(entries))

    def _ask_holders(
        self, request: StreamOriginRequest
    ) -> tuple[int, list[StreamOriginReply]]:
        """Return how many holders were asked, and their replies.

        No reply is awaited after the first one that knows the stream.
        """
        members = {member.vm: member for member in self._fleet.other_members()}
        asked = stream_holders(request.request_id, members, _ASKED_COUNT)
        calls = [gevent.spawn(self._ask, members[vm], request) for vm in asked]
        replies = []
        for call in gevent.iwait(calls, timeout=_LOOKUP_TIMEOUT_S):
            reply = call.get()
            if not isinstance(reply, NoReply):
                replies.append(reply)
                if reply.origins:
                    break
        return len(asked), replies

    def _ask(
        self, member: Member, request: StreamOriginRequest
    ) -> StreamOriginReply | NoReply:
        return self._bus.request(
            member.peer_address, request, StreamOriginReply, _LOOKUP_TIMEOUT_S
        )

    def _handle_update(self, sender: str, update: StreamOriginsUpdate) -> None:
        streams = [entry.to_stream() for entry in update.entries]
        for stream in streams:
            self._origins.record(stream)
        self._pending.forget(streams)

    def _handle_request(
        self, sender: str, request: StreamOriginRequest
    ) -> StreamOriginReply:
        versions = sorted(self._known_versions(request.service))
        knows_past = self._journal.is_loaded
        origin = self._origins.get(request.request_id)
        if origin is None:
            is_pending = self._pending.is_pending(request.request_id)
            return StreamOriginReply([], versions, knows_past, is_pending)
        stream = TrackedStream(request.request_id, origin, _EXPIRY_MARGIN_S)
        entry = StreamOriginEntry.from_stream(stream)
        return StreamOriginReply([entry], versions, knows_past)
