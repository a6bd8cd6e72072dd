"""Runs the stages of one request and holds their results until they are consumed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
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
from sapphirehoist.gateway.stage_admission import StageNeed, StagePlan
from sapphirehoist.gateway.stage_forecast import Forecast, StageForecaster
from sapphirehoist.gateway.stage_progress import PendingPiece, StageProgress
from sapphirehoist.gateway.stage_scheduler import StageScheduler
from sapphirehoist.routes import Route

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


class StageRunner(StageInputs):
    """Runs the stages of one request.

    Stages run in order of decreasing height, so that results do not
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
    allowed_regions : frozenset of str, optional
        Regions whose endpoints may compute the pieces; None for any.
    limit_to_stop : callable, optional
        Returns a monotonic time, or that of a planned stop of this node if earlier.

    Attributes
    ----------
    end_s_by_stage : dict of int to float
        Time from the start of the run to the end of each stage, by stage index.
    plan : StagePlan or None
        Places that the owners of endpoints promised; None without.
    """

    __slots__ = (
        "_allowed_regions",
        "_call",
        "_clock",
        "_correction",
        "_deadline_at",
        "_finished",
        "_forecaster",
        "_is_released",
        "_limit_to_stop",
        "_pieces_limit_at",
        "_priority",
        "_progress",
        "_released_stages",
        "_rerun_task",
        "_retries",
        "_route",
        "_scheduled_starts",
        "_scheduler",
        "_started_at",
        "_target_at",
        "end_s_by_stage",
        "plan",
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
        allowed_regions: frozenset[str] | None = None,
        limit_to_stop: Callable[[float], float] = lambda at: at,
    ) -> None:
        self._allowed_regions = allowed_regions
        self._limit_to_stop = limit_to_stop
        self._pieces_limit_at = limit_to_stop(deadline_at)
        self._correction = correction
        self._clock = clock
        self._call = call
        self._route = route
        self._deadline_at = deadline_at
        self._target_at = target_at
        self._priority = priority
        self._scheduler = scheduler
        self._progress = StageProgress(route, call.piece_counts)
        self._forecaster = StageForecaster(
            self._progress,
            scheduler,
            priority,
            engine_zone,
            allowed_regions,
            is_resumed=bool(call.last_event_id) and route.is_resumable,
        )
        self._finished: Queue = Queue()
        self._retries = 0
        self._started_at = 0.0
        self._scheduled_starts: dict[int, float] = {}
        self.end_s_by_stage: dict[int, float] = {}
        self.plan: StagePlan | None = None
        self._is_released = False
        self._rerun_task: gevent.Greenlet | None = None
        self._clear_results()

    @property
    def piece_count(self) -> int:
        """Return the number of pieces of all stages."""
        return sum(self._progress.piece_counts)

    @property
    def is_released(self) -> bool:
        """Return whether the results have been released and do not exist again."""
        is_rerunning = self._rerun_task is not None and not self._rerun_task.ready()
        return self._is_released or is_rerunning

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the result handles of the final stages, ordered by stage and piece."""
        return self._progress.final_handles()

    def bytes_by_zone(self) -> dict[str, int]:
        """Return the bytes of the final stages' results by availability zone."""
        zone_bytes: dict[str, int] = {}
        for stage in self._route.final_stages():
            result_bytes = self._route.stages[stage].result_bytes
            for endpoint in self._progress.result_endpoints(stage):
                zone = self._scheduler.zone_of(endpoint)
                zone_bytes[zone] = zone_bytes.get(zone, 0) + result_bytes
        return zone_bytes

    def services_used(self) -> set[str]:
        """Return the services that compute pieces of this request."""
        stages = zip(self._route.stages, self._progress.piece_counts, strict=True)
        return {stage.service for stage, pieces in stages if pieces}

    def run(self) -> StagesFailure | None:
        """Compute all pieces; return why that failed, or None on success."""
        self._clear_results()
        self._is_released = False
        self._started_at = self._clock.monotonic()
        self._scheduled_starts.clear()
        failure = self._start_ready_stages()
        while failure is None and not self._progress.is_complete:
            finished = self._wait_for_finished_piece()
            self._limit_pieces_to_stop()
            if finished is None:
                failure = self._start_due_stages()
                if failure is None and self._is_infeasible():
                    return StagesFailure("too much waits before it")
                continue
            if finished not in self._progress.pending:
                continue
            self._progress.pending.remove(finished)
            result = finished.piece.result.get()
            if isinstance(result, PieceComputed):
                failure = self._store_result(finished, result)
            else:
                failure = self._retry_failed_piece(finished, result)
        return failure

    def _wait_for_finished_piece(self) -> PendingPiece | None:
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

    def _limit_pieces_to_stop(self) -> None:
        """Let the pieces expire in time for a response before this node stops."""
        limit_at = self._limit_to_stop(self._deadline_at)
        excess_s = self._pieces_limit_at - limit_at
        if excess_s > 0:
            self._pieces_limit_at = limit_at
            for pending in self._progress.pending:
                pending.piece.expires_at -= excess_s

    def _is_infeasible(self) -> bool:
        """Return whether the request should fail now instead of waiting longer.

        This holds for an uncommitted request that is past its latency target and is
        forecast to miss its deadline. Owners that promised places know more of that.
        """
        is_promised = self.plan is not None and self.plan.is_complete
        if self._forecaster.is_committed() or (is_promised and not self._retries):
            return False
        forecast_s = self._correction.factor(self._route.name)
        forecast_s *= self.forecast().past_target_s
        remaining_s = self._deadline_at - self._clock.monotonic()
        return forecast_s > remaining_s and self._target_at < self._clock.monotonic()

    def forecast(self) -> Forecast:
        """Return the estimated time until the first token, given current backlogs."""
        return self._forecaster.forecast()

    def needs(self) -> list[StageNeed]:
        """Return what the request needs at each stage, first stages first."""
        return self._forecaster.needs(self._target_at, self._deadline_at)

    def follow(self, plan: StagePlan) -> None:
        """Use the promised places; a late request does not delay those on time."""
        self.plan = plan
        if not plan.is_on_time:
            self._target_at = min(self._target_at, self._clock.monotonic())

    def set_deadline(self, deadline_at: float) -> None:
        """Replace the limit, once the caller has the first bytes of its response."""
        self._deadline_at = deadline_at
        self._pieces_limit_at = self._limit_to_stop(deadline_at)

    def prepare_again(self, deadline_at: float) -> bool:
        """Return whether the results exist; begin to compute them again if not."""
        if self._is_released and self._rerun_task is None:
            self.set_deadline(deadline_at)
            self._rerun_task = gevent.spawn(self._run_again)
        return not self.is_released

    def _run_again(self) -> None:
        try:
            failure = self.run()
        except Exception:
            self.release()
            raise
        if failure is not None:
            self.release()

    def release(self) -> None:
        """Release all results and promises, and cancel all pending pieces."""
        if self._rerun_task not in (None, gevent.getcurrent()):
            self._rerun_task.kill(block=False)
        if self.plan is not None:
            self.plan.release_unused()
        for pending in self._progress.pending:
            pending.piece.is_cancelled = True
            pending.piece.result.rawlink(self._release_callback(pending.endpoint))
        for endpoint in {pending.endpoint for pending in self._progress.pending}:
            self._scheduler.cancel(
                endpoint, self._call.request_id, self._allowed_regions
            )
        self._progress.pending = []
        for stage in range(len(self._progress.piece_counts)):
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
        results = zip(
            self._progress.endpoints[stage], self._progress.handles[stage], strict=True
        )
        for endpoint, handle in results:
            if handle:
                self._scheduler.release_result(endpoint, handle)

    def _clear_results(self) -> None:
        self._progress.clear()
        self._released_stages: set[int] = set()

    def _start_ready_stages(self) -> StagesFailure | None:
        """Start the unfinished stages of the greatest remaining height.

        If several stages are ready, the shorter ones are delayed so that all end at
        about the same time and no result occupies space while it waits for others.
        """
        started = {pending.stage for pending in self._progress.pending} | set(
            self._scheduled_starts
        )
        heights = self._progress.heights
        unfinished = self._progress.unfinished_stages()
        highest = max((heights[stage] for stage in unfinished), default=0)
        ready = [
            stage
            for stage in unfinished
            if heights[stage] == highest and stage not in started
        ]
        if len(ready) > 1:
            now = self._clock.monotonic()
            durations_s = {
                stage: self._forecaster.stage_forecast(stage).on_time_s
                for stage in ready
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
        return self._start_pieces(stage, self._progress.missing_pieces(stage))

    def _start_pieces(
        self, stage: int, indexes: list[int], avoided_endpoint: str = ""
    ) -> StagesFailure | None:
        stage_spec = self._route.stages[stage]
        group_size = self._scheduler.max_group_pieces(
            stage_spec.service, stage_spec.result_bytes
        )
        for first in range(0, len(indexes), group_size):
            group = indexes[first : first + group_size]
            record = None
            if self.plan is not None and not avoided_endpoint:
                promised = self.plan.take(stage, group[0])
                record = self._scheduler.get_available(promised, self._allowed_regions)
            if record is None:
                record = self._scheduler.choose_endpoint(
                    stage_spec.service,
                    self._forecaster.remote_bytes_by_zone(stage, len(group)),
                    self._forecaster.space_bytes_by_endpoint(stage, len(group)),
                    self._priority,
                    avoided_endpoint,
                    self._allowed_regions,
                )
            if record is None:
                return StagesFailure(f"stage {stage}: no endpoint")
            pieces = [self._create_piece(stage, index, record.name) for index in group]
            self._scheduler.compute_pieces(record, pieces)
        return None

    def _create_piece(self, stage: int, index: int, endpoint: str) -> Piece:
        stage_spec = self._route.stages[stage]
        inputs = self._progress.input_handles(stage)
        key = "" if stage_spec.depends_on else self._call.piece_key
        piece_request = PieceRequest(
            self._call.request_id, stage, index, 0.0, key, inputs
        )
        time_to_first_token_s = self._forecaster.min_time_to_first_token_s(stage)
        piece = Piece(
            piece_request,
            self._pieces_limit_at - time_to_first_token_s,
            self._target_at
            - time_to_first_token_s
            - self._forecaster.call_duration_s(stage),
            self._priority,
            stage_spec.result_bytes,
            self._forecaster.is_committed(),
            self._allowed_regions,
        )
        pending = PendingPiece(stage, index, endpoint, piece)
        self._progress.pending.append(pending)
        piece.result.rawlink(lambda _: self._finished.put(pending))
        return piece

    def _store_result(
        self, finished: PendingPiece, result: PieceComputed
    ) -> StagesFailure | None:
        stage = finished.stage
        self._progress.store(stage, finished.index, finished.endpoint, result.handle)
        if not self._progress.is_done(stage):
            self._commit_pending()
            return None
        self.end_s_by_stage[stage] = self._clock.monotonic() - self._started_at
        for input_stage in self._progress.unused_inputs(stage):
            self._release_stage(input_stage)
        return self._start_ready_stages()

    def _commit_pending(self) -> None:
        """Mark pending pieces as committed once the request is committed."""
        uncommitted = [
            pending
            for pending in self._progress.pending
            if not pending.piece.is_committed
        ]
        if not uncommitted or not self._forecaster.is_committed():
            return
        for endpoint in {pending.endpoint for pending in uncommitted}:
            self._scheduler.commit(
                endpoint, self._call.request_id, self._allowed_regions
            )
        for pending in uncommitted:
            pending.piece.is_committed = True

    def _retry_failed_piece(
        self, finished: PendingPiece, failure: PieceFailed
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
        if (
            self._retries
            >= _MAX_EXTRA_RETRIES + self._progress.piece_counts[finished.stage]
        ):
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
