"""Handles a caller's request, from its head to the final response."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    CallerTimeouts,
    ForecastCorrection,
    MemoryBudget,
    SharedRetryBudget,
)
from sapphirehoist.gateway.active_requests import ActiveRequests
from sapphirehoist.gateway.buffered_relay import ResponseBuffer, ResponseCut
from sapphirehoist.gateway.codec import CallCodec, DecodeFailure, RequestMetadata
from sapphirehoist.gateway.dispatch import Dispatcher
from sapphirehoist.gateway.endpoint_chooser import EndpointChooser
from sapphirehoist.gateway.error_response import (
    ErrorReason,
    ErrorResponse,
    stopping_error,
)
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.request_checks import RequestChecks
from sapphirehoist.gateway.request_context import (
    Delivered,
    DispatchOutcome,
    EndpointFailure,
    InputsGone,
    RequestContext,
    RequestProgress,
    TruncatedResponse,
)
from sapphirehoist.gateway.stage_admission import StageAdmission, StageRefusal
from sapphirehoist.gateway.stage_forecast import Forecast
from sapphirehoist.gateway.stage_runner import StageRunner, StagesFailure
from sapphirehoist.gateway.stage_scheduler import StageScheduler
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.http1 import CallerDisconnected, CallerRequest, Exchange
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import (
    Route,
    RouteTable,
    Service,
    Team,
    allowed_regions,
    pick_service,
)

# Time reserved for the response to reach the caller before its deadline.
_RESPONSE_MARGIN_S = 0.03
# A node receives the configuration within about this time.
_NO_CONFIGURATION_RETRY_AFTER_S = 0.5
# Sent if a stage failed, and the minimum for overloaded stages: overloaded stage pools
# complete a few calls within this time.
_STAGES_RETRY_AFTER_S = 0.5
# Share of the remaining time that the forecast time to the first token may take.
_FORECAST_TIME_SHARE = 0.7
# Upper bound of the random increase of ``Retry-After``, as a share of its value.
_RETRY_JITTER = 0.5
# Number of times that the stages of one request may be run again.
_MAX_INPUT_REBUILDS = 1

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _ResolvedRequest:
    """A request whose route, service and team are known."""

    metadata: RequestMetadata
    route: Route
    service: Service
    team: Team | None
    config_version: int


class RequestHandler:
    """Responds to callers' requests.

    Parameters
    ----------
    current_routes : callable
        Returns the route table in force; None while there is none.
    codec : CallCodec
        Decodes requests.
    checks : RequestChecks
        Refuses requests that may not be sent.
    chooser : EndpointChooser
        Chooses endpoints.
    dispatcher : Dispatcher
        Sends requests to endpoints.
    stage_scheduler : StageScheduler
        Computes the pieces of stages.
    stage_admission : StageAdmission or None
        Asks the owners of stage endpoints for places; None to admit by the forecast of
        this node.
    retry_budget : SharedRetryBudget
        Counts requests; the number of retries allowed is proportional to them.
    is_rejecting : callable
        Returns whether the node is shutting down and accepts no more requests.
    clock : Clock
        Monotonic time.
    random : Random
        Source of the retry jitter.
    metrics : Metrics
        Receives the counter ``requests_total`` and the latency ``request_seconds``.
    memory : MemoryBudget or None
        Memory for responses that callers read slowly; None to buffer none.

    Attributes
    ----------
    in_flight_count : int
        Number of requests without a final response.
    """

    __slots__ = (
        "_active_requests",
        "_caller_timeouts",
        "_checks",
        "_chooser",
        "_clock",
        "_codec",
        "_current_routes",
        "_dispatcher",
        "_forecast_correction",
        "_is_rejecting",
        "_memory",
        "_metrics",
        "_random",
        "_retry_budget",
        "_stage_admission",
        "_stage_scheduler",
        "in_flight_count",
    )

    def __init__(
        self,
        current_routes: Callable[[], RouteTable | None],
        codec: CallCodec,
        checks: RequestChecks,
        chooser: EndpointChooser,
        dispatcher: Dispatcher,
        stage_scheduler: StageScheduler,
        stage_admission: StageAdmission | None,
        retry_budget: SharedRetryBudget,
        is_rejecting: Callable[[], bool],
        clock: Clock,
        random: Random,
        metrics: Metrics,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._current_routes = current_routes
        self._codec = codec
        self._checks = checks
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._stage_scheduler = stage_scheduler
        self._stage_admission = stage_admission
        self._retry_budget = retry_budget
        self._is_rejecting = is_rejecting
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._memory = memory
        self._forecast_correction = ForecastCorrection()
        self._caller_timeouts = CallerTimeouts()
        self._active_requests = ActiveRequests()
        self.in_flight_count = 0

    def begin_stopping(self, stop_at: float) -> None:
        """Refuse what cannot be answered by the monotonic time `stop_at`."""
        self._active_requests.stop_at = stop_at

    def answer_waiting_requests(self) -> None:
        """Respond now to all requests whose response has not begun."""
        self._active_requests.expire_unanswered()

    def __call__(self, request: CallerRequest, exchange: Exchange) -> None:
        """Process one request and finish its response."""
        trace = RequestTrace(self._clock, request.first_byte_at)
        self.in_flight_count += 1
        buffer: ResponseBuffer | None = None
        if self._memory is not None:
            buffer = ResponseBuffer(exchange, self._memory, self._metrics)
            exchange.write_through(buffer)
        try:
            outcome = self._process(request, exchange, trace, buffer)
            self._finish_response(outcome, exchange, trace)
        except ResponseCut as exc:
            self._finish_response(_cut_outcome(exc, exchange), exchange, trace)
        except CallerDisconnected:
            trace.log_outcome("caller_left", 0)
            self._metrics.count("requests_total", outcome="caller_left")
            raise
        except OSError as exc:
            trace.log_outcome("caller_unreachable", 0, str(exc))
            self._metrics.count("requests_total", outcome="caller_unreachable")
            raise
        except Exception:
            # An unexpected exception must not leave the caller without a response.
            _logger.exception(
                "unhandled exception while processing a request",
                extra={"request_id": trace.request_id},
            )
            error = ErrorResponse(ErrorReason.INTERNAL, "a fault of this node")
            is_begun = exchange.has_begun
            self._finish_response(
                TruncatedResponse("fault") if is_begun else error, exchange, trace
            )
        finally:
            if buffer is not None:
                buffer.close()
            self.in_flight_count -= 1

    def _process(
        self,
        request: CallerRequest,
        exchange: Exchange,
        trace: RequestTrace,
        buffer: ResponseBuffer | None,
    ) -> DispatchOutcome:
        """Resolve and dispatch a request within its time limit."""
        resolved = self._resolve_request(request, trace)
        if isinstance(resolved, ErrorResponse):
            return resolved
        context = self._request_context(request, resolved)
        self._retry_budget.record_request(context.service.name)
        timeout = gevent.Timeout(
            max(0.001, context.time_limit_at - self._clock.monotonic())
        )
        relay = EventRelay(exchange, context.metadata.last_event_id)
        progress = RequestProgress(relay, buffer)
        if buffer is not None:
            buffer.request_id = trace.request_id
        timeout.start()
        active_request = self._active_requests.add(timeout, exchange)
        try:
            error = self._checks.check_homes(
                context, [context.service.name]
            ) or self._checks.bind_stream(context, progress)
            if error is not None:
                return error
            return self._dispatch_with_stages(context, progress, exchange, trace)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return self._timeout_outcome(progress, exchange)
        finally:
            self._active_requests.remove(active_request)
            timeout.close()

    def _timeout_outcome(
        self, progress: RequestProgress, exchange: Exchange
    ) -> DispatchOutcome:
        """Return the outcome of a request whose time limit has passed."""
        if exchange.has_begun:
            return TruncatedResponse("no time left for the rest of the answer")
        if progress.may_have_run or progress.is_attempt_in_flight:
            return ErrorResponse(ErrorReason.TIMEOUT, "no answer in time")
        if self._active_requests.stop_at is not None:
            return stopping_error("not run in time")
        return ErrorResponse(ErrorReason.TIMEOUT_NOT_RUN, "not run in time", 0.1)

    def _resolve_request(
        self, request: CallerRequest, trace: RequestTrace
    ) -> _ResolvedRequest | ErrorResponse:
        """Look up the route, service and team, or return the error response."""
        if self._is_rejecting():
            return stopping_error("accepts no more requests")
        routes = self._current_routes()
        if routes is None:
            return ErrorResponse(
                ErrorReason.NO_CONFIGURATION,
                "none yet",
                _NO_CONFIGURATION_RETRY_AFTER_S,
            )
        trace.config_version = routes.version
        metadata = self._codec.decode_request(request.head)
        if isinstance(metadata, DecodeFailure):
            return ErrorResponse(ErrorReason.BAD_REQUEST, metadata.detail)
        trace.request_id = metadata.request_id
        trace.resumed_request_id = metadata.resumed_request_id
        if metadata.generation is not None:
            trace.prompt_parts = tuple(
                part.name for part in metadata.generation.prompt_parts
            )
        route = routes.match(metadata.host, request.head.path)
        if route is None:
            return ErrorResponse(
                ErrorReason.NO_ROUTE, f"{metadata.host} {request.head.path}"
            )
        trace.route = route.name
        team = routes.get_team(metadata.api_key) if metadata.api_key else None
        if routes.has_teams and not route.is_public and team is None:
            return ErrorResponse(ErrorReason.UNKNOWN_KEY, "no team has this key")
        trace.team = team.name if team is not None else ""
        service = routes.get_service(pick_service(route, metadata.stream_id))
        if service is None:
            return ErrorResponse(
                ErrorReason.NO_ENDPOINT, "the route names no service", 1.0
            )
        trace.service = service.name
        return _ResolvedRequest(metadata, route, service, team, routes.version)

    def _request_context(
        self, request: CallerRequest, resolved: _ResolvedRequest
    ) -> RequestContext:
        """Determine the priority and the time limits of a request.

        The latency target applies from the caller's first attempt, so the estimated
        time since then is subtracted.
        """
        metadata, route, team = resolved.metadata, resolved.route, resolved.team
        deadline_s = (
            route.timeout_s if metadata.deadline_s is None else metadata.deadline_s
        )
        limit_s = min(deadline_s - _RESPONSE_MARGIN_S, route.timeout_s)
        elapsed_s = self._caller_timeouts.elapsed_s(route.name, deadline_s)
        time_limit_at = request.first_byte_at + limit_s
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return RequestContext(
            request,
            metadata,
            route,
            resolved.service,
            team.name if team is not None and not route.is_public else "",
            priority,
            self._active_requests.limit(time_limit_at),
            request.first_byte_at + deadline_s,
            request.first_byte_at + route.latency_target_s - elapsed_s,
            request.first_byte_at + min(limit_s, _first_byte_limit_s(route)),
            allowed_regions(route, team),
            elapsed_s > 0.0,
            time_limit_at,
            self._active_requests.limit,
        )

    def _dispatch_with_stages(
        self,
        context: RequestContext,
        progress: RequestProgress,
        exchange: Exchange,
        trace: RequestTrace,
    ) -> DispatchOutcome:
        """Dispatch a request, after its stages if the route has any."""
        if not context.route.stages:
            return self._dispatcher.run(context, None, progress, exchange, trace)
        stage_runner = StageRunner(
            context.metadata,
            context.route,
            context.first_byte_limit_at,
            context.latency_target_at,
            context.priority,
            self._stage_scheduler,
            self._forecast_correction,
            self._clock,
            self._chooser.expected_zone(context),
            context.allowed_regions,
            self._active_requests.limit,
        )
        trace.piece_count = stage_runner.piece_count
        error = self._check_stage_capacity(stage_runner, context, trace)
        if error is not None:
            # Some owners may have promised places before the forecast decided.
            stage_runner.release()
            return error
        for service in stage_runner.services_used():
            self._retry_budget.record_request(service)
        try:
            return self._run_stages(stage_runner, context, progress, exchange, trace)
        finally:
            stage_runner.release()

    def _check_stage_capacity(
        self, stage_runner: StageRunner, context: RequestContext, trace: RequestTrace
    ) -> ErrorResponse | None:
        """Return an error response if the stages would be in vain or take too long.

        A request that is forecast to meet its latency target is always accepted.
        """
        error = self._checks.check_quarantine(context) or self._checks.check_homes(
            context, sorted(stage_runner.services_used())
        )
        if error is not None:
            return error
        forecast = stage_runner.forecast()
        error = self._check_stop(forecast, context) or self._checks.check_backoff(
            context.service,
            forecast.on_time_s,
            allowed_regions=context.allowed_regions,
        )
        if error is not None:
            return error
        if self._stage_admission is not None:
            admission = self._stage_admission.request(context, stage_runner.needs())
            if isinstance(admission, StageRefusal):
                return ErrorResponse(
                    ErrorReason.OVERLOADED,
                    admission.detail,
                    admission.retry_after_s,
                    is_return_scheduled=True,
                )
            stage_runner.follow(admission)
            if admission.is_complete:
                trace.forecast_s = admission.expected_s
                return None
        return self._check_forecast(forecast, context, trace)

    def _check_stop(
        self, forecast: Forecast, context: RequestContext
    ) -> ErrorResponse | None:
        """Return an error response if this node is forecast to stop before the end."""
        stages_s = forecast.on_time_s * self._forecast_correction.factor(
            context.route.name
        )
        return self._checks.check_stop(context, stages_s)

    def _check_forecast(
        self, forecast: Forecast, context: RequestContext, trace: RequestTrace
    ) -> ErrorResponse | None:
        """Return an error response if the forecast is too long.

        It decides where owners are not asked or do not reply: it knows their backlogs
        of some seconds ago only.
        """
        correction_factor = self._forecast_correction.factor(context.route.name)
        trace.forecast_s = forecast.on_time_s * correction_factor
        now = self._clock.monotonic()
        if now + forecast.on_time_s * correction_factor <= context.latency_target_at:
            return None
        remaining_s = context.first_byte_limit_at - now
        excess_s = (
            forecast.past_target_s * correction_factor
            - remaining_s * _FORECAST_TIME_SHARE
        )
        if excess_s <= 0.0:
            return None
        return ErrorResponse(
            ErrorReason.OVERLOADED,
            f"stages would take {forecast.past_target_s * correction_factor:.2f} s"
            f" of {remaining_s:.2f} s",
            min(max(excess_s, _STAGES_RETRY_AFTER_S), remaining_s / 3),
        )

    def _run_stages(
        self,
        stage_runner: StageRunner,
        context: RequestContext,
        progress: RequestProgress,
        exchange: Exchange,
        trace: RequestTrace,
    ) -> DispatchOutcome:
        """Run the stages and dispatch the request with their results.

        The stages run again if their results no longer exist at the dispatch.
        """
        for _ in range(_MAX_INPUT_REBUILDS + 1):
            started_at = self._clock.monotonic()
            if progress.relay.is_started:
                # The limit for the first bytes has no meaning any more.
                stage_runner.set_deadline(context.time_limit_at)
            failure = stage_runner.run()
            trace.stages_duration_s = self._clock.monotonic() - started_at
            trace.stage_end_times_s = dict(stage_runner.end_s_by_stage)
            if failure is not None:
                services = sorted(stage_runner.services_used())
                return self._stage_failure_outcome(
                    failure, progress, self._checks.check_homes(context, services)
                )
            plan = stage_runner.plan
            is_forecast = plan is None or not plan.is_complete
            if trace.forecast_s is not None and is_forecast:
                uncorrected_forecast_s = (
                    trace.forecast_s
                    / self._forecast_correction.factor(context.route.name)
                )
                self._forecast_correction.record_times(
                    context.route.name, uncorrected_forecast_s, trace.stages_duration_s
                )
            outcome = self._dispatcher.run(
                context, stage_runner, progress, exchange, trace
            )
            if not isinstance(outcome, InputsGone):
                return outcome
            stage_runner.release()
        return self._stage_failure_outcome(
            StagesFailure("results gone twice"), progress
        )

    def _stage_failure_outcome(
        self,
        failure: StagesFailure,
        progress: RequestProgress,
        home_error: ErrorResponse | None = None,
    ) -> DispatchOutcome:
        """Return the outcome of a request whose stage results are unavailable.

        `home_error` states that no endpoint of a stage is left in the home regions.
        """
        if progress.relay.is_started:
            return TruncatedResponse(failure.detail)
        if progress.may_have_run:
            return ErrorResponse(ErrorReason.ENDPOINT_LOST, failure.detail)
        if self._active_requests.stop_at is not None:
            return stopping_error(failure.detail)
        return home_error or ErrorResponse(
            ErrorReason.STAGE_FAILED, failure.detail, _STAGES_RETRY_AFTER_S
        )

    def _finish_response(
        self, outcome: DispatchOutcome, exchange: Exchange, trace: RequestTrace
    ) -> None:
        """Complete the response to the caller and record the outcome."""
        assert not isinstance(outcome, InputsGone)
        outcome_label, status, detail = "delivered", 200, ""
        if isinstance(outcome, Delivered):
            status = outcome.status
        elif isinstance(outcome, EndpointFailure):
            outcome_label, status = "endpoint_failure", outcome.head.status
            exchange.respond(outcome.head, outcome.body)
        elif isinstance(outcome, TruncatedResponse):
            outcome_label, status, detail = "cut_off", 0, outcome.detail
            exchange.abort()
        else:
            jittered = self._add_retry_jitter(outcome)
            outcome_label, status, detail = (
                jittered.reason.value,
                jittered.status,
                jittered.detail,
            )
            exchange.respond(jittered.head(), jittered.body())
        trace.log_outcome(outcome_label, status, detail)
        self._metrics.count("requests_total", outcome=outcome_label)
        self._metrics.observe_latency("request_seconds", trace.elapsed_s())

    def _add_retry_jitter(self, error: ErrorResponse) -> ErrorResponse:
        """Randomize ``Retry-After`` so that rejected callers do not retry together."""
        if error.retry_after_s is None or error.is_return_scheduled:
            return error
        factor = 1.0 + self._random.uniform(0.0, _RETRY_JITTER)
        return ErrorResponse(error.reason, error.detail, error.retry_after_s * factor)


def _cut_outcome(exc: ResponseCut, exchange: Exchange) -> DispatchOutcome:
    """Return the outcome of a request whose response was cut off for its caller."""
    if exchange.has_begun:
        return TruncatedResponse(str(exc))
    return ErrorResponse(ErrorReason.ENDPOINT_LOST, str(exc))


def _first_byte_limit_s(route: Route) -> float:
    """Return the time limit for the first bytes of a response, in seconds.

    A caller that has not received them by then abandons the response.
    """
    timeout_s = route.first_event_timeout_s
    return route.timeout_s if timeout_s is None else timeout_s - _RESPONSE_MARGIN_S
