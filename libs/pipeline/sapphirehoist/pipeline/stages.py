"""Runs one stage: chooses endpoints, makes attempts, learns from their ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import Endpoint, Stage
from sapphirehoist.decisions import (
    Action,
    ClassTargets,
    Failure,
    RetryPolicy,
    Route,
    RoutingPolicy,
)
from sapphirehoist.endpoints import (
    Answered,
    EndpointClient,
    EndpointSigns,
    EndpointStanding,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    TimedOut,
)
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.outcomes import Failed, NotRun, Outcome, Reason, Unknown
from sapphirehoist.pipeline.accounts import Accounts
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import WorkRequest

_SLACK_UNITS_PER_S = 10
_LOWEST_PRIORITY = 99

A = TypeVar("A", Answered, Stream)


@dataclass(frozen=True, slots=True)
class StageDone:
    """The output of a stage and the endpoint that made it."""

    body: bytes
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class StageOpened:
    """An open stream of the last stage.

    Attributes
    ----------
    stream, endpoint : Stream, Endpoint
        The stream and the engine that makes it.
    had_room : bool
        Whether the call was expected to run at once.
    """

    stream: Stream
    endpoint: Endpoint
    had_room: bool


@dataclass(frozen=True, slots=True)
class StageParts:
    """What stages are run with."""

    client: EndpointClient
    pools: EndpointPools
    standing: EndpointStanding
    routing: RoutingPolicy
    retry: RetryPolicy
    targets: ClassTargets
    accounts: Accounts
    clock: Clock
    metrics: Metrics
    timeline: Timeline


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted time of a request, in seconds, with and without queueing."""

    loaded_s: float
    unloaded_s: float


