"""Forecasts for the stages of one request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sapphirehoist.gateway.stage_admission import StageNeed
from sapphirehoist.gateway.stage_progress import StageProgress
from sapphirehoist.gateway.stage_scheduler import StageScheduler

# Time from the last stage result to the first token, for a prompt that the model engine
# has partly cached.
_FIRST_TOKEN_S = 0.25
# Fraction of an endpoint's space above which a request is committed: its pieces are
# computed first, and it does not fail because of a forecast. So is a resumed stream,
# whose caller already holds a part of the response.
_COMMITTED_SPACE_FRACTION = 0.05


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


class StageForecaster:
    """Estimates the duration of the stages of one request and their placement costs.

    Parameters
    ----------
    progress : StageProgress
        Results of the request so far.
    scheduler : StageScheduler
        Knows the endpoints and their backlogs.
    priority : int
        Priority of the request; 0 is the most urgent.
    engine_zone : str
        Availability zone of the model engine that is expected to read the results of
        the final stages.
    allowed_regions : frozenset of str, optional
        Regions whose endpoints may compute the pieces; None for any.
    is_resumed : bool, optional
        Whether the caller already holds a part of the response.
    """

    __slots__ = (
        "_allowed_regions",
        "_engine_zone",
        "_is_resumed",
        "_priority",
        "_progress",
        "_scheduler",
    )

    def __init__(
        self,
        progress: StageProgress,
        scheduler: StageScheduler,
        priority: int,
        engine_zone: str,
        allowed_regions: frozenset[str] | None = None,
        is_resumed: bool = False,
    ) -> None:
        self._allowed_regions = allowed_regions
        self._is_resumed = is_resumed
        self._progress = progress
        self._scheduler = scheduler
        self._priority = priority
        self._engine_zone = engine_zone

    def forecast(self) -> Forecast:
        """Return the estimated time until the first token, given current backlogs."""
        on_time_s = past_target_s = _FIRST_TOKEN_S
        for height in set(self._progress.heights):
            stage_forecasts = [
                self.stage_forecast(stage)
                for stage in self._progress.unfinished_stages_at(height)
            ]
            on_time_s += max(
                (forecast.on_time_s for forecast in stage_forecasts), default=0.0
            )
            past_target_s += max(
                (forecast.past_target_s for forecast in stage_forecasts), default=0.0
            )
        return Forecast(on_time_s, past_target_s)

    def stage_forecast(self, stage: int) -> Forecast:
        """Return the estimated duration of a stage, waiting included."""
        stage_spec = self._progress.route.stages[stage]
        piece_count = self._progress.piece_counts[stage]
        record = self._scheduler.choose_endpoint(
            stage_spec.service,
            self.remote_bytes_by_zone(stage, piece_count),
            self.space_bytes_by_endpoint(stage, 0),
            self._priority,
            allowed_regions=self._allowed_regions,
        )
        call_duration_s = self.call_duration_s(stage)
        if record is None:
            return Forecast(call_duration_s, call_duration_s)
        backlog = self._scheduler.backlog(record, self._allowed_regions)
        if self._is_resumed:
            # Committed pieces count to the most urgent level of a backlog.
            duration_s = backlog.on_time_s(0) + call_duration_s
            return Forecast(duration_s, duration_s)
        return Forecast(
            backlog.on_time_s(self._priority) + call_duration_s,
            backlog.past_target_s(self._priority) + call_duration_s,
        )

    def needs(self, target_at: float, deadline_at: float) -> list[StageNeed]:
        """Return what the request needs at each stage, first stages first.

        Parameters
        ----------
        target_at, deadline_at : float
            Monotonic times of the latency target and of the limit for the first byte of
            the response.
        """
        needs: list[StageNeed] = []
        arrives_in_s = 0.0
        for height in sorted(set(self._progress.heights), reverse=True):
            stages = [
                stage
                for stage in self._progress.unfinished_stages_at(height)
                if self._progress.piece_counts[stage]
            ]
            for stage in stages:
                needs.extend(
                    self._stage_needs(stage, arrives_in_s, target_at, deadline_at)
                )
            arrives_in_s += max(
                (self.stage_forecast(stage).on_time_s for stage in stages), default=0.0
            )
        return needs

    def _stage_needs(
        self, stage: int, arrives_in_s: float, target_at: float, deadline_at: float
    ) -> list[StageNeed]:
        """Return the needs of one stage, one for each group of pieces."""
        stage_spec = self._progress.route.stages[stage]
        piece_count = self._progress.piece_counts[stage]
        group_size = self._scheduler.max_group_pieces(
            stage_spec.service, stage_spec.result_bytes
        )
        call_s = self.call_duration_s(stage)
        rest_s = self.min_time_to_first_token_s(stage) + call_s
        return [
            StageNeed(
                stage,
                first,
                min(group_size, piece_count - first),
                self._progress.heights[stage],
                stage_spec,
                arrives_in_s,
                target_at - rest_s,
                deadline_at - rest_s,
                call_s,
                self.remote_bytes_by_zone(stage, min(group_size, piece_count - first)),
            )
            for first in range(0, piece_count, group_size)
        ]

    def is_committed(self) -> bool:
        """Return whether the pieces of the request are computed before those of others.

        That is so for a resumed stream, and once results at any stage exceed the
        committed space fraction.
        """
        if self._is_resumed:
            return True
        for stage, stage_spec in enumerate(self._progress.route.stages):
            pool_config = self._scheduler.pool_config(stage_spec.service)
            result_count = sum(1 for handle in self._progress.handles[stage] if handle)
            if pool_config is None or not pool_config.result_capacity_bytes:
                continue
            if (
                result_count * stage_spec.result_bytes
                > _COMMITTED_SPACE_FRACTION * pool_config.result_capacity_bytes
            ):
                return True
        return False

    def remote_bytes_by_zone(
        self, stage: int, piece_count: int
    ) -> Callable[[str], int]:
        """Return a function from a zone to the bytes transferred between zones.

        The function assumes that `piece_count` pieces are computed in that zone. Each
        piece fetches every input. Results of a final stage are read by the model
        engine. Results of other stages count as local, because the next stage is placed
        where they are.
        """
        stage_spec = self._progress.route.stages[stage]
        result_bytes = (
            0
            if self._progress.heights[stage]
            else piece_count * stage_spec.result_bytes
        )
        input_bytes_by_zone: dict[str, int] = {}
        for input_stage in stage_spec.depends_on:
            input_bytes = self._progress.route.stages[input_stage].result_bytes
            for endpoint in self._progress.result_endpoints(input_stage):
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

    def call_duration_s(self, stage: int) -> float:
        """Return the expected duration of one call for a stage, without waiting."""
        pool_config = self._scheduler.pool_config(
            self._progress.route.stages[stage].service
        )
        piece_count = self._progress.piece_counts[stage]
        if pool_config is None or not piece_count:
            return 0.0
        return (
            pool_config.call_overhead_s
            + min(piece_count, pool_config.max_batch_pieces) * pool_config.per_piece_s
        )

    def min_time_to_first_token_s(self, stage: int) -> float:
        """Return the minimum time from the end of `stage` to the first token."""
        later_heights = range(self._progress.heights[stage])
        return _FIRST_TOKEN_S + sum(
            max(
                (
                    self.call_duration_s(later_stage)
                    for later_stage in self._progress.unfinished_stages_at(height)
                ),
                default=0.0,
            )
            for height in later_heights
        )

    def space_bytes_by_endpoint(
        self, stage: int, piece_count: int
    ) -> Callable[[str], int]:
        """Return a function from an endpoint name to the bytes occupied there.

        It counts the request's results and pending pieces at the endpoint, and
        `piece_count` more pieces of `stage`.
        """
        used_bytes: dict[str, int] = {}
        for stage_index, stage_spec in enumerate(self._progress.route.stages):
            for endpoint in self._progress.result_endpoints(stage_index):
                used_bytes[endpoint] = (
                    used_bytes.get(endpoint, 0) + stage_spec.result_bytes
                )
        for pending in self._progress.pending:
            result_bytes = pending.piece.result_bytes
            used_bytes[pending.endpoint] = (
                used_bytes.get(pending.endpoint, 0) + result_bytes
            )
        additional_bytes = piece_count * self._progress.route.stages[stage].result_bytes
        return lambda endpoint: used_bytes.get(endpoint, 0) + additional_bytes
