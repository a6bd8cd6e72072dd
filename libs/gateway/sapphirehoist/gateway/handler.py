"""One caller's request, from its head to its final answer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    CallerPatience,
    ForecastCorrection,
    SharedRetryBudget,
)
from sapphirehoist.gateway.dialect import BadCall, Call, CallDialect
from sapphirehoist.gateway.dispatch import Dispatcher
from sapphirehoist.gateway.job import (
    CutOff,
    Delivered,
    DispatchOutcome,
    EndpointFailure,
    Job,
    Progress,
    RebuildInputs,
)
from sapphirehoist.gateway.refusals import Reason, Refusal
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.stage_pools import StagePools
from sapphirehoist.gateway.stage_runner import StageJob, StagesFailed
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.http1 import CallerLeft, CallerRequest, Exchange
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import Route, RouteTable, Service, Team, pick_service

# The answer has to cross the link to the caller before its deadline.
_ANSWER_MARGIN_S = 0.03
# A new configuration reaches a node within about this time.
_RETRY_CONFIGURATION_S = 0.5
# Callers go on to another node at once.
_RETRY_STOPPING_S = 0.02
# Stage pools that could not serve have worked off a few calls by then.
_RETRY_STAGES_S = 0.5
# Part of the time left that a forecast may fill.
_FORECAST_MARGIN = 0.7
# Returns are spread over this part of the time to come back.
_RETRY_SPREAD = 0.5
# Stages are made anew this often for one request.
_REBUILDS = 1

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _LetIn:
    """A request whose route, service and team are known."""

    call: Call
    route: Route
    service: Service
    team: Team | None
    version: int


class RequestHandler:
    """Answers every request of every caller.

    Parameters
    ----------
    table : callable
        Returns the configuration in force.
    dialect : CallDialect
        Decodes requests.
    dispatcher : Dispatcher
        Makes progress.
    stages : StagePools
        Makes pieces.
    budget : SharedRetryBudget
        Counts requests.
    is_refusing : callable
        Whether the node is about to stop and takes no more requests.
    clock, random, metrics : Clock, Random, Metrics
        Time, spread of returns, counters ``requests_total``.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_correction",
        "_dialect",
        "_dispatcher",
        "_is_refusing",
        "_metrics",
        "_patience",
        "_random",
        "_stages",
        "_table",
        "under_way",
    )

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        dialect: CallDialect,
        dispatcher: Dispatcher,
        stages: StagePools,
        budget: SharedRetryBudget,
        is_refusing: Callable[[], bool],
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._stages = stages
        self._budget = budget
        self._is_refusing = is_refusing
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._correction = ForecastCorrection()
        self._patience = CallerPatience()
        self.under_way = 0

    def __call__(self, request: CallerRequest, exchange: Exchange) -> None:
        """Answer one request."""
        trace = RequestTrace(self._clock, request.arrived)
        self.under_way += 1
        try:
            outcome = self._serve(request, exchange, trace)
            self._finish(outcome, exchange, trace)
        except CallerLeft:
            trace.log_end("caller_left", 0)
            self._metrics.count("requests_total", outcome="caller_left")
            raise
        except OSError as exc:
            trace.log_end("caller_unreachable", 0, str(exc))
            self._metrics.count("requests_total", outcome="caller_unreachable")
            raise
        except Exception:
            # A fault of this one request must not leave its caller without an end.
            _logger.exception("request failed", extra={"request_id": trace.request_id})
            refusal = Refusal(Reason.INTERNAL, "a fault of this node")
            is_begun = exchange.is_begun
            self._finish(CutOff("fault") if is_begun else refusal, exchange, trace)
        finally:
            self.under_way -= 1

    def _serve(
        self, request: CallerRequest, exchange: Exchange, trace: RequestTrace
    ) -> DispatchOutcome:
        let_in = self._let_in(request, trace)
        if isinstance(let_in, Refusal):
            return let_in
        job = self._job(request, let_in)
        self._budget.count_request(job.service.name)
        timeout = gevent.Timeout(max(0.001, job.limit_at - self._clock.monotonic()))
        relay = EventRelay(exchange, self._dialect.event_id, job.call.last_event)
        progress = Progress(relay)
        timeout.start()
        try:
            return self._run(job, progress, exchange, trace)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return self._timed_out(progress, exchange)
        finally:
            timeout.close()

    def _timed_out(self, progress: Progress, exchange: Exchange) -> DispatchOutcome:
        if exchange.is_begun:
            return CutOff("no time left for the rest of the answer")
        if progress.may_have_run or progress.is_under_way:
            return Refusal(Reason.TIMEOUT, "no answer in time")
        return Refusal(Reason.TIMEOUT_NOT_RUN, "not run in time", 0.1)

    def _let_in(self, request: CallerRequest, trace: RequestTrace) -> _LetIn | Refusal:
        """Look up everything that the request needs, or say why it is refused."""
        if self._is_refusing():
            return Refusal(Reason.STOPPING, "this node stops", _RETRY_STOPPING_S)
        table = self._table()
        if table is None:
            return Refusal(Reason.NO_CONFIGURATION, "none yet", _RETRY_CONFIGURATION_S)
        trace.config_version = table.version
        call = self._dialect.read_call(request.head)
        if isinstance(call, BadCall):
            return Refusal(Reason.BAD_REQUEST, call.detail)
        trace.request_id = call.request_id
        route = table.match(call.host, request.head.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, f"{call.host} {request.head.path}")
        trace.route = route.name
        team = table.team_of(call.key) if call.key else None
        if table.has_teams and not route.is_open and team is None:
            return Refusal(Reason.UNKNOWN_KEY, "no team has this key")
        trace.team = team.name if team is not None else ""
        service = table.service(pick_service(route, call.request_id))
        if service is None:
            return Refusal(Reason.NO_ENDPOINT, "the route names no service", 1.0)
        trace.service = service.name
        return _LetIn(call, route, service, team, table.version)

    def _job(self, request: CallerRequest, let_in: _LetIn) -> Job:
        call, route, team = let_in.call, let_in.route, let_in.team
        deadline_s = route.timeout_s if call.deadline_s is None else call.deadline_s
        limit_s = min(deadline_s - _ANSWER_MARGIN_S, route.timeout_s)
        elapsed_s = self._patience.elapsed_s(route.name, deadline_s)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return Job(
            request,
            call,
            route,
            let_in.service,
            team.name if team is not None and not route.is_open else "",
            priority,
            request.arrived + limit_s,
            request.arrived + deadline_s,
            request.arrived + route.target_s - elapsed_s,
            request.arrived + min(limit_s, _first_event_limit_s(route)),
        )

    def _run(
        self, job: Job, progress: Progress, exchange: Exchange, trace: RequestTrace
    ) -> DispatchOutcome:
        if not job.route.stages:
            return self._dispatcher.run(job, None, progress, exchange, trace)
        stages = StageJob(
            job.call,
            job.route,
            job.begin_by,
            job.target_at,
            job.priority,
            self._stages,
            self._correction,
            self._clock,
            self._dispatcher.expected_zone(job),
        )
        trace.pieces = stages.piece_count
        refusal = self._admit(stages, job, trace)
        if refusal is not None:
            return refusal
        for service in stages.services():
            self._budget.count_request(service)
        try:
            return self._run_stages(stages, job, progress, exchange, trace)
        finally:
            stages.release()

    def _admit(self, stages: StageJob, job: Job, trace: RequestTrace) -> Refusal | None:
        """Refuse at once what the stage pools cannot make in time."""
        forecast = stages.forecast()
        factor = self._correction.factor(job.route.name)
        trace.forecast_s = forecast.on_time_s * factor
        now = self._clock.monotonic()
        if now + forecast.on_time_s * factor <= job.target_at:
            return None
        left_s = job.begin_by - now
        wait_s = forecast.total_s * factor - left_s * _FORECAST_MARGIN
        if wait_s <= 0.0:
            return None
        return Refusal(
            Reason.OVERLOADED,
            f"stages would take {forecast.total_s * factor:.2f} s of {left_s:.2f} s",
            min(max(wait_s, _RETRY_STAGES_S), left_s / 3),
        )

    def _run_stages(
        self,
        stages: StageJob,
        job: Job,
        progress: Progress,
        exchange: Exchange,
        trace: RequestTrace,
    ) -> DispatchOutcome:
        for _ in range(_REBUILDS + 1):
            started = self._clock.monotonic()
            failed = stages.run()
            trace.stages_s = self._clock.monotonic() - started
            trace.stage_ends_s = dict(stages.ended_s)
            if failed is not None:
                return self._stages_failed(failed, progress)
            if trace.forecast_s is not None:
                forecast_s = trace.forecast_s / self._correction.factor(job.route.name)
                self._correction.observe(job.route.name, forecast_s, trace.stages_s)
            outcome = self._dispatcher.run(job, stages, progress, exchange, trace)
            if not isinstance(outcome, RebuildInputs):
                return outcome
            stages.release()
        return self._stages_failed(StagesFailed("results gone twice"), progress)

    def _stages_failed(
        self, failed: StagesFailed, progress: Progress
    ) -> DispatchOutcome:
        if progress.relay.is_begun:
            return CutOff(failed.detail)
        if progress.may_have_run:
            return Refusal(Reason.ENDPOINT_LOST, failed.detail)
        return Refusal(Reason.STAGE_FAILED, failed.detail, _RETRY_STAGES_S)

    def _finish(
        self, outcome: DispatchOutcome, exchange: Exchange, trace: RequestTrace
    ) -> None:
        """Answer what has not been answered, and log the end."""
        assert not isinstance(outcome, RebuildInputs)
        kind, status, detail = "delivered", 200, ""
        if isinstance(outcome, Delivered):
            status = outcome.status
        elif isinstance(outcome, EndpointFailure):
            kind, status = "endpoint_failure", outcome.head.status
            exchange.respond(outcome.head, outcome.body)
        elif isinstance(outcome, CutOff):
            kind, status, detail = "cut_off", 0, outcome.detail
            exchange.abort()
        else:
            spread = self._spread(outcome)
            kind, status, detail = spread.reason.value, spread.status, spread.detail
            exchange.respond(spread.head(), spread.body())
        trace.log_end(kind, status, detail)
        self._metrics.count("requests_total", outcome=kind)
        self._metrics.observe_latency("request_seconds", trace.elapsed_s())

    def _spread(self, refusal: Refusal) -> Refusal:
        """Spread the returns of callers that were refused together."""
        if refusal.retry_after_s is None:
            return refusal
        factor = 1.0 + self._random.uniform(0.0, _RETRY_SPREAD)
        return Refusal(refusal.reason, refusal.detail, refusal.retry_after_s * factor)


def _first_event_limit_s(route: Route) -> float:
    """Return how long the first bytes of an answer may take to be of use."""
    patience_s = route.first_event_patience_s
    return route.timeout_s if patience_s is None else patience_s - _ANSWER_MARGIN_S
