"""Runs the stages of one request and holds their results until they are used."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import ForecastCorrection
from sapphirehoist.gateway.dialect import Call, PieceFailed, PieceMade, PieceOrder
from sapphirehoist.gateway.job import StageInputs
from sapphirehoist.gateway.pieces import (
    REASON_GONE,
    REASON_LATE,
    REASON_LOST,
    Piece,
)
from sapphirehoist.gateway.stage_pools import StagePools
from sapphirehoist.routes import Route

# From the last result to the first token of a prompt that the engine partly holds.
_FIRST_TOKEN_S = 0.25
# Part of an endpoint's space from which on a request is finished rather than held back.
_COMMITTED_SHARE = 0.05
# How often a request that waits for its first results is forecast anew.
_FORECAST_EVERY_S = 0.3
# Pieces that are made again for one request, whatever became of the first.
_REMAKES = 3


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
class Forecast:
    """Time until the first token.

    Attributes
    ----------
    on_time_s : float
        If the request is served before those that miss their target.
    total_s : float
        If it is served after them, as one that misses its target itself.
    """

    on_time_s: float
    total_s: float


@dataclass(slots=True, eq=False)
class _Open:
    """A piece that has been asked for."""

    stage: int
    index: int
    endpoint: str
    piece: Piece


class StageJob(StageInputs):
    """The stages of one request.

    A stage starts once nothing that takes longer is left before it, so that results do
    not take up space earlier than needed; results go as soon as they are used.

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
        Has pieces made.
    correction : ForecastCorrection
        Corrects forecasts.
    clock : Clock
        Monotonic time.
    answer_zone : str
        Availability zone of the engine that will likely read the last results.

    Attributes
    ----------
    ended_s : dict of int to float
        Time from the start of the first stage to the end of each.
    """

    __slots__ = (
        "_answer_zone",
        "_call",
        "_clock",
        "_correction",
        "_counts",
        "_endpoints",
        "_handles",
        "_heights",
        "_is_released",
        "_limit_at",
        "_open",
        "_pools",
        "_priority",
        "_remakes",
        "_results",
        "_route",
        "_start_at",
        "_started_at",
        "_target_at",
        "ended_s",
    )

    def __init__(
        self,
        call: Call,
        route: Route,
        limit_at: float,
        target_at: float,
        priority: int,
        pools: StagePools,
        correction: ForecastCorrection,
        clock: Clock,
        answer_zone: str,
    ) -> None:
        self._answer_zone = answer_zone
        self._correction = correction
        self._clock = clock
        self._call = call
        self._route = route
        self._limit_at = limit_at
        self._target_at = target_at
        self._priority = priority
        self._pools = pools
        given = call.pieces
        self._counts = [
            given[i] if i < len(given) else 1 for i in range(len(route.stages))
        ]
        self._heights = route.stage_heights()
        self._results: Queue = Queue()
        self._open: list[_Open] = []
        self._remakes = 0
        self._started_at = 0.0
        self._start_at: dict[int, float] = {}
        self.ended_s: dict[int, float] = {}
        self._is_released = False
        self._reset()

    @property
    def piece_count(self) -> int:
        """Return the pieces of all stages."""
        return sum(self._counts)

    @property
    def is_released(self) -> bool:
        """Return whether the results were given up."""
        return self._is_released

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the handles of the last stages, by stage and piece."""
        final = self._route.final_stages()
        return tuple(h for stage in final for h in self._handles[stage] if h)

    def bytes_by_zone(self) -> dict[str, int]:
        """Return the size of the last stages' results by availability zone."""
        sizes: dict[str, int] = {}
        for stage in self._route.final_stages():
            size = self._route.stages[stage].result_bytes
            for endpoint in filter(None, self._endpoints[stage]):
                zone = self._pools.zone_of(endpoint)
                sizes[zone] = sizes.get(zone, 0) + size
        return sizes

    def services(self) -> set[str]:
        """Return the services that make pieces for this request."""
        stages = zip(self._route.stages, self._counts, strict=True)
        return {stage.service for stage, pieces in stages if pieces}

    def run(self) -> StagesFailed | None:
        """Make all pieces; return why that failed, or None."""
        self._reset()
        self._is_released = False
        self._started_at = self._clock.monotonic()
        self._start_at.clear()
        failed = self._start_ready()
        while failed is None and not all(map(self._is_done, range(len(self._counts)))):
            ended = self._next_end()
            if ended is None:
                failed = self._start_due()
                if failed is None and self._is_hopeless():
                    return StagesFailed("too much waits before it")
                continue
            if ended not in self._open:
                continue
            self._open.remove(ended)
            result = ended.piece.result.get()
            if isinstance(result, PieceMade):
                failed = self._keep(ended, result)
            else:
                failed = self._mend(ended, result)
        return failed

    def _next_end(self) -> _Open | None:
        """Return the next piece that ended; None when it is time to look around."""
        now = self._clock.monotonic()
        soonest = min(self._start_at.values(), default=now + _FORECAST_EVERY_S)
        timeout_s = min(max(soonest - now, 0.0), _FORECAST_EVERY_S)
        try:
            return self._results.get(timeout=timeout_s)
        except Empty:
            return None

    def _is_hopeless(self) -> bool:
        """Return whether a request that holds little should be given up now."""
        if self._is_committed():
            return False
        forecast_s = self._correction.factor(self._route.name)
        forecast_s *= self.forecast().total_s
        left_s = self._limit_at - self._clock.monotonic()
        return forecast_s > left_s and self._target_at < self._clock.monotonic()

    def forecast(self) -> Forecast:
        """Return when the request would begin to be answered, by what waits now."""
        on_time_s = total_s = _FIRST_TOKEN_S
        for height in set(self._heights):
            level = [self._stage_forecast(s) for s in self._level(height)]
            on_time_s += max((stage.on_time_s for stage in level), default=0.0)
            total_s += max((stage.total_s for stage in level), default=0.0)
        return Forecast(on_time_s, total_s)

    def _level(self, height: int) -> list[int]:
        """Return the stages of `height` that have pieces to be made."""
        return [
            stage
            for stage, own in enumerate(self._heights)
            if own == height and not self._is_done(stage)
        ]

    def _stage_forecast(self, stage: int) -> Forecast:
        """Return the time from the start of a stage to its end."""
        spec = self._route.stages[stage]
        pieces = self._counts[stage]
        record = self._pools.choose(
            spec.service,
            self._remote_bytes(stage, pieces),
            self._space_bytes(stage, 0),
            self._priority,
        )
        call_s = self._call_s(stage)
        if record is None:
            return Forecast(call_s, call_s)
        backlog = self._pools.backlog(record)
        return Forecast(
            backlog.on_time_s(self._priority) + call_s,
            backlog.late_s(self._priority) + call_s,
        )

    def _is_committed(self) -> bool:
        """Return whether results of this request take up much of some space."""
        for stage, spec in enumerate(self._route.stages):
            pool = self._pools.spec(spec.service)
            held = sum(1 for handle in self._handles[stage] if handle)
            if pool is None or not pool.room_bytes:
                continue
            if held * spec.result_bytes > _COMMITTED_SHARE * pool.room_bytes:
                return True
        return False

    def _remote_bytes(self, stage: int, pieces: int) -> Callable[[str], int]:
        """Return how many bytes cross zones if `pieces` are made in a given one.

        Each piece fetches every input; results are read by the engine that answers, or
        by the next stage, which is then made where they are.
        """
        spec = self._route.stages[stage]
        result_bytes = 0 if self._heights[stage] else pieces * spec.result_bytes
        inputs: dict[str, int] = {}
        for before in spec.after:
            size = self._route.stages[before].result_bytes
            for endpoint in filter(None, self._endpoints[before]):
                zone = self._pools.zone_of(endpoint)
                inputs[zone] = inputs.get(zone, 0) + pieces * size

        def remote(zone: str) -> int:
            fetched = sum(size for where, size in inputs.items() if where != zone)
            return fetched + (result_bytes if zone != self._answer_zone else 0)

        return remote

    def _space_bytes(self, stage: int, pieces: int) -> Callable[[str], int]:
        """Return how much this request takes up with `pieces` more at an endpoint."""
        taken: dict[str, int] = {}
        for before, spec in enumerate(self._route.stages):
            for endpoint in filter(None, self._endpoints[before]):
                taken[endpoint] = taken.get(endpoint, 0) + spec.result_bytes
        for waiting in self._open:
            size = waiting.piece.result_bytes
            taken[waiting.endpoint] = taken.get(waiting.endpoint, 0) + size
        more = pieces * self._route.stages[stage].result_bytes
        return lambda endpoint: taken.get(endpoint, 0) + more

    def _call_s(self, stage: int) -> float:
        """Return the time of the calls for a stage's pieces, without waiting."""
        spec = self._pools.spec(self._route.stages[stage].service)
        pieces = self._counts[stage]
        if spec is None or not pieces:
            return 0.0
        return spec.call_s + min(pieces, spec.batch) * spec.piece_s

    def _time_after(self, stage: int) -> float:
        """Return the least time from the end of `stage` to the first token."""
        lower = range(self._heights[stage])
        return _FIRST_TOKEN_S + sum(
            max((self._call_s(s) for s in self._level(height)), default=0.0)
            for height in lower
        )

    def release(self) -> None:
        """Give up every result and every piece that is still wanted."""
        for waiting in self._open:
            waiting.piece.is_cancelled = True
            waiting.piece.result.rawlink(self._release_late(waiting.endpoint))
        for endpoint in {waiting.endpoint for waiting in self._open}:
            self._pools.cancel(endpoint, self._call.request_id)
        self._open = []
        for stage in range(len(self._counts)):
            self._release_stage(stage)
        self._reset()
        self._is_released = True

    def _release_late(self, endpoint: str) -> Callable[[AsyncResult], None]:
        def release(result: AsyncResult) -> None:
            """Give up a result that arrives after its request has ended."""
            if isinstance(result.value, PieceMade):
                self._pools.release(endpoint, result.value.handle)

        return release

    def _release_stage(self, stage: int) -> None:
        for index, handle in enumerate(self._handles[stage]):
            if handle:
                self._pools.release(self._endpoints[stage][index], handle)

    def _reset(self) -> None:
        self._handles: list[list[str]] = [[""] * n for n in self._counts]
        self._endpoints: list[list[str]] = [[""] * n for n in self._counts]

    def _is_done(self, stage: int) -> bool:
        return all(self._handles[stage])

    def _start_ready(self) -> StagesFailed | None:
        """Start the stages that nothing higher is left before.

        Of those that are ready together, the shorter ones start later, so that all end
        at about the same time and no result takes up space while it waits for others.
        """
        started = {waiting.stage for waiting in self._open} | set(self._start_at)
        pending = [s for s in range(len(self._counts)) if not self._is_done(s)]
        highest = max((self._heights[s] for s in pending), default=0)
        ready = [s for s in pending if self._heights[s] == highest and s not in started]
        if len(ready) > 1:
            now = self._clock.monotonic()
            times = {s: self._stage_forecast(s).on_time_s for s in ready}
            longest = max(times.values())
            self._start_at |= {s: now + longest - t for s, t in times.items()}
            return self._start_due()
        for stage in ready:
            failed = self._start_missing(stage)
            if failed is not None:
                return failed
        return None

    def _start_due(self) -> StagesFailed | None:
        """Start the stages whose time has come."""
        now = self._clock.monotonic()
        for stage in [s for s, at in self._start_at.items() if at <= now]:
            del self._start_at[stage]
            failed = self._start_missing(stage)
            if failed is not None:
                return failed
        return None

    def _start_missing(self, stage: int) -> StagesFailed | None:
        return self._start(
            stage, [i for i, h in enumerate(self._handles[stage]) if not h]
        )

    def _start(
        self, stage: int, indexes: list[int], avoid: str = ""
    ) -> StagesFailed | None:
        spec = self._route.stages[stage]
        size = self._pools.group_size(spec.service, spec.result_bytes)
        for first in range(0, len(indexes), size):
            group = indexes[first : first + size]
            record = self._pools.choose(
                spec.service,
                self._remote_bytes(stage, len(group)),
                self._space_bytes(stage, len(group)),
                self._priority,
                avoid,
            )
            if record is None:
                return StagesFailed(f"stage {stage}: no endpoint")
            pieces = [self._open_piece(stage, index, record.name) for index in group]
            self._pools.make(record, pieces)
        return None

    def _open_piece(self, stage: int, index: int, endpoint: str) -> Piece:
        spec = self._route.stages[stage]
        inputs = tuple(h for i in spec.after for h in self._handles[i])
        key = "" if spec.after else self._call.piece_key
        order = PieceOrder(self._call.request_id, stage, index, 0.0, key, inputs)
        after_s = self._time_after(stage)
        piece = Piece(
            order,
            self._limit_at - after_s,
            self._target_at - after_s - self._call_s(stage),
            self._priority,
            spec.result_bytes,
            self._is_committed(),
        )
        waiting = _Open(stage, index, endpoint, piece)
        self._open.append(waiting)
        piece.result.rawlink(lambda _: self._results.put(waiting))
        return piece

    def _keep(self, ended: _Open, made: PieceMade) -> StagesFailed | None:
        self._handles[ended.stage][ended.index] = made.handle
        self._endpoints[ended.stage][ended.index] = ended.endpoint
        if not self._is_done(ended.stage):
            self._commit_waiting()
            return None
        self.ended_s[ended.stage] = self._clock.monotonic() - self._started_at
        self._release_used(ended.stage)
        return self._start_ready()

    def _commit_waiting(self) -> None:
        """Let the pieces that still wait go first once the others take up space."""
        waiting = [w for w in self._open if not w.piece.is_committed]
        if not waiting or not self._is_committed():
            return
        for endpoint in {w.endpoint for w in waiting}:
            self._pools.commit(endpoint, self._call.request_id)
        for w in waiting:
            w.piece.is_committed = True

    def _release_used(self, done: int) -> None:
        """Give up results whose every user is done."""
        for stage in self._route.stages[done].after:
            users = [
                i for i, spec in enumerate(self._route.stages) if stage in spec.after
            ]
            if all(map(self._is_done, users)):
                self._release_stage(stage)

    def _mend(self, ended: _Open, failed: PieceFailed) -> StagesFailed | None:
        """Start what is missing again, or say why not."""
        detail = StagesFailed(
            f"stage {ended.stage} piece {ended.index} at {ended.endpoint}: "
            f"{failed.reason}"
        )
        if failed.reason == REASON_LATE:
            return detail
        if self._remakes >= _REMAKES + self._counts[ended.stage]:
            return detail
        self._remakes += 1
        if failed.reason == REASON_GONE:
            self.release()
            self._is_released = False
            self._start_at.clear()
            return self._start_ready()
        avoid = ended.endpoint if failed.reason == REASON_LOST else ""
        return self._start(ended.stage, [ended.index], avoid)
