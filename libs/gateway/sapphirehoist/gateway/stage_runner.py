"""Runs the stages of one request and holds their results until they are consumed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import ForecastCorrection
from sapphirehoist.gateway.codec import (
    PieceComputed,
    PieceFailed,
    PieceRequest,
    RequestMetadata,
)
from sapphirehoist.gateway.pieces import (
    REASON_ENDPOINT_LOST,
    REASON_EXPIRED,
    REASON_INPUTS_GONE,
    Piece,
)
from sapphirehoist.gateway.request_context import StageInputs
from sapphirehoist.gateway.stage_scheduler import StageScheduler
from sapphirehoist.routes import Route

# Time from the last stage result to the first token, for a prompt that the model engine
# has partly cached.
_FIRST_TOKEN_S = 0.25
# Fraction of an endpoint's space above which a request is committed: its pieces are
# computed first, and it does not fail because of a forecast.
_COMMITTED_SPACE_FRACTION = 0.05
# Interval at which the forecast of a request waiting for results is recomputed.
_FORECAST_INTERVAL_S = 0.3
# Retries of pieces allowed per request, whatever the failure, in addition to the piece
# count of the stage.
_MAX_EXTRA_RETRIES = 3


@dataclass(frozen=True, slots=True)
class StagesFailure:
    """The stage results are unavailable; the request itself has not run.

    Attributes
    ----------
    detail : str
        Stage, piece and reason of the failure, where they are known.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Forecast:
    """Estimated time until the first token, or duration of one stage.

    Attributes
    ----------
    on_time_s : float
        Estimate if the request is served ahead of those past their latency target.
    past_target_s : float
        Estimate if it is served like a request past its latency target.
    """

    on_time_s: float
    past_target_s: float


@dataclass(slots=True, eq=False)
class _PendingPiece:
    """A requested piece whose result has not been processed yet."""

    stage: int
    index: int
    endpoint: str
    piece: Piece


