"""Runs the stages of one request and holds their results until they are used."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.queue import Queue

from sapphirehoist.clock import Clock
from sapphirehoist.gateway.dialect import (
    Call,
    CallDialect,
    PieceFailed,
    PieceMade,
    PieceOrder,
)
from sapphirehoist.gateway.stage_pool import Piece, StagePools
from sapphirehoist.http1 import EndpointConnections, Reply
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import Route

# Results that are no longer needed are given up together, soon.
_FREE_EVERY_S = 0.1
_FREE_TIMEOUT_S = 1.0
_HANDLES_PER_CALL = 200
# An endpoint without room for results is asked again after a part of a call.
_ROOM_PAUSE_S = 0.15
_ROOM_TRIES = 12
_REMAKES = 2

_logger = logging.getLogger(__name__)


class ResultReleaser:
    """Gives up results at the endpoints that made them.

    Parameters
    ----------
    connections : EndpointConnections
        Connections to endpoints.
    dialect : CallDialect
        Encodes calls.
    clock, metrics : Clock, Metrics
        Pace, and the counter ``stage_results_released_total``.
    """

    __slots__ = ("_clock", "_connections", "_dialect", "_handles", "_metrics")

    def __init__(
        self,
        connections: EndpointConnections,
        dialect: CallDialect,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._connections = connections
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._handles: defaultdict[str, list[str]] = defaultdict(list)

    def release(self, maker: str, handle: str) -> None:
        """Give up a result soon."""
        self._handles[maker].append(handle)

    def run(self) -> None:
        """Send what has gathered, until killed."""
        while True:
            self._clock.sleep(_FREE_EVERY_S)
            for maker in list(self._handles):
                handles = self._handles.pop(maker)
                for first in range(0, len(handles), _HANDLES_PER_CALL):
                    part = handles[first : first + _HANDLES_PER_CALL]
                    gevent.spawn(self._send, maker, part)

    def _send(self, maker: str, handles: list[str]) -> None:
        """Ask once: results that are not given up lapse by themselves."""
        self._metrics.count("stage_results_released_total", len(handles))
        with gevent.Timeout(_FREE_TIMEOUT_S, False):
            reply = self._connections.call(
                maker, self._dialect.free_request(handles), lambda head: True
            )
            if not isinstance(reply, Reply):
                return
            reply.read_all()
            reply.close()


@dataclass(frozen=True, slots=True)
class StagesFailed:
    """The results cannot be had; the request itself has not run.

    Attributes
    ----------
    detail : str
        Stage, piece and reason.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class _Ended:
    """A piece's end, as the job receives it."""

    stage: int
    index: int
    piece: Piece


class StageJob:
    """The stages of one request.

    Parameters
    ----------
    call : Call
        The caller's request.
    route : Route
        Its stages.
    limit_at, target_at : float
        Monotonic times by which the request must and should be answered.
    priority : int
        Rank of the request.
    pools : StagePools
        Where pieces are queued.
    releaser : ResultReleaser
        Takes results that are no longer needed.
    """

    __slots__ = (
        "_call",
        "_counts",
        "_handles",
        "_limit_at",
        "_makers",
        "_open",
        "_pools",
        "_priority",
        "_releaser",
        "_remakes",
        "_results",
        "_room_tries",
        "_route",
        "_target_at",
    )

    def __init__(
        self,
        call: Call,
        route: Route,
        limit_at: float,
        target_at: float,
        priority: int,
        pools: StagePools,
        releaser: ResultReleaser,
    ) -> None:
        self._call = call
        self._route = route
        self._limit_at = limit_at
        self._target_at = target_at
        self._priority = priority
        self._pools = pools
        self._releaser = releaser
        given = call.pieces
        self._counts = [
            given[i] if i < len(given) else 1 for i in range(len(route.stages))
        ]
        self._results: Queue = Queue()
        self._open: list[Piece] = []
        self._remakes = 0
        self._room_tries = 0
        self._reset()

    @property
    def piece_count(self) -> int:
        """Return the pieces of all stages."""
        return sum(self._counts)

    def services(self) -> set[str]:
        """Return the services that make pieces for this request."""
        stages = zip(self._route.stages, self._counts, strict=True)
        return {stage.service for stage, pieces in stages if pieces}

    def run(self) -> tuple[str, ...] | StagesFailed:
        """Make all pieces; return the handles of the last stages."""
        self._reset()
        self._start_ready()
        while any(None in handles for handles in self._handles):
            ended: _Ended = self._results.get()
            if ended.piece not in self._open:
                continue
            self._open.remove(ended.piece)
            result = ended.piece.result.get()
            if isinstance(result, PieceMade):
                self._keep(ended, result)
                continue
            failed = self._mend(ended, result)
            if failed is not None:
                return failed
        final = self._route.final_stages()
        return tuple(h for stage in final for h in self._handles[stage] if h)

    def release(self) -> None:
        """Give up every result and every piece that is still wanted."""
        for piece in self._open:
            piece.is_cancelled = True
            piece.result.rawlink(self._release_late)
        self._open = []
        for stage, handles in enumerate(self._handles):
            for index, handle in enumerate(handles):
                if handle:
                    self._releaser.release(self._makers[stage][index], handle)
        self._reset()

    def _release_late(self, result: AsyncResult) -> None:
        """Give up a result that arrives after its request has ended."""
        made = result.value
        if isinstance(made, PieceMade):
            self._releaser.release(made.handle.rpartition("/")[0], made.handle)

    def _reset(self) -> None:
        self._handles: list[list[str | None]] = [[None] * n for n in self._counts]
        self._makers = [[""] * n for n in self._counts]

    def _start_ready(self) -> None:
        """Start the stages whose inputs stand and that have not been started."""
        started = {piece.order.stage for piece in self._open}
        for stage, spec in enumerate(self._route.stages):
            is_done = None not in self._handles[stage]
            is_ready = all(None not in self._handles[i] for i in spec.after)
            if is_done or stage in started or not is_ready:
                continue
            for index in range(self._counts[stage]):
                if self._handles[stage][index] is None:
                    self._start(stage, index)

    def _start(self, stage: int, index: int) -> None:
        spec = self._route.stages[stage]
        inputs = tuple(h for i in spec.after for h in self._handles[i] if h)
        order = PieceOrder(
            self._call.request_id,
            stage,
            index,
            0.0,
            "" if spec.after else self._call.piece_key,
            inputs,
        )
        piece = Piece(order, self._limit_at, self._target_at, self._priority)
        self._open.append(piece)
        ended = _Ended(stage, index, piece)
        piece.result.rawlink(lambda result: self._results.put(ended))
        self._pools.submit(spec.service, piece)

    def _keep(self, ended: _Ended, made: PieceMade) -> None:
        self._handles[ended.stage][ended.index] = made.handle
        self._makers[ended.stage][ended.index] = ended.piece.maker
        if None not in self._handles[ended.stage]:
            self._start_ready()

    def _mend(self, ended: _Ended, failed: PieceFailed) -> StagesFailed | None:
        """Start what is missing again, or say why not."""
        name = f"stage {ended.stage} piece {ended.index}: {failed.reason}"
        if failed.reason == "room" and self._room_tries < _ROOM_TRIES:
            self._room_tries += 1
            gevent.sleep(_ROOM_PAUSE_S)
            self._start(ended.stage, ended.index)
            return None
        if self._remakes >= _REMAKES or failed.reason == "late":
            return StagesFailed(name)
        self._remakes += 1
        if failed.reason == "gone":
            self.release()
            self._start_ready()
        else:
            self._start(ended.stage, ended.index)
        return None
