"""Brings the pieces of all nodes for one endpoint together at one node.

Each endpoint of a stage's pool is owned by one of the nodes near it, chosen by
rendezvous over the nodes that serve. The owner fills calls from all nodes' pieces and
knows what space results take up. Nodes that disagree about the owner, for as long as
their views of the fleet differ, only fill calls less well.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from itertools import count

import gevent
from gevent.event import AsyncResult

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    Distance,
    StageEndpoint,
    StageEndpointPolicy,
    rendezvous_score,
)
from sapphirehoist.discovery import (
    Departure,
    EndpointDirectory,
    EndpointPhase,
    EndpointRecord,
)
from sapphirehoist.gateway.dialect import PieceFailed, PieceMade
from sapphirehoist.gateway.pieces import (
    REASON_LATE,
    REASON_LOST,
    Backlog,
    Piece,
)
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.gateway.remote_backlogs import RemoteBacklogs
from sapphirehoist.gateway.stage_messages import (
    CancelNews,
    CommitNews,
    MadeNews,
    MakeAccepted,
    MakeRequest,
)
from sapphirehoist.gateway.stage_queue import EndpointQueue, QueueParts
from sapphirehoist.gateway.stage_releases import ResultReleases
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus
from sapphirehoist.routes import RouteTable, StagePool

# An owner accepts at once; a round trip between regions takes 40 ms.
_ACCEPT_TIMEOUT_S = 0.4
# How soon it is noticed that an owner is gone.
_OWNER_LOOK_S = 0.25
# Part of an endpoint's space that one request may take; the rest is made elsewhere.
_GROUP_SHARE = 0.35
_LARGEST_GROUP = 1_000

_logger = logging.getLogger(__name__)


class StagePools:
    """Has pieces made, by this node's queues or by other owners.

    Parameters
    ----------
    fleet, bus : Fleet, PeerBus
        Other nodes.
    directory : EndpointDirectory
        Endpoints.
    choice : StageEndpointPolicy
        Chooses endpoints.
    parts : QueueParts
        What every queue shares.
    table : callable
        Returns the configuration in force.
    """

    __slots__ = (
        "_bus",
        "_choice",
        "_clock",
        "_directory",
        "_fleet",
        "_parts",
        "_pools",
        "_queues",
        "_releases",
        "_remote",
        "_table",
        "_tickets",
        "_tickets_open",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        directory: EndpointDirectory,
        choice: StageEndpointPolicy,
        parts: QueueParts,
        table: Callable[[], RouteTable | None],
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._directory = directory
        self._choice = choice
        self._parts = parts
        self._table = table
        self._clock: Clock = parts.clock
        self._pools: EndpointPools = parts.pools
        self._queues: dict[str, EndpointQueue] = {}
        self._remote = RemoteBacklogs(parts.clock)
        self._releases = ResultReleases(
            bus, directory, self._owner, self._queues.get, parts
        )
        self._tickets = count(1)
        self._tickets_open: dict[int, AsyncResult] = {}
        bus.subscribe(MakeRequest, self._handle_make)
        bus.subscribe(MadeNews, self._handle_made)
        bus.subscribe(CancelNews, self._handle_cancel)
        bus.subscribe(CommitNews, self._handle_commit)
        directory.on_departure(self._on_departure)

    def choose(
        self,
        service: str,
        remote_bytes: Callable[[str], int],
        space_bytes: Callable[[str], int],
        priority: int,
        avoid: str = "",
    ) -> EndpointRecord | None:
        """Return the endpoint that should make pieces.

        Parameters
        ----------
        service : str
            Pool of the endpoint.
        remote_bytes : callable
            Returns the bytes that cross zones if pieces are made in a given one.
        space_bytes : callable
            Returns the bytes that the request would then take up at an endpoint.
        priority : int
            Rank of the request.
        avoid : str
            Endpoint that is chosen only if there is no other.

        Returns
        -------
        EndpointRecord or None
            None while the pool has no endpoint in service.
        """
        candidates = self._candidates(service, avoid)
        if not candidates:
            return None
        spec = self.spec(service)
        room_bytes = spec.room_bytes if spec is not None else 0
        chosen = self._choice.choose(
            [
                StageEndpoint(
                    r.name,
                    self._pools.distance(r),
                    self.backlog(r).on_time_s(priority),
                    remote_bytes(r.zone),
                    space_bytes(r.name) / room_bytes if room_bytes else 0.0,
                )
                for r in candidates
            ]
        )
        return self._directory.get(chosen.name)

    def _candidates(self, service: str, avoid: str) -> list[EndpointRecord]:
        records = self._directory.in_service(service)
        able = [r for r in records if not self._pools.loads.is_ejected(r.name)]
        others = [r for r in able if r.name != avoid]
        return others or able or records

    def backlog(self, record: EndpointRecord) -> Backlog:
        """Return the estimated times until `record` would begin with a new piece."""
        queue = self._queues.get(record.name)
        if queue is not None and self._owner(record) is None:
            return queue.backlog()
        return self._remote.estimate(record.name, self.spec(record.service))

    def group_size(self, service: str, result_bytes: int) -> int:
        """Return how many pieces of one request one endpoint should make."""
        spec = self.spec(service)
        if spec is None:
            return _LARGEST_GROUP
        if not spec.room_bytes or not result_bytes:
            return spec.batch
        fitting = int(_GROUP_SHARE * spec.room_bytes / result_bytes)
        return max(1, min(spec.batch, fitting))

    def make(self, record: EndpointRecord, pieces: Sequence[Piece]) -> None:
        """Have pieces of one request made at `record`; sets each one's result."""
        owner = self._owner(record)
        if owner is None:
            self._queue(record).submit(pieces)
            return
        # Counted before the task runs, for the choice of the next pieces' endpoint.
        self._remote.begin(record.name, pieces[0].priority, len(pieces))
        gevent.spawn(self._ask, owner, record, pieces)

    def cancel(self, endpoint: str, request_id: str) -> None:
        """Say that a request no longer waits for pieces of `endpoint`."""
        record = self._directory.get(endpoint)
        owner = self._owner(record) if record is not None else None
        if owner is not None:
            self._bus.tell(owner.peer_address, CancelNews(endpoint, request_id))
        elif endpoint in self._queues:
            self._queues[endpoint].cancel(request_id)

    def commit(self, endpoint: str, request_id: str) -> None:
        """Say that a request that waits for `endpoint` holds space by now."""
        record = self._directory.get(endpoint)
        owner = self._owner(record) if record is not None else None
        if owner is not None:
            self._bus.tell(owner.peer_address, CommitNews(endpoint, request_id))
        elif endpoint in self._queues:
            self._queues[endpoint].commit(request_id)

    def release(self, endpoint: str, handle: str) -> None:
        """Give up a result soon."""
        self._releases.add(endpoint, handle)

    def run(self) -> None:
        """Pass released results on, until killed."""
        self._releases.run()

    def zone_of(self, endpoint: str) -> str:
        """Return the availability zone of an endpoint; empty if it is gone."""
        record = self._directory.get(endpoint)
        return record.zone if record is not None else ""

    def spec(self, service: str) -> StagePool | None:
        """Return how the pool `service` works."""
        table = self._table()
        found = table.service(service) if table is not None else None
        return found.stage_pool if found is not None else None

    def _owner(self, record: EndpointRecord) -> Member | None:
        """Return the node that owns `record`; None where this node does."""
        members = [m for m in self._fleet.present() if self._fleet.is_serving(m.vm)]
        near: list[Member] = []
        for distance in Distance:
            near = [m for m in members if self._distance(m, record) == distance]
            if near:
                break
        if not near:
            return None
        best = max(near, key=lambda m: rendezvous_score(record.name, m.vm))
        return None if best.vm == self._fleet.member.vm else best

    def _distance(self, member: Member, record: EndpointRecord) -> Distance:
        return self._pools.distance_between(member.zone, record.zone)

    def _queue(self, record: EndpointRecord) -> EndpointQueue:
        queue = self._queues.get(record.name)
        if queue is None or queue.record.born_ms != record.born_ms:
            if queue is not None:
                queue.close()
            service = record.service
            queue = EndpointQueue(record, lambda: self.spec(service), self._parts)
            if record.phase is not EndpointPhase.IN_SERVICE:
                queue.leave()
            self._queues[record.name] = queue
        return queue

    def _ask(
        self, owner: Member, record: EndpointRecord, pieces: Sequence[Piece]
    ) -> None:
        """Have an owner make pieces; if it is gone, make them here."""
        now = self._clock.monotonic()
        first = pieces[0]
        ticket = next(self._tickets)
        request = MakeRequest(
            ticket,
            record.name,
            [piece.order for piece in pieces],
            first.limit_at - now,
            first.due_at - now,
            first.priority,
            first.result_bytes,
            first.is_committed,
        )
        made = self._tickets_open[ticket] = AsyncResult()
        try:
            accepted = self._bus.ask(
                owner.peer_address, request, MakeAccepted, _ACCEPT_TIMEOUT_S
            )
            if isinstance(accepted, NoReply):
                self._without_owner(owner, record, pieces, now)
                return
            self._remote.take(record.name, Backlog(accepted.ahead_s))
            news = self._await(made, owner, first.limit_at)
        finally:
            del self._tickets_open[ticket]
            self._remote.end(record.name, first.priority, len(pieces))
        if news is None or len(news.handles) != len(pieces):
            self._without_owner(owner, record, pieces, now)
            return
        results = zip(pieces, news.handles, news.reasons, strict=True)
        for piece, handle, reason in results:
            piece.result.set(PieceMade(handle) if handle else PieceFailed(reason))

    def _await(
        self, made: AsyncResult, owner: Member, limit_at: float
    ) -> MadeNews | None:
        """Wait for the results as long as their owner serves."""
        while not self._clock.wait(made, _OWNER_LOOK_S):
            is_late = self._clock.monotonic() > limit_at
            if is_late or not self._fleet.is_present(owner.vm):
                return None
        return made.get()

    def _without_owner(
        self,
        owner: Member,
        record: EndpointRecord,
        pieces: Sequence[Piece],
        asked_at: float,
    ) -> None:
        _logger.info(
            "owner gave no answer",
            extra={
                "request_id": pieces[0].order.request_id,
                "owner": owner.vm,
                "endpoint": record.name,
                "waited_ms": round((self._clock.monotonic() - asked_at) * 1000, 1),
            },
        )
        wanted = [piece for piece in pieces if not piece.is_cancelled]
        if self._clock.monotonic() >= pieces[0].limit_at:
            for piece in wanted:
                piece.result.set(PieceFailed(REASON_LATE))
            return
        if self._directory.get(record.name) is record:
            self._queue(record).submit(wanted)
            return
        for piece in wanted:
            piece.result.set(PieceFailed(REASON_LOST))

    def _handle_make(self, sender: str, request: MakeRequest) -> MakeAccepted | None:
        record = self._directory.get(request.endpoint)
        if record is None:
            return None
        now = self._clock.monotonic()
        pieces = [
            Piece(
                order,
                now + request.limit_s,
                now + request.due_s,
                request.priority,
                request.result_bytes,
                request.is_committed,
            )
            for order in request.orders
        ]
        queue = self._queue(record)
        backlog = queue.backlog()
        accepted = MakeAccepted(backlog.ahead_s)
        queue.submit(pieces)
        gevent.spawn(self._send_results, sender, request, pieces, queue)
        return accepted

    def _send_results(
        self,
        sender: str,
        request: MakeRequest,
        pieces: list[Piece],
        queue: EndpointQueue,
    ) -> None:
        results = [piece.result.get() for piece in pieces]
        handles = [r.handle if isinstance(r, PieceMade) else "" for r in results]
        reasons = [r.reason if isinstance(r, PieceFailed) else "" for r in results]
        backlog = queue.backlog()
        news = MadeNews(
            request.ticket,
            request.endpoint,
            handles,
            reasons,
            backlog.ahead_s,
        )
        known = self._fleet.view.get(sender)
        if known is None or known.member is None:
            self._releases.give_up(request.endpoint, [h for h in handles if h])
            return
        self._bus.tell(known.member.peer_address, news)

    def _handle_made(self, sender: str, news: MadeNews) -> None:
        self._remote.take(news.endpoint, Backlog(news.ahead_s))
        made = self._tickets_open.get(news.ticket)
        if made is not None:
            made.set(news)
            return
        # Whoever asked has given up; nobody will use the results.
        for handle in filter(None, news.handles):
            self.release(news.endpoint, handle)

    def _handle_cancel(self, sender: str, news: CancelNews) -> None:
        queue = self._queues.get(news.endpoint)
        if queue is not None:
            queue.cancel(news.request_id)

    def _handle_commit(self, sender: str, news: CommitNews) -> None:
        queue = self._queues.get(news.endpoint)
        if queue is not None:
            queue.commit(news.request_id)

    def _on_departure(self, departure: Departure, record: EndpointRecord) -> None:
        """Let waiting pieces go elsewhere when their endpoint leaves."""
        if departure.phase is EndpointPhase.GONE:
            self._remote.forget(record.name)
            self._pools.loads.forget(record.name)
        queue = self._queues.get(record.name)
        if queue is None:
            return
        queue.leave()
        if departure.phase is EndpointPhase.GONE:
            del self._queues[record.name]
            queue.close()
