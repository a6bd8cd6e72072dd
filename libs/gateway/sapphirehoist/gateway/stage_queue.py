"""Pieces that wait for one endpoint, and the calls that make them, one at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import accumulate, count

import gevent
from gevent.event import Event

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    URGENCY_LEVELS,
    BatchPolicy,
    QueuedPiece,
    SharedRetryBudget,
    urgency_level,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.dialect import (
    BadCall,
    CallDialect,
    PieceFailed,
    PieceMade,
    StageResults,
)
from sapphirehoist.gateway.pieces import (
    REASON_CANCELLED,
    REASON_LATE,
    REASON_LOST,
    REASON_ROOM,
    Backlog,
    Piece,
    ResultSpace,
)
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.http1 import Broken, EndpointConnections, Lost, NotSent, Reply
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import StagePool

_STATUS_OK = 200
# A call may wait behind others and run on a slow endpoint.
_PATIENCE_CALLS = 4.0
_PATIENCE_EXTRA_S = 0.3
# An endpoint that was full is asked again after about half a call.
_REST_S = 0.08
# How often a queue looks for results that lapsed.
_LOOK_S = 0.1
# Sends of one piece, the first included.
_MAX_SENDS = 3
# Sizes of results are approximate. Too little space set aside costs a short call that
# finds none; too much leaves the endpoint idle.
_SIZE_MARGIN = 0.9

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class QueueParts:
    """What every queue of a node shares."""

    pools: EndpointPools
    policy: BatchPolicy
    connections: EndpointConnections
    dialect: CallDialect
    budget: SharedRetryBudget
    clock: Clock
    metrics: Metrics


class EndpointQueue:
    """Makes pieces at one endpoint, as long as it is in service.

    Pieces gather while a call is under way, so calls fill by themselves as load grows.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    spec : callable
        Returns how its pool works, in the configuration in force.
    parts : QueueParts
        Shared parts.
    """

    __slots__ = (
        "_call_ends_at",
        "_has_changed",
        "_numbers",
        "_parts",
        "_pieces",
        "_spec",
        "_task",
        "is_leaving",
        "record",
        "space",
    )

    def __init__(
        self,
        record: EndpointRecord,
        spec: Callable[[], StagePool | None],
        parts: QueueParts,
    ) -> None:
        self.record = record
        self.space = ResultSpace(parts.clock)
        self._spec = spec
        self._parts = parts
        self._numbers = count(1)
        self._pieces: dict[int, Piece] = {}
        self._has_changed = Event()
        self._call_ends_at = 0.0
        self.is_leaving = False
        self._task = gevent.spawn(self._run)

    def submit(self, pieces: Sequence[Piece]) -> None:
        """Queue pieces; their results are set when a call brought them."""
        if self.is_leaving:
            for piece in pieces:
                piece.result.set(PieceFailed(REASON_LOST))
            return
        group = next(self._numbers)
        for piece in pieces:
            piece.group = group
            piece.is_reserved = False
            self._pieces[next(self._numbers)] = piece
        self._has_changed.set()

    def cancel(self, request_id: str) -> None:
        """Drop the pieces of a request that wait."""
        for number, piece in list(self._pieces.items()):
            if piece.order.request_id == request_id:
                piece.is_cancelled = True
                del self._pieces[number]
                piece.result.set(PieceFailed(REASON_CANCELLED))

    def commit(self, request_id: str) -> None:
        """Let the pieces of a request that holds space by now go first."""
        for piece in self._pieces.values():
            if piece.order.request_id == request_id:
                piece.is_committed = True

    def release(self, handles: Sequence[str]) -> None:
        """Count results as given up."""
        for handle in handles:
            self.space.release(handle)
        self._has_changed.set()

    def backlog(self) -> Backlog:
        """Return the estimated times until a new piece would be begun."""
        spec = self._spec()
        if spec is None:
            return Backlog((0.0,))
        now = self._parts.clock.monotonic()
        call_s = spec.call_s + spec.batch * spec.piece_s
        under_way_s = max(0.0, self._call_ends_at - now)
        under_way_s += self._parts.pools.loads.ejected_for_s(self.record.name)
        waiting = [0] * URGENCY_LEVELS
        for piece in self._pieces.values():
            is_late = piece.due_at < now
            level = urgency_level(piece.priority, is_late)
            waiting[0 if piece.is_committed else level] += 1
        return Backlog(
            tuple(
                under_way_s + ahead / spec.batch * call_s
                for ahead in accumulate(waiting)
            )
        )

    def fail_all(self, reason: str) -> None:
        """End every piece that waits; the endpoint takes no more."""
        pieces, self._pieces = list(self._pieces.values()), {}
        for piece in pieces:
            piece.result.set(PieceFailed(reason))

    def leave(self) -> None:
        """Send nothing more: the endpoint is draining."""
        self.is_leaving = True
        self.fail_all(REASON_LOST)

    def close(self) -> None:
        """Stop once the call under way has ended: the endpoint is gone."""
        self.leave()
        if not self._call_ends_at:
            self._task.kill(block=False)

    def _run(self) -> None:
        while True:
            if not self._pieces:
                self._has_changed.clear()
                self._has_changed.wait()
            spec = self._spec()
            if spec is None:
                self.fail_all("no such pool")
                continue
            pieces = self._next_pieces(spec)
            if not pieces:
                # Space becomes free by releases and with time.
                self._has_changed.clear()
                self._parts.clock.wait(self._has_changed, _LOOK_S)
                continue
            self._make(spec, pieces)

    def _next_pieces(self, spec: StagePool) -> list[Piece]:
        now = self._parts.clock.monotonic()
        for number, piece in list(self._pieces.items()):
            if piece.limit_at <= now:
                del self._pieces[number]
                piece.result.set(PieceFailed(REASON_LATE))
        self._reserve(spec, now)
        numbers = self._parts.policy.fill(self._queued(), spec.batch, now)
        return [self._pieces.pop(number) for number in numbers]

    def _reserve(self, spec: StagePool, now: float) -> None:
        """Set space aside for the groups that the policy begins."""
        room = float("inf")
        if spec.room_bytes:
            reserved = sum(_size(p) for p in self._pieces.values() if p.is_reserved)
            room = self.space.free(spec.room_bytes) - reserved
        waiting = [piece for piece in self._queued() if not piece.is_reserved]
        for number in self._parts.policy.reserve(waiting, room, now):
            self._pieces[number].is_reserved = True

    def _queued(self) -> list[QueuedPiece]:
        return [
            QueuedPiece(
                n,
                p.group,
                p.due_at,
                p.priority,
                _size(p),
                p.is_committed,
                p.is_reserved,
            )
            for n, p in self._pieces.items()
        ]

    def _make(self, spec: StagePool, pieces: list[Piece]) -> None:
        parts, name = self._parts, self.record.name
        started = parts.clock.monotonic()
        expected_s = spec.call_s + len(pieces) * spec.piece_s
        self._call_ends_at = started + expected_s
        held_bytes = self.space.used()
        parts.pools.loads.begin(name)
        try:
            outcome = self._exchange(pieces, started, expected_s)
        finally:
            parts.pools.loads.end(name)
            self._call_ends_at = 0.0
        elapsed_s = parts.clock.monotonic() - started
        service = self.record.service
        parts.metrics.count("stage_calls_total", service=service)
        parts.metrics.count("stage_pieces_total", len(pieces), service=service)
        parts.metrics.observe_latency("stage_call_seconds", elapsed_s)
        _logger.info(
            "stage call",
            extra={
                "service": service,
                "endpoint": name,
                "pieces": len(pieces),
                "requests": sorted({piece.order.request_id for piece in pieces}),
                "waiting": len(self._pieces),
                "space_used": self.space.used(),
                "elapsed_ms": round(elapsed_s * 1000, 1),
            },
        )
        if isinstance(outcome, StageResults):
            parts.pools.loads.succeed(name, elapsed_s / expected_s, 1.0)
            self._deliver(spec, pieces, outcome, held_bytes)
        else:
            self._send_again(pieces, outcome, elapsed_s)

    def _exchange(
        self, pieces: list[Piece], started: float, expected_s: float
    ) -> StageResults | NotSent | Lost | PieceFailed:
        """Return the results, or how the call failed; `PieceFailed` is "not run"."""
        orders = []
        for piece in pieces:
            piece.sends += 1
            remaining_s = max(0.0, piece.limit_at - started)
            orders.append(piece.order.within(remaining_s))
        latest_s = max(piece.limit_at for piece in pieces) - started
        patience_s = min(latest_s, _PATIENCE_CALLS * expected_s + _PATIENCE_EXTRA_S)
        timeout = gevent.Timeout(max(0.05, patience_s))
        reply: Reply | NotSent | Lost | None = None
        timeout.start()
        try:
            # Answers to calls name no request, so a connection serves one call only:
            # a late answer on it could not be told from the next one's.
            reply = self._parts.connections.call(
                self.record.address,
                self._parts.dialect.stage_request(self.record, orders),
                lambda head: True,
                freshest_s=0.0,
            )
            if not isinstance(reply, Reply):
                return reply
            return self._read(reply, len(pieces))
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return Lost(f"{self.record.address}: no results for {patience_s:.2f} s")
        finally:
            timeout.close()
            if isinstance(reply, Reply):
                reply.discard()

    def _read(self, reply: Reply, expected: int) -> StageResults | Lost | PieceFailed:
        address, dialect = self.record.address, self._parts.dialect
        signs = dialect.read_signs(reply.head)
        self._parts.pools.take_report(self.record.name, signs.load)
        if signs.is_not_run:
            return PieceFailed(f"status {reply.head.status}")
        body = reply.read_all()
        if isinstance(body, Broken):
            return Lost(body.detail)
        if reply.head.status != _STATUS_OK:
            return Lost(f"{address}: status {reply.head.status}")
        results = dialect.read_stage_results(body, expected)
        if isinstance(results, BadCall):
            return Lost(f"{address}: {results.detail}")
        return results

    def _deliver(
        self,
        spec: StagePool,
        pieces: list[Piece],
        outcome: StageResults,
        held_bytes: int,
    ) -> None:
        refused: list[Piece] = []
        for piece, result in zip(pieces, outcome.results, strict=True):
            if isinstance(result, PieceMade):
                self.space.take(result.handle, _size(piece), spec.keep_s)
                held_bytes += _size(piece)
                piece.result.set(result)
                continue
            self._log_piece(piece, result)
            is_wanted = not piece.is_cancelled and not self.is_leaving
            if result.reason == REASON_ROOM and is_wanted:
                refused.append(piece)
            else:
                piece.result.set(result)
        if refused:
            self.space.refuse(held_bytes, min(_size(piece) for piece in refused))
            self._queue_again(refused)

    def _queue_again(self, refused: list[Piece]) -> None:
        """Queue pieces that found no room, beside what was to be made next."""
        for piece in refused:
            self._pieces[next(self._numbers)] = piece
        for piece in self._pieces.values():
            piece.is_reserved = False

    def _log_piece(self, piece: Piece, failed: PieceFailed) -> None:
        self._parts.metrics.count(
            "stage_piece_failures_total",
            service=self.record.service,
            reason=failed.reason,
        )
        _logger.info(
            "piece failed",
            extra={
                "request_id": piece.order.request_id,
                "stage": piece.order.stage,
                "piece": piece.order.piece,
                "endpoint": self.record.name,
                "reason": failed.reason,
                "sends": piece.sends,
                "space_used": self.space.used(),
            },
        )

    def _send_again(
        self,
        pieces: list[Piece],
        outcome: NotSent | Lost | PieceFailed,
        elapsed_s: float,
    ) -> None:
        """Queue the pieces of a failed call again where that is allowed."""
        parts, record = self._parts, self.record
        is_refused = isinstance(outcome, PieceFailed)
        if isinstance(outcome, PieceFailed):
            detail = outcome.reason
        else:
            detail = outcome.detail
            parts.pools.loads.fail(record.name, parts.pools.names(record.service))
        kind = "refused" if is_refused else type(outcome).__name__
        parts.metrics.count(
            "stage_call_failures_total", service=record.service, kind=kind
        )
        _logger.info(
            "stage call failed",
            extra={
                "service": record.service,
                "endpoint": record.name,
                "kind": kind,
                "detail": detail,
                "requests": sorted({piece.order.request_id for piece in pieces}),
                "elapsed_ms": round(elapsed_s * 1000, 1),
                "ejected": parts.pools.loads.is_ejected(record.name),
            },
        )
        may_repeat = (
            is_refused and not self.is_leaving and parts.budget.take(record.service)
        )
        for piece in pieces:
            if may_repeat and piece.sends < _MAX_SENDS and not piece.is_cancelled:
                self._pieces[next(self._numbers)] = piece
            else:
                # Another endpoint may make it; whoever asked decides that.
                piece.result.set(PieceFailed(REASON_LOST))
        self._parts.clock.sleep(_REST_S)


def _size(piece: Piece) -> int:
    return int(piece.result_bytes * _SIZE_MARGIN)
