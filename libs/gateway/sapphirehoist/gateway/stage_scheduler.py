"""Schedules stage pieces; one node batches the pieces of all nodes for an endpoint.

Each endpoint of a stage's pool is owned by one of the most capable of the nearest
serving nodes, chosen by rendezvous hashing. The owner fills batches from the pieces of
all nodes and tracks the space that results occupy. While nodes disagree about the owner
because their views of the fleet differ, the only effect is that batches are less full.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

import gevent
from gevent.event import AsyncResult

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    Distance,
    StageEndpointCandidate,
    StageEndpointPolicy,
    most_capable,
    rendezvous_score,
)
from sapphirehoist.discovery import (
    Departure,
    EndpointDirectory,
    EndpointPhase,
    EndpointRecord,
)
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.codec import PieceComputed, PieceFailed
from sapphirehoist.gateway.endpoint_queue import EndpointQueue, QueueDependencies
from sapphirehoist.gateway.pieces import (
    REASON_ENDPOINT_LOST,
    REASON_EXPIRED,
    Backlog,
    Piece,
)
from sapphirehoist.gateway.remote_backlogs import RemoteBacklogs
from sapphirehoist.gateway.stage_messages import (
    CancelNotification,
    CommitNotification,
    ComputeAccepted,
    ComputedNotification,
    ComputeRequest,
)
from sapphirehoist.gateway.stage_releases import ResultReleaser
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus
from sapphirehoist.routes import RouteTable, StageEndpointSpec

# Owners accept without waiting for results; a round trip between regions takes 40 ms.
_ACCEPT_TIMEOUT_S = 0.4
# Interval at which a node waiting for results checks that the owner is still present.
_OWNER_POLL_INTERVAL_S = 0.25
# Fraction of an endpoint's space that one group of pieces may occupy; the remaining
# pieces of the request form further groups, which may run at other endpoints.
_MAX_GROUP_SPACE_FRACTION = 0.35
# Applies only to a pool that is not configured.
_MAX_GROUP_PIECES = 1_000
# Correlation ids are signed 64-bit integers in messages.
_CORRELATION_ID_BITS = 62

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _RemoteComputation:
    """Pieces of one request that the owner of their endpoint schedules.

    Attributes
    ----------
    record : EndpointRecord
        Endpoint that computes the pieces.
    owner : Member
        Node that calls the endpoint.
    pieces : sequence of Piece
        The pieces, in the order of the results.
    results : AsyncResult
        Set to the `ComputedNotification`.
    """

    record: EndpointRecord
    owner: Member
    pieces: Sequence[Piece]
    results: AsyncResult = field(default_factory=AsyncResult)

    @property
    def request_id(self) -> str:
        """Return the id of the caller's request."""
        return self.pieces[0].request.request_id

    def is_answered_by(self, sender: str, notification: ComputedNotification) -> bool:
        """Return whether `notification` is the answer of the owner of these pieces."""
        return sender == self.owner.vm and notification.endpoint == self.record.name

    def is_complete(self, notification: ComputedNotification) -> bool:
        """Return whether `notification` has one result for each piece."""
        counts = {len(notification.handles), len(notification.reasons)}
        return counts == {len(self.pieces)}


