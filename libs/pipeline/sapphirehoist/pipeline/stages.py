"""Runs single stages: endpoint selection, attempts, retries and load feedback."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import Endpoint, Stage
from sapphirehoist.decisions import (
    AttemptFailure,
    AttemptRequirements,
    ClassStatistics,
    RetryAction,
    RetryPolicy,
    RoutingPolicy,
)
from sapphirehoist.endpoints import (
    Answered,
    EndpointClient,
    EndpointReport,
    EndpointStatuses,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    TimedOut,
)
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.outcomes import Failed, NotRun, Outcome, Reason, Unknown
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import PipelineRequest
from sapphirehoist.pipeline.stats import PipelineStats

# Engines serve the lowest priority number first: one step is 0.1 s of slack.
_PRIORITY_STEPS_PER_S = 10
_LOWEST_PRIORITY = 99

ResponseT = TypeVar("ResponseT", Answered, Stream)


@dataclass(frozen=True, slots=True)
class StageResult:
    """Output of a stage and the endpoint that produced it."""

    body: bytes
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class StageStream:
    """Open stream of the last stage.

    Attributes
    ----------
    stream, endpoint : Stream, Endpoint
        The stream and the engine that generates it.
    had_capacity : bool
        Whether the engine was expected to run the call without queueing, when it was
        selected.
    """

    stream: Stream
    endpoint: Endpoint
    had_capacity: bool


@dataclass(frozen=True, slots=True)
class StageDependencies:
    """Dependencies of a `StageRunner`."""

    client: EndpointClient
    pools: EndpointPools
    endpoint_statuses: EndpointStatuses
    routing: RoutingPolicy
    retry: RetryPolicy
    class_statistics: ClassStatistics
    stats: PipelineStats
    clock: Clock
    metrics: Metrics
    timeline: Timeline


@dataclass(frozen=True, slots=True)
class LatencyPrediction:
    """Predicted duration of a request, in seconds.

    Attributes
    ----------
    loaded_s, unloaded_s : float
        Duration with and without queueing at the endpoints.
    """

    loaded_s: float
    unloaded_s: float


class StageRunner:
    """Runs single stages of requests, with retries on other endpoints.

    Parameters
    ----------
    deps : StageDependencies
        Endpoint client, endpoint state, policies, clock and statistics.
    """

    __slots__ = ("_deps",)

    def __init__(self, deps: StageDependencies) -> None:
        self._deps = deps

    def run(
        self, req: PipelineRequest, stage: Stage, body: bytes
    ) -> StageResult | Outcome:
        """Run a stage and return its complete output, or the outcome of its failure."""
        client = self._deps.client
        result = self._run_attempts(req, stage, body, client.call)
        if isinstance(result, _Success):
            return StageResult(result.response.body, result.selection.endpoint)
        return result

    def open_stream(
        self, req: PipelineRequest, stage: Stage, body: bytes
    ) -> StageStream | Outcome:
        """Run a stage until its event stream is open, or return why it failed."""
        client = self._deps.client
        result = self._run_attempts(req, stage, body, client.open_stream)
        if isinstance(result, _Success):
            return StageStream(
                result.response,
                result.selection.endpoint,
                result.selection.had_capacity,
            )
        return result

    def record_stream_end(
        self,
        req: PipelineRequest,
        stage: Stage,
        stage_stream: StageStream,
        duration_s: float,
        text_bytes: int,
        tokens: int,
    ) -> None:
        """Record the end of a stream, which counts as in flight until this call.

        Parameters
        ----------
        req : PipelineRequest
            The request that opened the stream.
        stage : Stage
            The streaming stage.
        stage_stream : StageStream
            The stream as it was opened.
        duration_s : float
            Time for which the stream was relayed, in seconds.
        text_bytes : int
            Bytes of generated text that reached this node. At 0, the endpoint's
            speed is not updated.
        tokens : int
            Number of generated tokens.
        """
        self._deps.pools.loads.end_call(stage_stream.endpoint.name)
        self._deps.stats.stage_stats(stage.name).tokens += tokens
        if text_bytes:
            selection = _EndpointSelection(
                stage_stream.endpoint, stage_stream.had_capacity
            )
            self._record_success(req, stage, selection, duration_s, text_bytes)

    def predict_latency(
        self, req: PipelineRequest, urgent_share: float
    ) -> LatencyPrediction:
        """Predict the total duration of all stages on their fastest candidates.

        Parameters
        ----------
        req : PipelineRequest
            The request.
        urgent_share : float
            Share of the active work that engines serve before this request, 0 to 1.

        Returns
        -------
        LatencyPrediction
            A stage without candidates, or with one of unknown speed, adds 0.
        """
        loaded_s = unloaded_s = 0.0
        for stage in req.pipeline.stages:
            units = self._expected_units(req, stage)
            candidates = self._deps.pools.candidates_for_prediction(stage.pool)
            if candidates:
                loaded_s += min(c.predicted_s(units, urgent_share) for c in candidates)
                unloaded_s += min(c.seconds_per_unit for c in candidates) * units
        return LatencyPrediction(loaded_s, unloaded_s)

    def _run_attempts(
        self,
        req: PipelineRequest,
        stage: Stage,
        body: bytes,
        send: Callable[
            [Endpoint, StageCall], ResponseT | NotSent | Refused | Lost | TimedOut
        ],
    ) -> _Success[ResponseT] | Outcome:
        """Make attempts until one succeeds or the retry policy gives up.

        A stage that is not idempotent gets one attempt only.
        """
        tried_endpoints: set[str] = set()
        is_idempotent = self._deps.pools.is_idempotent(stage.pool, stage.name)
        attempt = 0
        while True:
            attempt += 1
            remaining_s = req.deadline - self._deps.clock.monotonic()
            if remaining_s <= 0:
                return self._build_not_run_or_failed(
                    req, Reason.DEADLINE, "the deadline passed"
                )
            selection = self._select_endpoint(req, stage, tried_endpoints)
            if selection is None:
                detail = (
                    f"stage {stage.name}: no endpoint of pool {stage.pool!r} is left"
                )
                return self._build_not_run_or_failed(req, Reason.NO_ENDPOINT, detail)
            if not is_idempotent and req.may_send is not None and not req.may_send():
                detail = f"stage {stage.name}: the claim is too old to send"
                return self._build_not_run_or_failed(req, Reason.CLAIM_EXPIRED, detail)
            call = self._build_call(req, stage, body, attempt, remaining_s)
            call_outcome = self._send_attempt(req, stage, selection, call, send)
            if isinstance(call_outcome, Answered | Stream):
                self._deps.retry.record_success()
                return _Success(call_outcome, selection)
            self._record_failure(stage, selection.endpoint, call_outcome)
            failure = _classify_failure(call_outcome)
            if not is_idempotent:
                return self._build_single_attempt_outcome(req, call_outcome)
            if self._deps.retry.decide(failure, attempt) is RetryAction.GIVE_UP:
                return self._build_give_up_outcome(req, call_outcome)
            tried_endpoints.add(selection.endpoint.name)
            self._deps.stats.stage_stats(stage.name).retries += 1
            self._deps.metrics.count(
                "retries_total", stage=stage.name, failure=failure.value
            )

    def _send_attempt(
        self,
        req: PipelineRequest,
        stage: Stage,
        selection: _EndpointSelection,
        call: StageCall,
        send: Callable[
            [Endpoint, StageCall], ResponseT | NotSent | Refused | Lost | TimedOut
        ],
    ) -> ResponseT | NotSent | Refused | Lost | TimedOut:
        deps, endpoint = self._deps, selection.endpoint
        stats = deps.stats.stage_stats(stage.name)
        stats.calls += 1
        deps.pools.loads.begin_call(endpoint.name)
        started_at = deps.clock.monotonic()
        was_sent_before = req.was_sent
        req.was_sent = True
        call_outcome = send(endpoint, call)
        duration_s = deps.clock.monotonic() - started_at
        if isinstance(call_outcome, NotSent):
            req.was_sent = was_sent_before
        if not isinstance(call_outcome, Stream):
            deps.pools.loads.end_call(endpoint.name)
        if isinstance(call_outcome, Answered):
            stats.tokens += call_outcome.report.tokens
            self._record_success(
                req, stage, selection, duration_s, len(call_outcome.body)
            )
        if not isinstance(call_outcome, NotSent):
            stats.cross_region_bytes += deps.pools.cross_region_bytes(
                endpoint, len(call.body)
            )
        if isinstance(call_outcome, Answered | Stream | Refused):
            self._record_endpoint_report(endpoint, call_outcome.report)
        return call_outcome

    def _select_endpoint(
        self, req: PipelineRequest, stage: Stage, tried_endpoints: set[str]
    ) -> _EndpointSelection | None:
        deps = self._deps
        candidates = deps.pools.candidates(stage.pool, tried_endpoints)
        if not candidates:
            return None
        elapsed_s = deps.clock.monotonic() - req.started_at
        slack_s = max(0.0, req.class_of_work.target_ms / 1000 - elapsed_s)
        affinity_key = req.cache_affinity_key() if stage.streams else ""
        requirements = AttemptRequirements(
            self._expected_units(req, stage), slack_s, affinity_key
        )
        candidate = deps.routing.choose(requirements, candidates)
        endpoint = deps.pools.get(candidate.name)
        assert endpoint is not None, candidate
        return _EndpointSelection(endpoint, candidate.has_capacity)

    def _build_call(
        self,
        req: PipelineRequest,
        stage: Stage,
        body: bytes,
        attempt: int,
        remaining_s: float,
    ) -> StageCall:
        latency_target_at = req.started_at + req.class_of_work.target_ms / 1000
        slack_s = latency_target_at - self._deps.clock.monotonic()
        priority = int(_PRIORITY_STEPS_PER_S * slack_s)
        return StageCall(
            req.request_id,
            stage.name,
            attempt,
            req.team.name,
            body,
            remaining_s,
            min(max(priority, 0), _LOWEST_PRIORITY),
            req.idempotency_key,
        )

    def _expected_units(self, req: PipelineRequest, stage: Stage) -> float:
        is_last_stage = stage is req.pipeline.stages[-1]
        if is_last_stage and req.expected_bytes:
            return req.expected_bytes
        return self._deps.class_statistics.expected_units(
            req.class_of_work.name, stage.name
        )

    def _record_endpoint_report(
        self, endpoint: Endpoint, report: EndpointReport
    ) -> None:
        self._deps.endpoint_statuses.observe(endpoint.name, report)
        if report.load is not None:
            self._deps.pools.loads.record_report(endpoint.name, report.load)

    def _record_success(
        self,
        req: PipelineRequest,
        stage: Stage,
        selection: _EndpointSelection,
        duration_s: float,
        output_bytes: int,
    ) -> None:
        deps, endpoint = self._deps, selection.endpoint
        stats = deps.stats.stage_stats(stage.name)
        stats.busy_s += duration_s
        stats.bytes_out += output_bytes
        stats.cross_region_bytes += deps.pools.cross_region_bytes(
            endpoint, output_bytes
        )
        units = float(max(output_bytes, 1))
        deps.class_statistics.record_units(req.class_of_work.name, stage.name, units)
        deps.pools.loads.record_success(
            endpoint.name, duration_s, units, selection.had_capacity
        )
        deps.metrics.observe_latency(
            "stage_seconds", duration_s, stage=stage.name, work=req.class_of_work.name
        )
        if deps.pools.loads.eject_if_slow(
            endpoint.name, deps.pools.endpoint_names(stage.pool)
        ):
            deps.timeline.record("endpoint_ejected", endpoint.name, "slow")

    def _record_failure(
        self,
        stage: Stage,
        endpoint: Endpoint,
        call_outcome: NotSent | Refused | Lost | TimedOut,
    ) -> None:
        deps = self._deps
        deps.metrics.count(
            "attempt_failures_total",
            stage=stage.name,
            failure=_classify_failure(call_outcome).value,
        )
        if isinstance(call_outcome, Refused):
            return
        if deps.pools.loads.record_failure(
            endpoint.name, deps.pools.endpoint_names(stage.pool)
        ):
            deps.timeline.record("endpoint_ejected", endpoint.name, call_outcome.detail)

    def _build_not_run_or_failed(
        self, req: PipelineRequest, reason: Reason, detail: str
    ) -> Outcome:
        """Build the outcome of a request that has no attempt in flight.

        `NotRun` guarantees that no byte of the request was sent to an endpoint.
        """
        if not req.was_sent:
            return NotRun(reason, detail)
        return Failed(reason, detail)

    def _build_give_up_outcome(
        self, req: PipelineRequest, call_outcome: NotSent | Refused | Lost | TimedOut
    ) -> Outcome:
        if isinstance(call_outcome, Refused) and not call_outcome.is_busy:
            return Failed(Reason.ENDPOINT_REFUSED, call_outcome.detail)
        reason = Reason.ENDPOINT_FAILED
        if isinstance(call_outcome, TimedOut):
            reason = Reason.DEADLINE
        return self._build_not_run_or_failed(req, reason, call_outcome.detail)

    def _build_single_attempt_outcome(
        self, req: PipelineRequest, call_outcome: NotSent | Refused | Lost | TimedOut
    ) -> Outcome:
        """Build the outcome of a failed attempt at a stage that is not idempotent."""
        if isinstance(call_outcome, NotSent):
            return self._build_not_run_or_failed(
                req, Reason.ENDPOINT_FAILED, call_outcome.detail
            )
        if isinstance(call_outcome, Refused):
            return Failed(Reason.ENDPOINT_REFUSED, call_outcome.detail)
        return Unknown(Reason.CONNECTION_LOST, call_outcome.detail)


@dataclass(frozen=True, slots=True)
class _EndpointSelection:
    """Endpoint of an attempt, and whether it had free capacity when selected."""

    endpoint: Endpoint
    had_capacity: bool


@dataclass(frozen=True, slots=True)
class _Success(Generic[ResponseT]):
    response: ResponseT
    selection: _EndpointSelection


def _classify_failure(
    call_outcome: NotSent | Refused | Lost | TimedOut,
) -> AttemptFailure:
    if isinstance(call_outcome, NotSent):
        return AttemptFailure.NOT_SENT
    if isinstance(call_outcome, Refused):
        return AttemptFailure.BUSY if call_outcome.is_busy else AttemptFailure.REJECTED
    if isinstance(call_outcome, Lost):
        return AttemptFailure.LOST
    return AttemptFailure.TIMED_OUT
