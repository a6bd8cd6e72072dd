"""Gathers pieces of many requests into calls to the endpoints of stage pools."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import gevent
from gevent.event import AsyncResult

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    BatchPolicy,
    QueuedPiece,
    SharedRetryBudget,
    StageEndpoint,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.dialect import (
    BadCall,
    CallDialect,
    PieceFailed,
    PieceMade,
    PieceOrder,
    StageResults,
)
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.http1 import Broken, EndpointConnections, Lost, NotSent, Reply
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import RouteTable, StagePool

_STATUS_OK = 200
# A call waits behind two others and may run on a slow endpoint.
_PATIENCE_CALLS = 4.0
_PATIENCE_EXTRA_S = 0.3
# An endpoint that was full is asked again after about half a call.
_REST_S = 0.08
# Sends of one piece, the first included.
_MAX_SENDS = 3
LOST = "lost"

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Piece:
    """A piece that a request waits for.

    Attributes
    ----------
    order : PieceOrder
        What is asked for.
    limit_at : float
        Monotonic time after which it is of no use.
    target_at : float
        Monotonic time at which its request should begin to be answered.
    priority : int
        Rank of its request.
    result : AsyncResult
        Gets `PieceMade` or `PieceFailed`.
    """

    order: PieceOrder
    limit_at: float
    target_at: float
    priority: int
    result: AsyncResult = field(default_factory=AsyncResult)
    queued_at: float = 0.0
    sends: int = 0
    is_cancelled: bool = False
    maker: str = ""


class StagePools:
    """Queues of pieces by service, and the calls under way.

    Parameters
    ----------
    pools : EndpointPools
        Endpoints and their load.
    policy : BatchPolicy
        Plans calls.
    connections : EndpointConnections
        Connections to endpoints.
    dialect : CallDialect
        Encodes calls.
    budget : SharedRetryBudget
        Allows repeats.
    table : callable
        Returns the configuration in force.
    clock, metrics : Clock, Metrics
        Time and counters ``stage_*``.
    """

    __slots__ = (
        "_budget",
        "_calls",
        "_clock",
        "_connections",
        "_dialect",
        "_metrics",
        "_numbers",
        "_policy",
        "_pools",
        "_queues",
        "_rest_until",
        "_table",
    )

    def __init__(
        self,
        pools: EndpointPools,
        policy: BatchPolicy,
        connections: EndpointConnections,
        dialect: CallDialect,
        budget: SharedRetryBudget,
        table: Callable[[], RouteTable | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pools = pools
        self._policy = policy
        self._connections = connections
        self._dialect = dialect
        self._budget = budget
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._numbers = count(1)
        self._queues: dict[str, dict[int, Piece]] = {}
        self._calls: dict[str, int] = {}
        self._rest_until: dict[str, float] = {}

    def submit(self, service: str, piece: Piece) -> None:
        """Queue a piece; its result is set when a call brought it."""
        piece.queued_at = self._clock.monotonic()
        self._queues.setdefault(service, {})[next(self._numbers)] = piece
        gevent.spawn(self.pump, service)

    def waiting(self, service: str) -> int:
        """Return the pieces that wait for a call."""
        return len(self._queues.get(service, {}))

    def predicted_wait_s(self, service: str, pieces: int) -> float:
        """Return the time until `pieces` more would be made, by what waits here."""
        spec = self._spec(service)
        if spec is None:
            return 0.0
        ends = max(1, len(self._pools.names(service)))
        calls = (self.waiting(service) + pieces) / (spec.batch * ends)
        return calls * (spec.call_s + spec.batch * spec.piece_s)

    def pump(self, service: str) -> None:
        """Start every call that the policy plans now."""
        spec = self._spec(service)
        queue = self._queues.get(service)
        if spec is None or not queue:
            return
        self._drop_useless(queue)
        while queue:
            now = self._clock.monotonic()
            batch = self._policy.plan(
                [
                    QueuedPiece(n, p.target_at, p.queued_at, p.priority)
                    for n, p in queue.items()
                ],
                self._endpoints(service, now),
                spec.batch,
                spec.call_s + spec.batch * spec.piece_s,
                now,
            )
            if batch is None:
                return
            record = self._pools.record(batch.endpoint)
            if record is None:
                return
            pieces = [queue.pop(number) for number in batch.numbers]
            self._calls[record.name] = self._calls.get(record.name, 0) + 1
            gevent.spawn(self._call, service, spec, record, pieces)

    def run(self) -> None:
        """Look now and then for pieces that endpoints can take again."""
        while True:
            self._clock.sleep(_REST_S / 2)
            for service, queue in list(self._queues.items()):
                if queue:
                    self.pump(service)

    def _spec(self, service: str) -> StagePool | None:
        table = self._table()
        found = table.service(service) if table is not None else None
        return found.stage_pool if found is not None else None

    def _drop_useless(self, queue: dict[int, Piece]) -> None:
        now = self._clock.monotonic()
        for number, piece in list(queue.items()):
            if piece.is_cancelled:
                del queue[number]
            elif piece.limit_at <= now:
                del queue[number]
                piece.result.set(PieceFailed("late"))

    def _endpoints(self, service: str, now: float) -> list[StageEndpoint]:
        names = self._pools.names(service)
        endpoints = []
        for name in names:
            record = self._pools.record(name)
            if record is None:
                continue
            is_resting = self._rest_until.get(name, 0.0) > now
            is_resting = is_resting or self._pools.loads.is_ejected(name)
            endpoints.append(
                StageEndpoint(
                    name,
                    self._pools.distance(record),
                    self._calls.get(name, 0),
                    is_resting,
                )
            )
        return endpoints

    def _call(
        self,
        service: str,
        spec: StagePool,
        record: EndpointRecord,
        pieces: list[Piece],
    ) -> None:
        started = self._clock.monotonic()
        self._pools.loads.begin(record.name)
        try:
            outcome = self._exchange(spec, record, pieces, started)
        finally:
            self._pools.loads.end(record.name)
            self._calls[record.name] -= 1
            if not self._calls[record.name]:
                del self._calls[record.name]
        elapsed_s = self._clock.monotonic() - started
        self._metrics.count("stage_calls_total", service=service)
        self._metrics.count("stage_pieces_total", len(pieces), service=service)
        self._metrics.observe_latency("stage_call_seconds", elapsed_s)
        if isinstance(outcome, StageResults):
            expected_s = spec.call_s + len(pieces) * spec.piece_s
            self._pools.loads.succeed(record.name, elapsed_s / expected_s, 1.0)
            self._deliver(service, record, pieces, outcome)
        else:
            self._send_again(service, record, pieces, outcome, elapsed_s)
        self.pump(service)

    def _exchange(
        self,
        spec: StagePool,
        record: EndpointRecord,
        pieces: list[Piece],
        started: float,
    ) -> StageResults | NotSent | Lost | PieceFailed:
        """Return the results, or how the call failed; `PieceFailed` is "not run"."""
        orders = []
        for piece in pieces:
            piece.sends += 1
            remaining_s = max(0.0, piece.limit_at - started)
            order = piece.order
            orders.append(
                PieceOrder(
                    order.request_id,
                    order.stage,
                    order.piece,
                    remaining_s,
                    order.key,
                    order.inputs,
                )
            )
        expected_s = spec.call_s + len(pieces) * spec.piece_s
        latest_s = max(piece.limit_at for piece in pieces) - started
        patience_s = min(latest_s, _PATIENCE_CALLS * expected_s + _PATIENCE_EXTRA_S)
        timeout = gevent.Timeout(max(0.05, patience_s))
        reply: Reply | NotSent | Lost | None = None
        timeout.start()
        try:
            # Answers to calls name no request, so a connection serves one call only:
            # a late answer on it could not be told from the next one's.
            reply = self._connections.call(
                record.address,
                self._dialect.stage_request(record, orders),
                lambda head: True,
                freshest_s=0.0,
            )
            if not isinstance(reply, Reply):
                return reply
            return self._read(reply, record, len(pieces))
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return Lost(f"{record.address}: no results for {patience_s:.2f} s")
        finally:
            timeout.close()
            if isinstance(reply, Reply):
                reply.discard()

    def _read(
        self, reply: Reply, record: EndpointRecord, expected: int
    ) -> StageResults | Lost | PieceFailed:
        signs = self._dialect.read_signs(reply.head)
        self._pools.take_report(record.name, signs.load)
        if signs.is_not_run:
            return PieceFailed(f"status {reply.head.status}")
        body = reply.read_all()
        if isinstance(body, Broken):
            return Lost(body.detail)
        if reply.head.status != _STATUS_OK:
            return Lost(f"{record.address}: status {reply.head.status}")
        results = self._dialect.read_stage_results(body, expected)
        if isinstance(results, BadCall):
            return Lost(f"{record.address}: {results.detail}")
        return results

    def _deliver(
        self,
        service: str,
        record: EndpointRecord,
        pieces: list[Piece],
        outcome: StageResults,
    ) -> None:
        for piece, result in zip(pieces, outcome.results, strict=True):
            piece.maker = record.address
            if isinstance(result, PieceFailed):
                self._metrics.count(
                    "stage_piece_failures_total", service=service, reason=result.reason
                )
                _logger.info(
                    "piece failed",
                    extra={
                        "request_id": piece.order.request_id,
                        "stage": piece.order.stage,
                        "piece": piece.order.piece,
                        "endpoint": record.name,
                        "reason": result.reason,
                        "sends": piece.sends,
                    },
                )
            piece.result.set(result)

    def _send_again(
        self,
        service: str,
        record: EndpointRecord,
        pieces: list[Piece],
        outcome: NotSent | Lost | PieceFailed,
        elapsed_s: float,
    ) -> None:
        is_refused = isinstance(outcome, PieceFailed)
        self._rest_until[record.name] = self._clock.monotonic() + _REST_S
        if not is_refused:
            self._pools.loads.fail(record.name, self._pools.names(service))
        kind = "refused" if is_refused else type(outcome).__name__
        self._metrics.count("stage_call_failures_total", service=service, kind=kind)
        _logger.info(
            "stage call failed",
            extra={
                "service": service,
                "endpoint": record.name,
                "kind": kind,
                "detail": outcome.reason if is_refused else outcome.detail,
                "requests": [piece.order.request_id for piece in pieces],
                "elapsed_ms": round(elapsed_s * 1000, 1),
                "ejected": self._pools.loads.is_ejected(record.name),
            },
        )
        for piece in pieces:
            if piece.is_cancelled:
                continue
            is_free = isinstance(outcome, NotSent)
            may_send = is_free or (
                (is_refused or piece.sends < _MAX_SENDS) and self._budget.take(service)
            )
            if may_send and piece.limit_at > self._clock.monotonic():
                self._queues.setdefault(service, {})[next(self._numbers)] = piece
            else:
                piece.result.set(PieceFailed(LOST))