class StageScheduler:
    """Schedules pieces on this node's endpoint queues or on those of other owners.

    Parameters
    ----------
    fleet : Fleet
        Members among which the owners are chosen.
    bus : PeerBus
        Exchanges messages with the owners.
    directory : EndpointDirectory
        Known endpoints and their phases.
    endpoint_policy : StageEndpointPolicy
        Chooses the endpoint for a group of pieces.
    dependencies : QueueDependencies
        Shared by the endpoint queues.
    get_table : callable
        Returns the active configuration; None before the first one.
    random : Random
        Chooses the first correlation id, which no other process of this VM may use.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_correlation_ids",
        "_dependencies",
        "_directory",
        "_endpoint_candidates",
        "_endpoint_policy",
        "_fleet",
        "_get_table",
        "_owners",
        "_owners_revision",
        "_queues",
        "_remote_backlogs",
        "_remote_computations",
        "_result_releaser",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        directory: EndpointDirectory,
        endpoint_policy: StageEndpointPolicy,
        dependencies: QueueDependencies,
        get_table: Callable[[], RouteTable | None],
        random: Random,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._directory = directory
        self._endpoint_policy = endpoint_policy
        self._dependencies = dependencies
        self._get_table = get_table
        self._clock: Clock = dependencies.clock
        self._endpoint_candidates: EndpointCandidates = dependencies.endpoint_candidates
        self._queues: dict[str, EndpointQueue] = {}
        # By name and zone of the endpoint, as of `_owners_revision` of the view.
        self._owners: dict[tuple[str, str], Member | None] = {}
        self._owners_revision = -1
        self._remote_backlogs = RemoteBacklogs(dependencies.clock)
        self._result_releaser = ResultReleaser(
            bus, directory, self._find_owner, self._queues.get, dependencies
        )
        # Results for an earlier process of this VM may still arrive.
        self._correlation_ids = count(random.getrandbits(_CORRELATION_ID_BITS))
        self._remote_computations: dict[int, _RemoteComputation] = {}
        bus.subscribe(ComputeRequest, self._handle_compute_request)
        bus.subscribe(ComputedNotification, self._handle_computed)
        bus.subscribe(CancelNotification, self._handle_cancel)
        bus.subscribe(CommitNotification, self._handle_commit)
        directory.on_departure(self._on_departure)

    def choose_endpoint(
        self,
        service: str,
        remote_bytes: Callable[[str], int],
        space_bytes: Callable[[str], int],
        priority: int,
        avoided_endpoint: str = "",
        allowed_regions: frozenset[str] | None = None,
    ) -> EndpointRecord | None:
        """Return the endpoint that should compute a group of pieces.

        Parameters
        ----------
        service : str
            Service whose pool is searched.
        remote_bytes : callable
            Maps an availability zone to the bytes transferred between zones if the
            pieces are computed there.
        space_bytes : callable
            Maps an endpoint name to the bytes that the request would occupy there.
        priority : int
            Priority of the request; 0 is the most urgent.
        avoided_endpoint : str
            Endpoint to choose only if no other is available.
        allowed_regions : frozenset of str, optional
            Regions whose endpoints may compute the pieces; None for any.

        Returns
        -------
        EndpointRecord or None
            None while the pool has no eligible endpoint in service.
        """
        candidates = self._candidates(service, avoided_endpoint, allowed_regions)
        if not candidates:
            return None
        pool_config = self.pool_config(service)
        capacity_bytes = (
            pool_config.result_capacity_bytes if pool_config is not None else 0
        )
        chosen = self._endpoint_policy.choose(
            [
                StageEndpointCandidate(
                    record.name,
                    self._endpoint_candidates.distance(record),
                    self.backlog(record, allowed_regions).on_time_s(priority),
                    remote_bytes(record.zone),
                    space_bytes(record.name) / capacity_bytes
                    if capacity_bytes
                    else 0.0,
                )
                for record in candidates
            ]
        )
        return self._directory.get(chosen.name)

    def _candidates(
        self,
        service: str,
        avoided_endpoint: str,
        allowed_regions: frozenset[str] | None,
    ) -> list[EndpointRecord]:
        records = self._endpoint_candidates.eligible_records(
            service, allowed_regions=allowed_regions
        )
        available = [
            record
            for record in records
            if not self._endpoint_candidates.loads.is_ejected(record.name)
        ]
        others = [record for record in available if record.name != avoided_endpoint]
        accepting = [
            record
            for record in others
            if not self._is_backing_off(record, allowed_regions)
        ]
        return accepting or others or available or records

    def _is_backing_off(
        self, record: EndpointRecord, allowed_regions: frozenset[str] | None
    ) -> bool:
        """Return whether the endpoint wants no calls from the node that calls it."""
        if self.find_caller(record, allowed_regions) is None:
            return self._endpoint_candidates.backoff_s(record) > 0
        return self._remote_backlogs.is_backing_off(record.name)

    def backlog(
        self, record: EndpointRecord, allowed_regions: frozenset[str] | None = None
    ) -> Backlog:
        """Return the estimated wait before `record` starts a new piece."""
        queue = self._queues.get(record.name)
        if queue is not None and self.find_caller(record, allowed_regions) is None:
            return queue.backlog()
        return self._remote_backlogs.estimate(
            record.name, self.pool_config(record.service)
        )

    def max_group_pieces(self, service: str, result_bytes: int) -> int:
        """Return the maximum number of pieces of one request in one group."""
        pool_config = self.pool_config(service)
        if pool_config is None:
            return _MAX_GROUP_PIECES
        if not pool_config.result_capacity_bytes or not result_bytes:
            return pool_config.max_batch_pieces
        max_pieces_by_space = int(
            _MAX_GROUP_SPACE_FRACTION * pool_config.result_capacity_bytes / result_bytes
        )
        return max(1, min(pool_config.max_batch_pieces, max_pieces_by_space))

    def compute_pieces(self, record: EndpointRecord, pieces: Sequence[Piece]) -> None:
        """Schedule pieces of one request at `record`; their results are set later."""
        owner = self.find_caller(record, pieces[0].allowed_regions)
        if owner is None:
            self._get_or_create_queue(record).submit(pieces)
            return
        # Counted before the task starts, so that the next choice of an endpoint
        # already takes these pieces into account.
        self._remote_backlogs.add_outstanding(
            record.name, pieces[0].priority, len(pieces)
        )
        gevent.spawn(self._request_from_owner, owner, record, pieces)

    def cancel(
        self,
        endpoint: str,
        request_id: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> None:
        """Cancel the queued pieces of a request at `endpoint`."""
        record = self._directory.get(endpoint)
        owner = self.find_caller(record, allowed_regions) if record else None
        if owner is not None:
            self._bus.notify(
                owner.peer_address, CancelNotification(endpoint, request_id)
            )
        elif endpoint in self._queues:
            self._queues[endpoint].cancel(request_id)

    def commit(
        self,
        endpoint: str,
        request_id: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> None:
        """Mark a request's queued pieces at `endpoint` as committed; they go first."""
        record = self._directory.get(endpoint)
        owner = self.find_caller(record, allowed_regions) if record else None
        if owner is not None:
            self._bus.notify(
                owner.peer_address, CommitNotification(endpoint, request_id)
            )
        elif endpoint in self._queues:
            self._queues[endpoint].commit(request_id)

    def evacuate_zone(self, zone: str) -> None:
        """Fail the queued pieces for endpoints in `zone` so that they are retried.

        Owners are told to drop them too: one of a build without evacuations would
        still send them. Calls in progress continue.
        """
        for queue in list(self._queues.values()):
            if queue.record.zone == zone:
                queue.fail_all(REASON_ENDPOINT_LOST)
        for computation in list(self._remote_computations.values()):
            if computation.record.zone == zone:
                notification = CancelNotification(
                    computation.record.name, computation.request_id
                )
                self._bus.notify(computation.owner.peer_address, notification)

    def release_result(self, endpoint: str, handle: str) -> None:
        """Schedule the release of a result."""
        self._result_releaser.add(endpoint, handle)

    def run(self) -> None:
        """Send scheduled releases, until killed."""
        self._result_releaser.run()

    def zone_of(self, endpoint: str) -> str:
        """Return the availability zone of an endpoint; empty if it is unknown."""
        record = self._directory.get(endpoint)
        return record.zone if record is not None else ""

    def pool_config(self, service: str) -> StageEndpointSpec | None:
        """Return the stage pool settings of `service`; None if it has none."""
        table = self._get_table()
        service_config = table.get_service(service) if table is not None else None
        return (
            service_config.stage_endpoint_spec if service_config is not None else None
        )

    def find_caller(
        self, record: EndpointRecord, allowed_regions: frozenset[str] | None
    ) -> Member | None:
        """Return the node that calls `record` for a request; None if it is this one.

        It is the owner, unless the request must not be sent to the owner's region.
        """
        owner = self._find_owner(record)
        if owner is None or allowed_regions is None:
            return owner
        return owner if owner.region in allowed_regions else None

    def queue_of(self, record: EndpointRecord) -> EndpointQueue:
        """Return this node's queue for an endpoint."""
        return self._get_or_create_queue(record)

    def record_backlog(
        self, endpoint: str, wait_s_by_level: tuple[float, ...], backoff_s: float
    ) -> None:
        """Record the backlog that the owner of an endpoint reports."""
        self._remote_backlogs.record_report(
            endpoint, Backlog(wait_s_by_level), backoff_s
        )

    def get_record(self, endpoint: str) -> EndpointRecord | None:
        """Return a known endpoint."""
        return self._directory.get(endpoint)

    def get_available(
        self, endpoint: str, allowed_regions: frozenset[str] | None
    ) -> EndpointRecord | None:
        """Return an endpoint if it can be called for a request now, else None."""
        record = self._directory.get(endpoint)
        if (
            record is None
            or record.phase is not EndpointPhase.IN_SERVICE
            or self._endpoint_candidates.loads.is_ejected(endpoint)
            or not self._endpoint_candidates.is_eligible(record, allowed_regions)
            or self._is_backing_off(record, allowed_regions)
        ):
            return None
        return record

    def _find_owner(self, record: EndpointRecord) -> Member | None:
        """Return the node that owns `record`; None if this node owns it."""
        if self._owners_revision != self._fleet.view.revision:
            self._owners_revision = self._fleet.view.revision
            self._owners.clear()
        key = (record.name, record.zone)
        if key not in self._owners:
            self._owners[key] = self._choose_owner(record)
        return self._owners[key]

    def _choose_owner(self, record: EndpointRecord) -> Member | None:
        """Return the owner of `record`; None if it is this node.

        The owner is chosen among the most capable of the serving nodes at the smallest
        distance. Without any serving node, this node owns the endpoint.
        """
        members = [
            member
            for member in self._fleet.present_members()
            if self._fleet.is_serving(member.vm)
        ]
        nearest: list[Member] = []
        for distance in Distance:
            nearest = [
                member
                for member in members
                if self._distance(member, record) == distance
            ]
            if nearest:
                break
        if not nearest:
            return None
        owner = max(
            most_capable(nearest, lambda member: member.cores),
            key=lambda member: rendezvous_score(record.name, member.vm),
        )
        return None if owner.vm == self._fleet.local_member.vm else owner

    def _distance(self, member: Member, record: EndpointRecord) -> Distance:
        return self._endpoint_candidates.distance_between(member.zone, record.zone)

    def _get_or_create_queue(self, record: EndpointRecord) -> EndpointQueue:
        queue = self._queues.get(record.name)
        if queue is None or queue.record.born_ms != record.born_ms:
            if queue is not None:
                queue.close()
            service = record.service
            queue = EndpointQueue(
                record, lambda: self.pool_config(service), self._dependencies
            )
            if record.phase is not EndpointPhase.IN_SERVICE:
                queue.drain()
            self._queues[record.name] = queue
        return queue

    def _request_from_owner(
        self, owner: Member, record: EndpointRecord, pieces: Sequence[Piece]
    ) -> None:
        """Request pieces from the owner; use this node's queue if it is unavailable."""
        requested_at = self._clock.monotonic()
        first = pieces[0]
        correlation_id = next(self._correlation_ids)
        request = ComputeRequest(
            correlation_id,
            record.name,
            [piece.request for piece in pieces],
            first.expires_at - requested_at,
            first.latest_start_at - requested_at,
            first.priority,
            first.result_bytes,
            first.is_committed,
            None if first.allowed_regions is None else sorted(first.allowed_regions),
        )
        computation = _RemoteComputation(record, owner, pieces)
        self._remote_computations[correlation_id] = computation
        try:
            accepted = self._bus.request(
                owner.peer_address, request, ComputeAccepted, _ACCEPT_TIMEOUT_S
            )
            if isinstance(accepted, NoReply):
                self._handle_unresponsive_owner(owner, record, pieces, requested_at)
                return
            self._remote_backlogs.record_report(
                record.name, Backlog(accepted.wait_s_by_level), accepted.backoff_s
            )
            notification = self._wait_for_results(computation)
        finally:
            del self._remote_computations[correlation_id]
            self._remote_backlogs.remove_outstanding(
                record.name, first.priority, len(pieces)
            )
        if notification is None or not computation.is_complete(notification):
            self._handle_unresponsive_owner(owner, record, pieces, requested_at)
            return
        results = zip(pieces, notification.handles, notification.reasons, strict=True)
        for piece, handle, reason in results:
            piece.result.set(PieceComputed(handle) if handle else PieceFailed(reason))

    def _wait_for_results(
        self, computation: _RemoteComputation
    ) -> ComputedNotification | None:
        """Wait for the results; return None on expiry or once the owner has ended."""
        while not self._clock.wait(computation.results, _OWNER_POLL_INTERVAL_S):
            # A planned stop of this node shortens the time.
            is_expired = self._clock.monotonic() > computation.pieces[0].expires_at
            if is_expired or not self._is_running(computation.owner):
                return None
        return computation.results.get()

    def _is_running(self, member: Member) -> bool:
        """Return whether `member` is present, and not as another incarnation."""
        current = self._find_member(member.vm)
        is_replaced = current is not None and current.incarnation != member.incarnation
        return self._fleet.is_present(member.vm) and not is_replaced

    def _handle_unresponsive_owner(
        self,
        owner: Member,
        record: EndpointRecord,
        pieces: Sequence[Piece],
        requested_at: float,
    ) -> None:
        """Queue the pieces at this node instead, unless they can no longer be computed.

        Pieces fail if they have expired or their endpoint is gone; cancelled ones are
        dropped.
        """
        _logger.info(
            "endpoint owner did not return usable results",
            extra={
                "request_id": pieces[0].request.request_id,
                "owner": owner.vm,
                "endpoint": record.name,
                "waited_ms": round((self._clock.monotonic() - requested_at) * 1000, 1),
            },
        )
        wanted = [piece for piece in pieces if not piece.is_cancelled]
        if self._clock.monotonic() >= pieces[0].expires_at:
            for piece in wanted:
                piece.result.set(PieceFailed(REASON_EXPIRED))
            return
        if self._directory.get(record.name) is record:
            self._get_or_create_queue(record).submit(wanted)
            return
        for piece in wanted:
            piece.result.set(PieceFailed(REASON_ENDPOINT_LOST))

    def _handle_compute_request(
        self, sender: str, request: ComputeRequest
    ) -> ComputeAccepted | None:
        record = self._directory.get(request.endpoint)
        if record is None:
            return None
        now = self._clock.monotonic()
        regions = request.allowed_regions
        allowed_regions = None if regions is None else frozenset(regions)
        pieces = [
            Piece(
                piece_request,
                now + request.expires_in_s,
                now + request.latest_start_in_s,
                request.priority,
                request.result_bytes,
                request.is_committed,
                allowed_regions,
            )
            for piece_request in request.piece_requests
        ]
        queue = self._get_or_create_queue(record)
        backlog = queue.backlog()
        accepted = ComputeAccepted(backlog.wait_s_by_level, queue.backoff_s())
        queue.submit(pieces)
        requester = self._find_member(sender)
        gevent.spawn(self._send_results, sender, requester, request, pieces, queue)
        return accepted

    def _find_member(self, vm: str) -> Member | None:
        update = self._fleet.view.get(vm)
        return update.member if update is not None else None

    def _send_results(
        self,
        sender: str,
        requester: Member | None,
        request: ComputeRequest,
        pieces: list[Piece],
        queue: EndpointQueue,
    ) -> None:
        """Send the results to the process that requested them, once they are there.

        Its successor on the same VM may have a pending request with the same
        correlation id: until 5e9d783, each process counted them from 1.
        """
        results = [piece.result.get() for piece in pieces]
        handles = [
            result.handle if isinstance(result, PieceComputed) else ""
            for result in results
        ]
        reasons = [
            result.reason if isinstance(result, PieceFailed) else ""
            for result in results
        ]
        backlog = queue.backlog()
        notification = ComputedNotification(
            request.correlation_id,
            request.endpoint,
            handles,
            reasons,
            backlog.wait_s_by_level,
            queue.backoff_s(),
        )
        receiver = self._find_member(sender)
        is_replaced = (
            requester is not None
            and receiver is not None
            and requester.incarnation != receiver.incarnation
        )
        if receiver is None or is_replaced:
            _logger.info(
                "requester of stage results has ended",
                extra={
                    "request_id": pieces[0].request.request_id if pieces else "",
                    "requester": sender,
                    "endpoint": request.endpoint,
                },
            )
            self._result_releaser.release_at_endpoint(
                request.endpoint, [handle for handle in handles if handle]
            )
            return
        self._bus.notify(receiver.peer_address, notification)

    def _handle_computed(self, sender: str, notification: ComputedNotification) -> None:
        self._remote_backlogs.record_report(
            notification.endpoint,
            Backlog(notification.wait_s_by_level),
            notification.backoff_s,
        )
        computation = self._remote_computations.get(notification.correlation_id)
        if computation is not None and computation.is_answered_by(sender, notification):
            computation.results.set(notification)
            return
        # Nobody waits for these results, or they are those of other pieces.
        _logger.info(
            "stage results that nobody waits for",
            extra={"owner": sender, "endpoint": notification.endpoint},
        )
        for handle in filter(None, notification.handles):
            self.release_result(notification.endpoint, handle)

    def _handle_cancel(self, sender: str, notification: CancelNotification) -> None:
        queue = self._queues.get(notification.endpoint)
        if queue is not None:
            queue.cancel(notification.request_id)

    def _handle_commit(self, sender: str, notification: CommitNotification) -> None:
        queue = self._queues.get(notification.endpoint)
        if queue is not None:
            queue.commit(notification.request_id)

    def _on_departure(self, departure: Departure, record: EndpointRecord) -> None:
        """Fail the queued pieces of a departing endpoint so that they are retried."""
        if departure.phase is EndpointPhase.GONE:
            self._remote_backlogs.discard(record.name)
            self._endpoint_candidates.discard(record.name)
        queue = self._queues.get(record.name)
        if queue is None:
            return
        queue.drain()
        if departure.phase is EndpointPhase.GONE:
            del self._queues[record.name]
            queue.close()