class StageRunner(StageInputs):
    """Runs the stages of one request.

    The height of a stage is the number of stages that follow it on the longest path to
    a final stage. Stages run in order of decreasing height, so that results do not
    occupy space earlier than needed. Results are released as soon as every stage that
    consumes them is done.

    Parameters
    ----------
    call : RequestMetadata
        The caller's request.
    route : Route
        Route of the request, with its stages.
    deadline_at, target_at : float
        Monotonic times of the limit for the first byte of the response and of the
        latency target.
    priority : int
        Priority of the request; 0 is the most urgent.
    scheduler : StageScheduler
        Computes the pieces.
    correction : ForecastCorrection
        Correction factors for forecasts by route.
    clock : Clock
        Monotonic time.
    engine_zone : str
        Availability zone of the model engine that is expected to read the results of
        the final stages.

    Attributes
    ----------
    end_s_by_stage : dict of int to float
        Time from the start of the run to the end of each stage, by stage index.
    """

    __slots__ = (
        "_call",
        "_clock",
        "_correction",
        "_deadline_at",
        "_engine_zone",
        "_finished",
        "_handles",
        "_heights",
        "_is_released",
        "_pending",
        "_piece_counts",
        "_priority",
        "_released_stages",
        "_result_endpoints",
        "_retries",
        "_route",
        "_scheduled_starts",
        "_scheduler",
        "_started_at",
        "_target_at",
        "end_s_by_stage",
    )

    def __init__(
        self,
        call: RequestMetadata,
        route: Route,
        deadline_at: float,
        target_at: float,
        priority: int,
        scheduler: StageScheduler,
        correction: ForecastCorrection,
        clock: Clock,
        engine_zone: str,
    ) -> None:
        self._engine_zone = engine_zone
        self._correction = correction
        self._clock = clock
        self._call = call
        self._route = route
        self._deadline_at = deadline_at
        self._target_at = target_at
        self._priority = priority
        self._scheduler = scheduler
        requested_counts = call.piece_counts
        self._piece_counts = [
            requested_counts[stage] if stage < len(requested_counts) else 1
            for stage in range(len(route.stages))
        ]
        self._heights = route.stage_heights()
        self._finished: Queue = Queue()
        self._pending: list[_PendingPiece] = []
        self._retries = 0
        self._started_at = 0.0
        self._scheduled_starts: dict[int, float] = {}
        self.end_s_by_stage: dict[int, float] = {}
        self._is_released = False
        self._clear_results()

    @property
    def piece_count(self) -> int:
        """Return the number of pieces of all stages."""
        return sum(self._piece_counts)

    @property
    def is_released(self) -> bool:
        """Return whether the results have been released."""
        return self._is_released

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the result handles of the final stages, ordered by stage and piece."""
        final_stages = self._route.final_stages()
        return tuple(
            handle
            for stage in final_stages
            for handle in self._handles[stage]
            if handle
        )

    def bytes_by_zone(self) -> dict[str, int]:
        """Return the bytes of the final stages' results by availability zone."""
        zone_bytes: dict[str, int] = {}
        for stage in self._route.final_stages():
            result_bytes = self._route.stages[stage].result_bytes
            for endpoint in filter(None, self._result_endpoints[stage]):
                zone = self._scheduler.zone_of(endpoint)
                zone_bytes[zone] = zone_bytes.get(zone, 0) + result_bytes
        return zone_bytes

    def services_used(self) -> set[str]:
        """Return the services that compute pieces of this request."""
        stages = zip(self._route.stages, self._piece_counts, strict=True)
        return {stage.service for stage, pieces in stages if pieces}

    def run(self) -> StagesFailure | None:
        """Compute all pieces; return why that failed, or None on success."""
        self._clear_results()
        self._is_released = False
        self._started_at = self._clock.monotonic()
        self._scheduled_starts.clear()
        failure = self._start_ready_stages()
        while failure is None and not all(
            map(self._is_done, range(len(self._piece_counts)))
        ):
            finished = self._wait_for_finished_piece()
            if finished is None:
                failure = self._start_due_stages()
                if failure is None and self._is_infeasible():
                    return StagesFailure("too much waits before it")
                continue
            if finished not in self._pending:
                continue
            self._pending.remove(finished)
            result = finished.piece.result.get()
            if isinstance(result, PieceComputed):
                failure = self._store_result(finished, result)
            else:
                failure = self._retry_failed_piece(finished, result)
        return failure

    def _wait_for_finished_piece(self) -> _PendingPiece | None:
        """Return the next finished piece; None if a stage start or forecast is due."""
        now = self._clock.monotonic()
        next_start_at = min(
            self._scheduled_starts.values(), default=now + _FORECAST_INTERVAL_S
        )
        timeout_s = min(max(next_start_at - now, 0.0), _FORECAST_INTERVAL_S)
        try:
            return self._finished.get(timeout=timeout_s)
        except Empty:
            return None

    def _is_infeasible(self) -> bool:
        """Return whether the request should fail now instead of waiting longer.

        This holds for an uncommitted request that is past its latency target and is
        forecast to miss its deadline.
        """
        if self._is_committed():
            return False
        forecast_s = self._correction.factor(self._route.name)
        forecast_s *= self.forecast().past_target_s
        remaining_s = self._deadline_at - self._clock.monotonic()
        return forecast_s > remaining_s and self._target_at < self._clock.monotonic()

    def forecast(self) -> Forecast:
        """Return the estimated time until the first token, given current backlogs."""
        on_time_s = past_target_s = _FIRST_TOKEN_S
        for height in set(self._heights):
            stage_forecasts = [
                self._stage_forecast(stage)
                for stage in self._unfinished_stages_at(height)
            ]
            on_time_s += max(
                (forecast.on_time_s for forecast in stage_forecasts), default=0.0
            )
            past_target_s += max(
                (forecast.past_target_s for forecast in stage_forecasts), default=0.0
            )
        return Forecast(on_time_s, past_target_s)

    def _unfinished_stages_at(self, height: int) -> list[int]:
        """Return the stages of `height` with pieces that have no result yet."""
        return [
            stage
            for stage, stage_height in enumerate(self._heights)
            if stage_height == height and not self._is_done(stage)
        ]

    def _stage_forecast(self, stage: int) -> Forecast:
        """Return the estimated duration of a stage, waiting included."""
        stage_spec = self._route.stages[stage]
        piece_count = self._piece_counts[stage]
        record = self._scheduler.choose_endpoint(
            stage_spec.service,
            self._remote_bytes_by_zone(stage, piece_count),
            self._space_bytes_by_endpoint(stage, 0),
            self._priority,
        )
        call_duration_s = self._call_duration_s(stage)
        if record is None:
            return Forecast(call_duration_s, call_duration_s)
        backlog = self._scheduler.backlog(record)
        return Forecast(
            backlog.on_time_s(self._priority) + call_duration_s,
            backlog.past_target_s(self._priority) + call_duration_s,
        )

    def _is_committed(self) -> bool:
        """Return whether results at any stage exceed the committed space fraction."""
        for stage, stage_spec in enumerate(self._route.stages):
            pool_config = self._scheduler.pool_config(stage_spec.service)
            result_count = sum(1 for handle in self._handles[stage] if handle)
            if pool_config is None or not pool_config.result_capacity_bytes:
                continue
            if (
                result_count * stage_spec.result_bytes
                > _COMMITTED_SPACE_FRACTION * pool_config.result_capacity_bytes
            ):
                return True
        return False

    def _remote_bytes_by_zone(
        self, stage: int, piece_count: int
    ) -> Callable[[str], int]:
        """Return a function from a zone to the bytes transferred between zones.

        The function assumes that `piece_count` pieces are computed in that zone. Each
        piece fetches every input. Results of a final stage are read by the model
        engine. Results of other stages count as local, because the next stage is placed
        where they are.
        """
        stage_spec = self._route.stages[stage]
        result_bytes = (
            0 if self._heights[stage] else piece_count * stage_spec.result_bytes
        )
        input_bytes_by_zone: dict[str, int] = {}
        for input_stage in stage_spec.depends_on:
            input_bytes = self._route.stages[input_stage].result_bytes
            for endpoint in filter(None, self._result_endpoints[input_stage]):
                zone = self._scheduler.zone_of(endpoint)
                input_bytes_by_zone[zone] = (
                    input_bytes_by_zone.get(zone, 0) + piece_count * input_bytes
                )

        def remote_bytes(zone: str) -> int:
            fetched_bytes = sum(
                input_bytes
                for input_zone, input_bytes in input_bytes_by_zone.items()
                if input_zone != zone
            )
            return fetched_bytes + (result_bytes if zone != self._engine_zone else 0)

        return remote_bytes

    def _space_bytes_by_endpoint(
        self, stage: int, piece_count: int
    ) -> Callable[[str], int]:
        """Return a function from an endpoint name to the bytes occupied there.

        It counts the request's results and pending pieces at the endpoint, and
        `piece_count` more pieces of `stage`.
        """
        used_bytes: dict[str, int] = {}
        for stage_index, stage_spec in enumerate(self._route.stages):
            for endpoint in filter(None, self._result_endpoints[stage_index]):
                used_bytes[endpoint] = (
                    used_bytes.get(endpoint, 0) + stage_spec.result_bytes
                )
        for pending in self._pending:
            result_bytes = pending.piece.result_bytes
            used_bytes[pending.endpoint] = (
                used_bytes.get(pending.endpoint, 0) + result_bytes
            )
        additional_bytes = piece_count * self._route.stages[stage].result_bytes
        return lambda endpoint: used_bytes.get(endpoint, 0) + additional_bytes

    def _call_duration_s(self, stage: int) -> float:
        """Return the expected duration of one call for a stage, without waiting."""
        pool_config = self._scheduler.pool_config(self._route.stages[stage].service)
        piece_count = self._piece_counts[stage]
        if pool_config is None or not piece_count:
            return 0.0
        return (
            pool_config.call_overhead_s
            + min(piece_count, pool_config.max_batch_pieces) * pool_config.per_piece_s
        )

    def _min_time_to_first_token_s(self, stage: int) -> float:
        """Return the minimum time from the end of `stage` to the first token."""
        later_heights = range(self._heights[stage])
        return _FIRST_TOKEN_S + sum(
            max(
                (
                    self._call_duration_s(later_stage)
                    for later_stage in self._unfinished_stages_at(height)
                ),
                default=0.0,
            )
            for height in later_heights
        )

    def release(self) -> None:
        """Release all results and cancel all pending pieces."""
        for pending in self._pending:
            pending.piece.is_cancelled = True
            pending.piece.result.rawlink(self._release_callback(pending.endpoint))
        for endpoint in {pending.endpoint for pending in self._pending}:
            self._scheduler.cancel(endpoint, self._call.request_id)
        self._pending = []
        for stage in range(len(self._piece_counts)):
            self._release_stage(stage)
        self._clear_results()
        self._is_released = True

    def _release_callback(self, endpoint: str) -> Callable[[AsyncResult], None]:
        def release_unused_result(result: AsyncResult) -> None:
            """Release a result that arrives after its request has ended."""
            if isinstance(result.value, PieceComputed):
                self._scheduler.release_result(endpoint, result.value.handle)

        return release_unused_result

    def _release_stage(self, stage: int) -> None:
        if stage in self._released_stages:
            return
        self._released_stages.add(stage)
        for index, handle in enumerate(self._handles[stage]):
            if handle:
                self._scheduler.release_result(
                    self._result_endpoints[stage][index], handle
                )

    def _clear_results(self) -> None:
        # By stage and piece index; empty until the piece has a result.
        self._handles: list[list[str]] = [[""] * count for count in self._piece_counts]
        self._result_endpoints: list[list[str]] = [
            [""] * count for count in self._piece_counts
        ]
        self._released_stages: set[int] = set()

    def _is_done(self, stage: int) -> bool:
        return all(self._handles[stage])

    def _start_ready_stages(self) -> StagesFailure | None:
        """Start the unfinished stages of the greatest remaining height.

        If several stages are ready, the shorter ones are delayed so that all end at
        about the same time and no result occupies space while it waits for others.
        """
        started = {pending.stage for pending in self._pending} | set(
            self._scheduled_starts
        )
        unfinished = [
            stage
            for stage in range(len(self._piece_counts))
            if not self._is_done(stage)
        ]
        highest = max((self._heights[stage] for stage in unfinished), default=0)
        ready = [
            stage
            for stage in unfinished
            if self._heights[stage] == highest and stage not in started
        ]
        if len(ready) > 1:
            now = self._clock.monotonic()
            durations_s = {
                stage: self._stage_forecast(stage).on_time_s for stage in ready
            }
            longest_s = max(durations_s.values())
            self._scheduled_starts |= {
                stage: now + longest_s - duration_s
                for stage, duration_s in durations_s.items()
            }
            return self._start_due_stages()
        for stage in ready:
            failure = self._start_missing_pieces(stage)
            if failure is not None:
                return failure
        return None

    def _start_due_stages(self) -> StagesFailure | None:
        """Start the stages whose scheduled start time has passed."""
        now = self._clock.monotonic()
        for stage in [
            stage
            for stage, start_at in self._scheduled_starts.items()
            if start_at <= now
        ]:
            del self._scheduled_starts[stage]
            failure = self._start_missing_pieces(stage)
            if failure is not None:
                return failure
        return None

    def _start_missing_pieces(self, stage: int) -> StagesFailure | None:
        return self._start_pieces(
            stage,
            [index for index, handle in enumerate(self._handles[stage]) if not handle],
        )

    def _start_pieces(
        self, stage: int, indexes: list[int], avoided_endpoint: str = ""
    ) -> StagesFailure | None:
        stage_spec = self._route.stages[stage]
        group_size = self._scheduler.max_group_pieces(
            stage_spec.service, stage_spec.result_bytes
        )
        for first in range(0, len(indexes), group_size):
            group = indexes[first : first + group_size]
            record = self._scheduler.choose_endpoint(
                stage_spec.service,
                self._remote_bytes_by_zone(stage, len(group)),
                self._space_bytes_by_endpoint(stage, len(group)),
                self._priority,
                avoided_endpoint,
            )
            if record is None:
                return StagesFailure(f"stage {stage}: no endpoint")
            pieces = [self._create_piece(stage, index, record.name) for index in group]
            self._scheduler.compute_pieces(record, pieces)
        return None

    def _create_piece(self, stage: int, index: int, endpoint: str) -> Piece:
        stage_spec = self._route.stages[stage]
        inputs = tuple(
            handle
            for input_stage in stage_spec.depends_on
            for handle in self._handles[input_stage]
        )
        key = "" if stage_spec.depends_on else self._call.piece_key
        piece_request = PieceRequest(
            self._call.request_id, stage, index, 0.0, key, inputs
        )
        time_to_first_token_s = self._min_time_to_first_token_s(stage)
        piece = Piece(
            piece_request,
            self._deadline_at - time_to_first_token_s,
            self._target_at - time_to_first_token_s - self._call_duration_s(stage),
            self._priority,
            stage_spec.result_bytes,
            self._is_committed(),
        )
        pending = _PendingPiece(stage, index, endpoint, piece)
        self._pending.append(pending)
        piece.result.rawlink(lambda _: self._finished.put(pending))
        return piece

    def _store_result(
        self, finished: _PendingPiece, result: PieceComputed
    ) -> StagesFailure | None:
        self._handles[finished.stage][finished.index] = result.handle
        self._result_endpoints[finished.stage][finished.index] = finished.endpoint
        if not self._is_done(finished.stage):
            self._commit_pending()
            return None
        self.end_s_by_stage[finished.stage] = self._clock.monotonic() - self._started_at
        self._release_unused_inputs(finished.stage)
        return self._start_ready_stages()

    def _commit_pending(self) -> None:
        """Mark pending pieces as committed once the request is committed."""
        uncommitted = [
            pending for pending in self._pending if not pending.piece.is_committed
        ]
        if not uncommitted or not self._is_committed():
            return
        for endpoint in {pending.endpoint for pending in uncommitted}:
            self._scheduler.commit(endpoint, self._call.request_id)
        for pending in uncommitted:
            pending.piece.is_committed = True

    def _release_unused_inputs(self, completed_stage: int) -> None:
        """Release the inputs of a stage that no unfinished stage consumes."""
        for input_stage in self._route.stages[completed_stage].depends_on:
            consumers = [
                consumer
                for consumer, stage_spec in enumerate(self._route.stages)
                if input_stage in stage_spec.depends_on
            ]
            if all(map(self._is_done, consumers)):
                self._release_stage(input_stage)

    def _retry_failed_piece(
        self, finished: _PendingPiece, failure: PieceFailed
    ) -> StagesFailure | None:
        """Retry a failed piece; return the failure if no retry is possible.

        If its inputs are gone, all results are released and the stages start over.
        """
        stages_failed = StagesFailure(
            f"stage {finished.stage} piece {finished.index} at {finished.endpoint}: "
            f"{failure.reason}"
        )
        if failure.reason == REASON_EXPIRED:
            return stages_failed
        if self._retries >= _MAX_EXTRA_RETRIES + self._piece_counts[finished.stage]:
            return stages_failed
        self._retries += 1
        if failure.reason == REASON_INPUTS_GONE:
            self.release()
            self._is_released = False
            self._scheduled_starts.clear()
            return self._start_ready_stages()
        avoided_endpoint = (
            finished.endpoint if failure.reason == REASON_ENDPOINT_LOST else ""
        )
        return self._start_pieces(finished.stage, [finished.index], avoided_endpoint)
