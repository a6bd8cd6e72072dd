"""Queues the pieces for one endpoint and sends them in batches, one call at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import accumulate, count

import gevent
from gevent.event import Event

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    URGENCY_LEVELS,
    BatchingPolicy,
    EndpointState,
    PlaceDeclined,
    PlaceOffer,
    PlaceRequest,
    QueuedPiece,
    ReturnOrder,
    SharedRetryBudget,
    StagePlaces,
    StageWork,
    unreachable_work,
    urgency_level,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.codec import (
    CallCodec,
    DecodeFailure,
    PieceComputed,
    PieceFailed,
    StageResults,
)
from sapphirehoist.gateway.pieces import (
    REASON_CANCELLED,
    REASON_ENDPOINT_LOST,
    REASON_EXPIRED,
    REASON_NO_SPACE,
    Backlog,
    Piece,
    ResultSpace,
)
from sapphirehoist.gateway.tunnel_messages import may_carry
from sapphirehoist.http1 import (
    EndpointConnectionPool,
    EndpointResponse,
    Lost,
    NotSent,
    TruncatedBody,
)
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import StageEndpointSpec

_STATUS_OK = 200
# The timeout allows for queueing behind other calls and for a slow endpoint.
_CALL_TIMEOUT_FACTOR = 4.0
_CALL_TIMEOUT_MARGIN_S = 0.3
# Delay after a failed call; a full endpoint is called again after about half the
# duration of a call.
_RETRY_DELAY_S = 0.08
# Interval at which a queue that waits for space checks for expired results.
_EXPIRY_POLL_INTERVAL_S = 0.1
# Includes the first send.
_MAX_SENDS_PER_PIECE = 3
# Result sizes are approximate. Reserving too little costs a short call that the
# endpoint refuses for lack of space; reserving too much leaves the endpoint idle.
_RESERVED_SIZE_RATIO = 0.9

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class QueueDependencies:
    """Dependencies shared by all endpoint queues of a node."""

    endpoint_candidates: EndpointCandidates
    batch_policy: BatchingPolicy
    connections: EndpointConnectionPool
    codec: CallCodec
    retry_budget: SharedRetryBudget
    clock: Clock
    metrics: Metrics
    returns: ReturnOrder


class EndpointQueue:
    """Batches the pieces for one endpoint and sends them while it is in service.

    Pieces accumulate while a call is in progress, so batches grow with the load.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    get_pool_config : callable
        Returns the pool's settings in the active configuration; None if the pool is
        not configured.
    dependencies : QueueDependencies
        Shared with the other queues of the node.
    """

    __slots__ = (
        "_dependencies",
        "_expected_call_end_at",
        "_get_pool_config",
        "_has_changed",
        "_ids",
        "_pieces",
        "_task",
        "is_draining",
        "places",
        "record",
        "result_space",
    )

    def __init__(
        self,
        record: EndpointRecord,
        get_pool_config: Callable[[], StageEndpointSpec | None],
        dependencies: QueueDependencies,
    ) -> None:
        self.record = record
        self.result_space = ResultSpace(dependencies.clock)
        self.places = StagePlaces(record.name, dependencies.returns, dependencies.clock)
        self._get_pool_config = get_pool_config
        self._dependencies = dependencies
        self._ids = count(1)
        self._pieces: dict[int, Piece] = {}
        self._has_changed = Event()
        # 0 while no call is in progress.
        self._expected_call_end_at = 0.0
        self.is_draining = False
        self._task = gevent.spawn(self._run)

    def submit(self, pieces: Sequence[Piece]) -> None:
        """Queue pieces of one request; their results are set once they end or fail."""
        if self.is_draining or not self._is_eligible():
            for piece in pieces:
                piece.result.set(PieceFailed(REASON_ENDPOINT_LOST))
            return
        group_id = next(self._ids)
        promised = None
        if pieces:
            first = pieces[0].request
            promised = self.places.arrive(first.request_id, first.stage, first.piece)
        for piece in pieces:
            if promised is not None:
                piece.priority, piece.is_late = promised.priority, promised.is_late
            piece.group_id = group_id
            piece.is_reserved = False
            self._pieces[next(self._ids)] = piece
        # The requester is told at once, also while a call is in progress.
        self._expire_pieces()
        self._has_changed.set()

    def cancel(self, request_id: str) -> None:
        """Remove the queued pieces of a request and fail them as cancelled."""
        self.places.give_up(request_id)
        for piece_id, piece in list(self._pieces.items()):
            if piece.request.request_id == request_id:
                piece.is_cancelled = True
                del self._pieces[piece_id]
                piece.result.set(PieceFailed(REASON_CANCELLED))

    def commit(self, request_id: str) -> None:
        """Mark the queued pieces of a request as committed; they are sent first."""
        for piece in self._pieces.values():
            if piece.request.request_id == request_id:
                piece.is_committed = True

    def mark_released(self, handles: Sequence[str]) -> None:
        """Stop counting the space of released results."""
        for handle in handles:
            held_s = self.result_space.remove(handle)
            if held_s is not None:
                self.places.record_hold(held_s)
        self._has_changed.set()

    def backlog(self) -> Backlog:
        """Return the estimated wait before a new piece starts, by urgency level."""
        pool_config = self._get_pool_config()
        if pool_config is None:
            return Backlog((0.0,))
        now = self._dependencies.clock.monotonic()
        configured_call_s = (
            pool_config.call_overhead_s
            + pool_config.max_batch_pieces * pool_config.per_piece_s
        )
        call_s = configured_call_s * self._work_time_factor()
        # Requests compare endpoints by this wait, so it includes the additional time
        # that a call takes at a slow endpoint.
        start_delay_s = max(0.0, self._start_delay_s(now) + call_s - configured_call_s)
        waiting_by_level = [0] * URGENCY_LEVELS
        for piece in self._pieces.values():
            is_past_target = piece.is_late or piece.latest_start_at < now
            level = urgency_level(piece.priority, is_past_target)
            waiting_by_level[0 if piece.is_committed else level] += 1
        for work in self.places.reserved():
            waiting_by_level[urgency_level(work.priority, work.is_late)] += work.pieces
        return Backlog(
            tuple(
                start_delay_s + pieces_ahead / pool_config.max_batch_pieces * call_s
                for pieces_ahead in accumulate(waiting_by_level)
            )
        )

    def request_place(self, request: PlaceRequest) -> PlaceOffer | PlaceDeclined:
        """Promise a place for pieces of a request, if they can be reached in time."""
        pool_config = self._get_pool_config()
        now = self._dependencies.clock.monotonic()
        if pool_config is None or self.is_draining:
            return PlaceDeclined(request.latest_useful_at, 0.1)
        return self.places.request(
            replace(
                request,
                result_bytes=int(request.result_bytes * _RESERVED_SIZE_RATIO)
                if pool_config.result_capacity_bytes
                else 0,
            ),
            self._endpoint_state(pool_config, now),
        )

    def _endpoint_state(
        self, pool_config: StageEndpointSpec, now: float
    ) -> EndpointState:
        """Return what is known of the endpoint's time, space and queue."""
        capacity_bytes = free_bytes = float("inf")
        releases: list[tuple[float, int]] = []
        if pool_config.result_capacity_bytes:
            capacity_bytes = pool_config.result_capacity_bytes
            free_bytes = self._free_bytes(pool_config)
            hold_s = self.places.hold_s
            releases = self.result_space.expected_releases(hold_s)
        return EndpointState(
            now + self._start_delay_s(now),
            pool_config.max_batch_pieces,
            pool_config.call_overhead_s * self._work_time_factor(),
            pool_config.per_piece_s * self._work_time_factor(),
            capacity_bytes,
            free_bytes,
            releases,
            self._queued_work(pool_config, now),
        )

    def _queued_work(
        self, pool_config: StageEndpointSpec, now: float
    ) -> list[StageWork]:
        groups: dict[int, list[Piece]] = {}
        for piece in self._pieces.values():
            groups.setdefault(piece.group_id, []).append(piece)
        has_space_limit = bool(pool_config.result_capacity_bytes)
        call_s = pool_config.call_overhead_s + pool_config.per_piece_s
        return [
            StageWork(
                len(pieces),
                sum(
                    _reserved_bytes(piece)
                    for piece in pieces
                    if has_space_limit and not piece.is_reserved
                ),
                sum(map(_reserved_bytes, pieces)),
                pieces[0].priority,
                now,
                pieces[0].latest_start_at,
                pieces[0].expires_at - call_s,
                pieces[0].is_committed,
                pieces[0].is_late,
            )
            for pieces in groups.values()
        ]

    def _work_time_factor(self) -> float:
        """Return the ratio of the time of a call to its configured time."""
        loads = self._dependencies.endpoint_candidates.loads
        return loads.work_time_factor(self.record.name)

    def _start_delay_s(self, now: float) -> float:
        """Return the time until the next call can start."""
        return max(0.0, self._expected_call_end_at - now) + max(
            self._dependencies.endpoint_candidates.loads.remaining_ejection_s(
                self.record.name
            ),
            self.backoff_s(),
        )

    def backoff_s(self) -> float:
        """Return for how long the endpoint still wants no calls from this node."""
        return self._dependencies.endpoint_candidates.backoff_s(self.record)

    def _is_eligible(self) -> bool:
        """Return whether the endpoint may be called; not if its zone is evacuated."""
        return self._dependencies.endpoint_candidates.is_eligible(self.record, None)

    def fail_all(self, reason: str) -> None:
        """Fail every queued piece with `reason`."""
        pieces, self._pieces = list(self._pieces.values()), {}
        for piece in pieces:
            piece.result.set(PieceFailed(reason))

    def drain(self) -> None:
        """Fail all pieces, queued now or submitted later; the endpoint is draining."""
        self.is_draining = True
        self.fail_all(REASON_ENDPOINT_LOST)

    def close(self) -> None:
        """Drain a queue whose endpoint is gone; kill its task if no call is running."""
        self.drain()
        if not self._expected_call_end_at:
            self._task.kill(block=False)

    def _run(self) -> None:
        while True:
            if not self._pieces:
                self._has_changed.clear()
                self._has_changed.wait()
            pool_config = self._get_pool_config()
            if pool_config is None:
                self.fail_all("no such pool")
                continue
            if not self._is_eligible():
                self.fail_all(REASON_ENDPOINT_LOST)
                continue
            self._expire_pieces()
            pieces = [] if self.backoff_s() else self._take_next_batch(pool_config)
            if not pieces:
                # Space becomes free when results are released or expire.
                self._has_changed.clear()
                self._dependencies.clock.wait(
                    self._has_changed, _EXPIRY_POLL_INTERVAL_S
                )
                continue
            self._run_call(pool_config, pieces)

    def _expire_pieces(self) -> None:
        """Fail the pieces that cannot be computed while their result is useful.

        Pieces that are past their target are computed last, so that it is known early
        which of them are not reached.
        """
        pool_config = self._get_pool_config()
        if pool_config is None:
            return
        now = self._dependencies.clock.monotonic()
        min_call_s = pool_config.call_overhead_s + pool_config.per_piece_s
        given_up = {
            piece.group_id
            for piece in self._pieces.values()
            if piece.expires_at - min_call_s <= now
        } | self._unreachable_groups(pool_config, now)
        requests = set()
        for piece_id, piece in list(self._pieces.items()):
            if piece.group_id in given_up:
                del self._pieces[piece_id]
                requests.add(piece.request.request_id)
                piece.result.set(PieceFailed(REASON_EXPIRED))
        if requests:
            self._dependencies.metrics.count(
                "stage_given_up_total", len(requests), service=self.record.service
            )
            _logger.info(
                "requests given up",
                extra={
                    "service": self.record.service,
                    "endpoint": self.record.name,
                    "requests": sorted(requests),
                    "waiting": len(self._pieces),
                },
            )

    def _unreachable_groups(
        self, pool_config: StageEndpointSpec, now: float
    ) -> set[int]:
        """Return the groups past their target that start too late, if all goes well."""
        groups = list(dict.fromkeys(p.group_id for p in self._pieces.values()))
        state = self._endpoint_state(pool_config, now)
        return {
            groups[index] for index in unreachable_work(state, self.places.hold_s, now)
        }

    def _take_next_batch(self, pool_config: StageEndpointSpec) -> list[Piece]:
        now = self._dependencies.clock.monotonic()
        self._reserve_space(pool_config, now)
        piece_ids = self._dependencies.batch_policy.select_batch(
            self._queued_pieces(), pool_config.max_batch_pieces, now
        )
        return [self._pieces.pop(piece_id) for piece_id in piece_ids]

    def _reserve_space(self, pool_config: StageEndpointSpec, now: float) -> None:
        """Reserve result space for the groups that the batch policy selects."""
        free_bytes = float("inf")
        if pool_config.result_capacity_bytes:
            free_bytes = self._free_bytes(pool_config)
        waiting = [piece for piece in self._queued_pieces() if not piece.is_reserved]
        for piece_id in self._dependencies.batch_policy.reserve(
            waiting, free_bytes, now
        ):
            self._pieces[piece_id].is_reserved = True

    def _free_bytes(self, pool_config: StageEndpointSpec) -> int:
        """Return the space that is neither in use nor reserved."""
        reserved_bytes = sum(
            _reserved_bytes(piece)
            for piece in self._pieces.values()
            if piece.is_reserved
        )
        free_bytes = self.result_space.free_bytes(pool_config.result_capacity_bytes)
        return free_bytes - reserved_bytes

    def _queued_pieces(self) -> list[QueuedPiece]:
        return [
            QueuedPiece(
                piece_id,
                piece.group_id,
                piece.latest_start_at,
                piece.priority,
                _reserved_bytes(piece),
                piece.is_committed,
                piece.is_reserved,
                piece.is_late,
            )
            for piece_id, piece in self._pieces.items()
        ]

    def _run_call(self, pool_config: StageEndpointSpec, pieces: list[Piece]) -> None:
        dependencies, endpoint = self._dependencies, self.record.name
        started_at = dependencies.clock.monotonic()
        expected_s = pool_config.call_overhead_s + len(pieces) * pool_config.per_piece_s
        loads = dependencies.endpoint_candidates.loads
        time_factor = loads.work_time_factor(endpoint) * loads.slowdown(endpoint)
        self._expected_call_end_at = started_at + expected_s * time_factor
        used_bytes = self.result_space.used_bytes()
        dependencies.endpoint_candidates.record_send(self.record)
        dependencies.endpoint_candidates.loads.begin_call(endpoint)
        try:
            outcome = self._call_endpoint(
                pieces, started_at, expected_s * max(1.0, time_factor)
            )
        finally:
            dependencies.endpoint_candidates.loads.end_call(endpoint)
            self._expected_call_end_at = 0.0
        elapsed_s = dependencies.clock.monotonic() - started_at
        service = self.record.service
        dependencies.metrics.count("stage_calls_total", service=service)
        dependencies.metrics.count("stage_pieces_total", len(pieces), service=service)
        dependencies.metrics.observe_latency("stage_call_seconds", elapsed_s)
        _logger.info(
            "stage call",
            extra={
                "service": service,
                "endpoint": endpoint,
                "pieces": len(pieces),
                "requests": sorted({piece.request.request_id for piece in pieces}),
                "waiting": len(self._pieces),
                "space_used": self.result_space.used_bytes(),
                "elapsed_ms": round(elapsed_s * 1000, 1),
            },
        )
        if isinstance(outcome, StageResults):
            # The speed of a stage endpoint is the ratio of the actual to the expected
            # duration of a call, which counts as one unit of work.
            dependencies.endpoint_candidates.loads.record_success(
                endpoint,
                elapsed_s / expected_s,
                1.0,
                slowdown=loads.slowdown(endpoint),
            )
            self._deliver_results(pool_config, pieces, outcome, used_bytes)
        else:
            self._handle_failed_call(pieces, outcome, elapsed_s)
            if dependencies.endpoint_candidates.pause_s(self.record) > expected_s:
                # Waiting here takes longer than a call at another endpoint.
                self.fail_all(REASON_ENDPOINT_LOST)

    def _call_endpoint(
        self, pieces: list[Piece], started_at: float, expected_s: float
    ) -> StageResults | NotSent | Lost | PieceFailed:
        """Send the pieces; return their results or how the call failed.

        `PieceFailed` means that the endpoint reports that it computed none of the
        pieces.
        """
        piece_requests = []
        relay_regions = _common_regions(pieces)
        for piece in pieces:
            piece.send_count += 1
            remaining_s = max(0.0, piece.expires_at - started_at)
            piece_requests.append(piece.request.with_remaining_time(remaining_s))
        longest_remaining_s = max(piece.expires_at for piece in pieces) - started_at
        timeout_s = min(
            longest_remaining_s,
            _CALL_TIMEOUT_FACTOR * expected_s + _CALL_TIMEOUT_MARGIN_S,
        )
        timeout = gevent.Timeout(max(0.05, timeout_s))
        reply: EndpointResponse | NotSent | Lost | None = None
        timeout.start()
        try:
            # Responses carry no request id, so each connection serves one call only:
            # a late response could be mistaken for the response to the next call.
            reply = self._dependencies.connections.call(
                self.record.address,
                self._dependencies.codec.encode_stage_call(self.record, piece_requests),
                lambda head, is_reused: True,
                max_idle_s=0.0,
                may_use=lambda sock: (
                    self._is_eligible() and may_carry(sock, relay_regions)
                ),
                relay_regions=relay_regions,
            )
            if not isinstance(reply, EndpointResponse):
                return reply
            return self._read_reply(reply, len(pieces), started_at)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return Lost(f"{self.record.address}: no results for {timeout_s:.2f} s")
        finally:
            timeout.close()
            if isinstance(reply, EndpointResponse):
                reply.discard()

    def _read_reply(
        self, reply: EndpointResponse, expected_results: int, sent_at: float
    ) -> StageResults | Lost | PieceFailed:
        address, codec = self.record.address, self._dependencies.codec
        reply_metadata = codec.decode_reply_head(reply.head)
        self._dependencies.endpoint_candidates.record_reply(
            self.record, reply_metadata, sent_at
        )
        if reply_metadata.is_not_run:
            return PieceFailed(f"status {reply.head.status}")
        body = reply.read_all()
        if isinstance(body, TruncatedBody):
            return Lost(body.detail)
        if reply.head.status != _STATUS_OK:
            return Lost(f"{address}: status {reply.head.status}")
        results = codec.decode_stage_results(body, expected_results)
        if isinstance(results, DecodeFailure):
            return Lost(f"{address}: {results.detail}")
        return results

    def _deliver_results(
        self,
        pool_config: StageEndpointSpec,
        pieces: list[Piece],
        stage_results: StageResults,
        used_bytes: int,
    ) -> None:
        """Set the results of the pieces; requeue those refused for lack of space.

        `used_bytes` is the space that was in use when the call started.
        """
        refused: list[Piece] = []
        for piece, result in zip(pieces, stage_results.results, strict=True):
            if isinstance(result, PieceComputed):
                self.result_space.add(
                    result.handle, _reserved_bytes(piece), pool_config.result_ttl_s
                )
                used_bytes += _reserved_bytes(piece)
                piece.result.set(result)
                continue
            self._log_failed_piece(piece, result)
            may_requeue = not piece.is_cancelled and not self.is_draining
            if result.reason == REASON_NO_SPACE and may_requeue:
                refused.append(piece)
            else:
                piece.result.set(result)
        if refused:
            self.result_space.record_refusal(
                used_bytes, min(_reserved_bytes(piece) for piece in refused)
            )
            self._requeue_refused(refused)

    def _requeue_refused(self, refused: list[Piece]) -> None:
        """Requeue pieces refused for lack of space; drop all reservations.

        The next reservation then ranks the refused pieces together with the others.
        """
        for piece in refused:
            self._pieces[next(self._ids)] = piece
        for piece in self._pieces.values():
            piece.is_reserved = False

    def _log_failed_piece(self, piece: Piece, failure: PieceFailed) -> None:
        self._dependencies.metrics.count(
            "stage_piece_failures_total",
            service=self.record.service,
            reason=failure.reason,
        )
        _logger.info(
            "piece failed",
            extra={
                "request_id": piece.request.request_id,
                "stage": piece.request.stage,
                "piece": piece.request.piece,
                "endpoint": self.record.name,
                "reason": failure.reason,
                "sends": piece.send_count,
                "space_used": self.result_space.used_bytes(),
            },
        )

    def _handle_failed_call(
        self,
        pieces: list[Piece],
        outcome: NotSent | Lost | PieceFailed,
        elapsed_s: float,
    ) -> None:
        """Requeue the pieces of a failed call if a retry is allowed; fail the others.

        Only calls that the endpoint reports as not run are retried here.
        """
        dependencies, record = self._dependencies, self.record
        is_refused = isinstance(outcome, PieceFailed)
        if isinstance(outcome, PieceFailed):
            detail = outcome.reason
        else:
            detail = outcome.detail
            if self._is_eligible():
                dependencies.endpoint_candidates.loads.record_failure(
                    record.name,
                    dependencies.endpoint_candidates.in_service_names(record.service),
                )
        kind = "refused" if is_refused else type(outcome).__name__
        dependencies.metrics.count(
            "stage_call_failures_total", service=record.service, kind=kind
        )
        _logger.info(
            "stage call failed",
            extra={
                "service": record.service,
                "endpoint": record.name,
                "kind": kind,
                "detail": detail,
                "requests": sorted({piece.request.request_id for piece in pieces}),
                "elapsed_ms": round(elapsed_s * 1000, 1),
                "ejected": dependencies.endpoint_candidates.loads.is_ejected(
                    record.name
                ),
            },
        )
        may_retry = (
            is_refused
            and not self.is_draining
            and self._is_eligible()
            and not self.backoff_s()
            and dependencies.retry_budget.try_acquire(record.service)
        )
        for piece in pieces:
            if (
                may_retry
                and piece.send_count < _MAX_SENDS_PER_PIECE
                and not piece.is_cancelled
            ):
                self._pieces[next(self._ids)] = piece
            else:
                # The requester decides whether to retry at another endpoint.
                piece.result.set(PieceFailed(REASON_ENDPOINT_LOST))
        self._dependencies.clock.sleep(_RETRY_DELAY_S)


def _common_regions(pieces: Sequence[Piece]) -> frozenset[str] | None:
    """Return the regions through which all pieces may be sent; None for any."""
    restrictions = [p.allowed_regions for p in pieces if p.allowed_regions is not None]
    return frozenset.intersection(*restrictions) if restrictions else None


def _reserved_bytes(piece: Piece) -> int:
    return int(piece.result_bytes * _RESERVED_SIZE_RATIO)