class StageRunner:
    """Runs stages of requests.

    Parameters
    ----------
    parts : StageParts
        Clients, knowledge and policies.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: StageParts) -> None:
        self._parts = parts

    def call(self, req: WorkRequest, stage: Stage, body: bytes) -> StageDone | Outcome:
        """Run a stage to its whole answer."""
        client = self._parts.client
        ended = self._attempt(req, stage, body, client.call)
        if isinstance(ended, _Succeeded):
            return StageDone(ended.answer.body, ended.chosen.endpoint)
        return ended

    def open_stream(
        self, req: WorkRequest, stage: Stage, body: bytes
    ) -> StageOpened | Outcome:
        """Run a stage until its stream is open."""
        client = self._parts.client
        ended = self._attempt(req, stage, body, client.open_stream)
        if isinstance(ended, _Succeeded):
            return StageOpened(
                ended.answer, ended.chosen.endpoint, ended.chosen.had_room
            )
        return ended

    def learn_stream_end(
        self,
        req: WorkRequest,
        stage: Stage,
        opened: StageOpened,
        seconds: float,
        size: int,
        tokens: int,
    ) -> None:
        """Learn from a stream that ended; it was in flight until now."""
        self._parts.pools.loads.end(opened.endpoint.name)
        self._parts.accounts.of_stage(stage.name).tokens += tokens
        if size:
            chosen = _Chosen(opened.endpoint, opened.had_room)
            self._learn_success(req, stage, chosen, seconds, size)

    def predict(self, req: WorkRequest, urgent_share: float) -> Prediction:
        """Predict the time of all stages.

        Parameters
        ----------
        req : WorkRequest
            The request.
        urgent_share : float
            Part of the work under way that engines serve before this request.
        """
        loaded_s = unloaded_s = 0.0
        for stage in req.pipeline.stages:
            units = self._units(req, stage)
            known = self._parts.pools.known_candidates(stage.pool)
            if known:
                loaded_s += min(c.predicted_s(units, urgent_share) for c in known)
                unloaded_s += min(c.seconds_per_unit for c in known) * units
        return Prediction(loaded_s, unloaded_s)

    def _attempt(
        self,
        req: WorkRequest,
        stage: Stage,
        body: bytes,
        send: Callable[[Endpoint, StageCall], A | NotSent | Refused | Lost | TimedOut],
    ) -> _Succeeded[A] | Outcome:
        """Make attempts until one succeeds or the policy gives up."""
        tried: set[str] = set()
        may_repeat = self._parts.pools.may_repeat(stage.pool, stage.name)
        attempt = 0
        while True:
            attempt += 1
            remaining_s = req.deadline - self._parts.clock.monotonic()
            if remaining_s <= 0:
                return self._end_unanswered(req, Reason.DEADLINE, "the deadline passed")
            chosen = self._choose(req, stage, tried)
            if chosen is None:
                detail = (
                    f"stage {stage.name}: no endpoint of pool {stage.pool!r} is left"
                )
                return self._end_unanswered(req, Reason.NO_ENDPOINT, detail)
            if not may_repeat and req.may_send is not None and not req.may_send():
                detail = f"stage {stage.name}: the claim is too old to send"
                return self._end_unanswered(req, Reason.CLAIM_EXPIRED, detail)
            call = self._call_of(req, stage, body, attempt, remaining_s)
            answer = self._send(req, stage, chosen, call, send)
            if isinstance(answer, Answered | Stream):
                self._parts.retry.count_success()
                return _Succeeded(answer, chosen)
            self._learn_failure(stage, chosen.endpoint, answer)
            failure = _failure_of(answer)
            if not may_repeat:
                return self._end_unrepeatable(req, answer)
            if self._parts.retry.decide(failure, attempt) is Action.GIVE_UP:
                return self._give_up(req, answer)
            tried.add(chosen.endpoint.name)
            self._parts.accounts.of_stage(stage.name).retries += 1
            self._parts.metrics.count(
                "retries_total", stage=stage.name, failure=failure.value
            )

    def _send(
        self,
        req: WorkRequest,
        stage: Stage,
        chosen: _Chosen,
        call: StageCall,
        send: Callable[[Endpoint, StageCall], A | NotSent | Refused | Lost | TimedOut],
    ) -> A | NotSent | Refused | Lost | TimedOut:
        parts, endpoint = self._parts, chosen.endpoint
        account = parts.accounts.of_stage(stage.name)
        account.calls += 1
        parts.pools.loads.begin(endpoint.name)
        started = parts.clock.monotonic()
        was_sent_before = req.was_sent
        req.was_sent = True
        answer = send(endpoint, call)
        seconds = parts.clock.monotonic() - started
        if isinstance(answer, NotSent):
            req.was_sent = was_sent_before
        if not isinstance(answer, Stream):
            parts.pools.loads.end(endpoint.name)
        if isinstance(answer, Answered):
            account.tokens += answer.signs.tokens
            self._learn_success(req, stage, chosen, seconds, len(answer.body))
        if not isinstance(answer, NotSent):
            account.cross_region_bytes += parts.pools.cross_region_bytes(
                endpoint, len(call.body)
            )
        if isinstance(answer, Answered | Stream | Refused):
            self._observe_signs(endpoint, answer.signs)
        return answer

    def _choose(
        self, req: WorkRequest, stage: Stage, tried: set[str]
    ) -> _Chosen | None:
        parts = self._parts
        candidates = parts.pools.candidates(stage.pool, tried)
        if not candidates:
            return None
        used_s = parts.clock.monotonic() - req.started_at
        slack_s = max(0.0, req.work.target_ms / 1000 - used_s)
        prefix = req.prefix() if stage.streams else ""
        route = Route(self._units(req, stage), slack_s, prefix)
        candidate = parts.routing.choose(route, candidates)
        endpoint = parts.pools.get(candidate.name)
        assert endpoint is not None, candidate
        return _Chosen(endpoint, candidate.has_room)

    def _call_of(
        self,
        req: WorkRequest,
        stage: Stage,
        body: bytes,
        attempt: int,
        remaining_s: float,
    ) -> StageCall:
        due = req.started_at + req.work.target_ms / 1000
        slack_s = due - self._parts.clock.monotonic()
        priority = int(_SLACK_UNITS_PER_S * slack_s)
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

    def _units(self, req: WorkRequest, stage: Stage) -> float:
        is_last = stage is req.pipeline.stages[-1]
        if is_last and req.units:
            return req.units
        return self._parts.targets.expected_units(req.work.name, stage.name)

    def _observe_signs(self, endpoint: Endpoint, signs: EndpointSigns) -> None:
        self._parts.standing.observe(endpoint.name, signs)
        if signs.load is not None:
            self._parts.pools.loads.report(endpoint.name, signs.load)

    def _learn_success(
        self,
        req: WorkRequest,
        stage: Stage,
        chosen: _Chosen,
        seconds: float,
        size: int,
    ) -> None:
        parts, endpoint = self._parts, chosen.endpoint
        account = parts.accounts.of_stage(stage.name)
        account.busy_s += seconds
        account.bytes_out += size
        account.cross_region_bytes += parts.pools.cross_region_bytes(endpoint, size)
        units = float(max(size, 1))
        parts.targets.observe_units(req.work.name, stage.name, units)
        parts.pools.loads.succeed(endpoint.name, seconds, units, chosen.had_room)
        parts.metrics.observe_latency(
            "stage_seconds", seconds, stage=stage.name, work=req.work.name
        )
        if parts.pools.loads.eject_if_slow(
            endpoint.name, parts.pools.names(stage.pool)
        ):
            parts.timeline.record("endpoint_ejected", endpoint.name, "slow")

    def _learn_failure(
        self,
        stage: Stage,
        endpoint: Endpoint,
        answer: NotSent | Refused | Lost | TimedOut,
    ) -> None:
        parts = self._parts
        parts.metrics.count(
            "attempt_failures_total",
            stage=stage.name,
            failure=_failure_of(answer).value,
        )
        if isinstance(answer, Refused):
            return
        if parts.pools.loads.fail(endpoint.name, parts.pools.names(stage.pool)):
            parts.timeline.record("endpoint_ejected", endpoint.name, answer.detail)

    def _end_unanswered(self, req: WorkRequest, reason: Reason, detail: str) -> Outcome:
        """End a request that no attempt is under way for."""
        if not req.was_sent:
            return NotRun(reason, detail)
        return Failed(reason, detail)

    def _give_up(
        self, req: WorkRequest, answer: NotSent | Refused | Lost | TimedOut
    ) -> Outcome:
        if isinstance(answer, Refused) and not answer.is_busy:
            return Failed(Reason.ENDPOINT_REFUSED, answer.detail)
        reason = Reason.ENDPOINT_FAILED
        if isinstance(answer, TimedOut):
            reason = Reason.DEADLINE
        return self._end_unanswered(req, reason, answer.detail)

    def _end_unrepeatable(
        self, req: WorkRequest, answer: NotSent | Refused | Lost | TimedOut
    ) -> Outcome:
        """End a request whose only attempt may not be repeated."""
        if isinstance(answer, NotSent):
            return self._end_unanswered(req, Reason.ENDPOINT_FAILED, answer.detail)
        if isinstance(answer, Refused):
            return Failed(Reason.ENDPOINT_REFUSED, answer.detail)
        return Unknown(Reason.CONNECTION_LOST, answer.detail)


@dataclass(frozen=True, slots=True)
class _Chosen:
    """The endpoint of an attempt, and whether the call should run at once there."""

    endpoint: Endpoint
    had_room: bool


@dataclass(frozen=True, slots=True)
class _Succeeded(Generic[A]):
    answer: A
    chosen: _Chosen


def _failure_of(answer: NotSent | Refused | Lost | TimedOut) -> Failure:
    if isinstance(answer, NotSent):
        return Failure.NOT_SENT
    if isinstance(answer, Refused):
        return Failure.BUSY if answer.is_busy else Failure.REJECTED
    if isinstance(answer, Lost):
        return Failure.LOST
    return Failure.TIMED_OUT
