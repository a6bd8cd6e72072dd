"""Sends one request to endpoints, with retries, until its outcome is final."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    GenerationPlacement,
    PlacementCandidate,
    PlacementPolicy,
    PlacementRequest,
    SharedRetryBudget,
    is_request_trait,
    request_trait,
    stall_timeout_s,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.attempt_outcome import (
    OUTCOME_RULES,
    AttemptOutcome,
    NextAction,
    next_action,
)
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.codec import CallCodec, ForwardingMetadata, RequestMetadata
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.error_response import ErrorReason, ErrorResponse
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.request_context import (
    Delivered,
    DispatchOutcome,
    EndpointFailure,
    InputsGone,
    RequestContext,
    RequestProgress,
    StageInputs,
    TruncatedResponse,
)
from sapphirehoist.gateway.stream_origin_sync import StreamOriginSync
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.http1 import (
    EndpointConnectionPool,
    EndpointResponse,
    Exchange,
    Lost,
    NotSent,
    OutboundRequest,
    ResponseHead,
    TruncatedBody,
)
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import RequestKind, Service

_SUCCESS_STATUSES = range(200, 300)
# Status of an endpoint that did not run a request because a stage result is gone.
_STATUS_CONFLICT = 409
# Statuses that guarantee to a caller that its request was not executed.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Longest idle time of a connection that is reused for a non-idempotent request. The
# endpoint may close a connection that has been idle for longer while the request is
# being sent, and the request could not be retried after that.
_NON_IDEMPOTENT_MAX_IDLE_S = 0.5
# Share of the remaining time that an attempt may take if another one can follow it.
_ATTEMPT_TIMEOUT_SHARE = 0.45
_MIN_ATTEMPT_TIMEOUT_S = 0.3
# Another engine is tried if the first event of a resumable stream takes longer than
# this multiple of the route's latency target. The minimum applies if the target is
# short; the share of the remaining time limits both.
_FIRST_EVENT_TARGET_MULTIPLE = 1.5
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
# With less time remaining, an endpoint could not answer before the deadline.
_MIN_REMAINING_S = 0.02
_RETRY_AFTER_S = 0.25
# An engine that crashed is back after some seconds.
_VERSION_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """Outcome of an attempt, with the response that can be delivered, if any."""

    outcome: AttemptOutcome
    detail: str = ""
    head: ResponseHead | None = None
    body: bytes = b""


class Dispatcher:
    """Chooses endpoints, sends requests to them and applies `OUTCOME_RULES`.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Endpoints of each service, with their load.
    connections : EndpointConnectionPool
        Connection pool to endpoints.
    codec : CallCodec
        Encodes requests and decodes replies.
    retry_budget : SharedRetryBudget
        Limits retries.
    service_placement : PlacementPolicy
        Chooses an endpoint of a service without a model pool.
    generation_placement : GenerationPlacement
        Chooses an engine of a model pool.
    broadcast_prompt_parts : callable
        Schedules a broadcast to other nodes of the prompt parts that were sent to an
        engine.
    crash_quarantine : CrashQuarantineSync
        Learns which requests crash engines, and holds them back.
    stream_origins : StreamOriginSync
        Knows the software version that began a stream.
    clock : Clock
        Monotonic time.
    metrics : Metrics
        Receives the counters ``attempts_total`` and ``endpoint_ejections_total``.
    """

    __slots__ = (
        "_broadcast_prompt_parts",
        "_clock",
        "_codec",
        "_connections",
        "_endpoints",
        "_generation_placement",
        "_metrics",
        "_crash_quarantine",
        "_retry_budget",
        "_service_placement",
        "_stream_origins",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        connections: EndpointConnectionPool,
        codec: CallCodec,
        retry_budget: SharedRetryBudget,
        service_placement: PlacementPolicy,
        generation_placement: GenerationPlacement,
        broadcast_prompt_parts: Callable[[list[str], str], None],
        crash_quarantine: CrashQuarantineSync,
        stream_origins: StreamOriginSync,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._endpoints = endpoints
        self._connections = connections
        self._codec = codec
        self._retry_budget = retry_budget
        self._service_placement = service_placement
        self._generation_placement = generation_placement
        self._broadcast_prompt_parts = broadcast_prompt_parts
        self._crash_quarantine = crash_quarantine
        self._stream_origins = stream_origins
        self._clock = clock
        self._metrics = metrics

    def bind_stream(
        self, context: RequestContext, progress: RequestProgress
    ) -> ErrorResponse | None:
        """Bind a stream that the caller takes up to the version that began it.

        Return an error response if the stream cannot go on.
        """
        if not context.metadata.last_event_id or not context.is_resumable_stream:
            return None
        service = context.service.name
        origin = self._stream_origins.find(context.metadata.stream_id, service)
        if origin is None or origin.service != service:
            return ErrorResponse(
                ErrorReason.STREAM_NOT_RESUMABLE,
                "not known which software version began the stream",
                _RETRY_AFTER_S,
            )
        if not self._endpoints.is_version_in_service(service, origin.software_version):
            return ErrorResponse(
                ErrorReason.STREAM_NOT_RESUMABLE,
                f"no endpoint of software version {origin.software_version}",
                _VERSION_RETRY_AFTER_S,
            )
        progress.software_version = origin.software_version
        return None

    def run(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        progress: RequestProgress,
        exchange: Exchange,
        trace: RequestTrace,
    ) -> DispatchOutcome:
        """Make attempts until one of them is final or no further one is possible.

        Parameters
        ----------
        context : RequestContext
            The admitted request.
        inputs : StageInputs or None
            Stage results that the request needs; None for a route without stages.
        progress : RequestProgress
            State that is kept over all attempts; updated in place.
        exchange : Exchange
            Responds to the caller.
        trace : RequestTrace
            Collects the attempts for the log.

        Returns
        -------
        DispatchOutcome
            `InputsGone` if the stages have to run again before the next attempt.
        """
        last_result: _AttemptResult | None = None
        while True:
            error = self._check_attempt_allowed(context, progress)
            candidate = (
                None
                if error
                else self._choose_endpoint(
                    context, inputs, progress.tried_endpoints, progress.software_version
                )
            )
            if candidate is None:
                error = error or self.check_backoff(
                    context.service, software_version=progress.software_version
                )
                return self._failure_outcome(progress, last_result, error)
            if inputs is not None and inputs.is_released:
                return InputsGone()
            progress.tried_endpoints.add(candidate.name)
            record = self._endpoints.get_record(candidate.name)
            if record is None:
                continue
            last_result = self._make_attempt(
                context, inputs, record, candidate, progress, trace
            )
            action = next_action(last_result.outcome, context.route.is_idempotent)
            if action is NextAction.DELIVER:
                return self._deliver(last_result, progress.relay, exchange)
            if action is NextAction.REBUILD:
                return InputsGone()
            if action is NextAction.GIVE_UP:
                return self._failure_outcome(progress, last_result, None)

    def check_backoff(
        self,
        service: Service,
        available_in_s: float = 0.0,
        software_version: str | None = None,
    ) -> ErrorResponse | None:
        """Return an error response if all endpoints of `service` asked for a pause.

        A pause that ends within `available_in_s` is ignored. Only endpoints of
        `software_version` are considered, unless it is None.
        """
        backoff_s = self._endpoints.service_backoff_s(service.name, software_version)
        if backoff_s <= available_in_s:
            return None
        return ErrorResponse(
            ErrorReason.ENDPOINTS_FULL,
            f"every endpoint of {service.name} asked for a pause",
            backoff_s,
        )

    def check_quarantine(self, context: RequestContext) -> ErrorResponse | None:
        """Return an error response if the request may crash its engine."""
        if self._crash_quarantine.is_idle:
            return None
        hold = self._crash_quarantine.check(_traits(context))
        if hold is None:
            return None
        if is_request_trait(hold.trait):
            return ErrorResponse(
                ErrorReason.REQUEST_QUARANTINED,
                "endpoints crashed on copies of this request",
                hold.retry_after_s,
            )
        return ErrorResponse(
            ErrorReason.PROMPT_QUARANTINED,
            f"engines crashed on requests with the prompt part {hold.trait}",
            hold.retry_after_s,
        )

    def expected_zone(self, context: RequestContext) -> str:
        """Return the availability zone of the endpoint that would be chosen now.

        The result is empty if the service has no endpoint.
        """
        candidate = self._choose_endpoint(context, None, frozenset(), None)
        return candidate.zone if candidate is not None else ""

    def _make_attempt(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        candidate: PlacementCandidate,
        progress: RequestProgress,
        trace: RequestTrace,
    ) -> _AttemptResult:
        """Make one attempt and record its result."""
        if not progress.is_quarantine_trial and not self._crash_quarantine.is_idle:
            progress.is_quarantine_trial = self._crash_quarantine.begin_trial(
                _traits(context)
            )
        started_at = self._clock.monotonic()
        progress.is_attempt_in_flight = True
        progress.attempt_started_at = started_at
        result = self._send_request(context, inputs, record, progress, trace)
        progress.is_attempt_in_flight = False
        duration_s = self._clock.monotonic() - started_at
        if result.outcome is not AttemptOutcome.ANSWERED:
            trace.fingerprint = context.fingerprint()
        trace.record_attempt(
            record.name,
            record.software_version,
            result.outcome,
            duration_s,
            candidate.load,
            result.detail,
        )
        self._record_result(context, record, result, duration_s, candidate)
        if result.outcome is not AttemptOutcome.NOT_SENT:
            progress.send_count += 1
        progress.may_have_run |= OUTCOME_RULES[result.outcome].may_have_run
        if result.outcome is AttemptOutcome.BROKEN:
            progress.streamed_head = progress.streamed_head or result.head
        return result

    def _check_attempt_allowed(
        self, context: RequestContext, progress: RequestProgress
    ) -> ErrorResponse | None:
        """Return an error response if no further attempt is allowed, else None."""
        if context.response_limit_at - self._clock.monotonic() < _MIN_REMAINING_S:
            return ErrorResponse(
                ErrorReason.TIMEOUT_NOT_RUN, "no time left for an attempt"
            )
        if not progress.is_quarantine_trial or progress.may_have_run:
            error = self.check_quarantine(context)
            if error is not None:
                return error
        if progress.send_count >= max(1, context.route.max_attempts):
            return ErrorResponse(ErrorReason.ENDPOINTS_FULL, "no attempt left")
        if progress.send_count and not self._retry_budget.try_acquire(
            context.service.name
        ):
            return ErrorResponse(
                ErrorReason.ENDPOINTS_FULL, "no repeat left in the budget"
            )
        return None

    def _choose_endpoint(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        tried_endpoints: Collection[str],
        software_version: str | None,
    ) -> PlacementCandidate | None:
        candidates = self._endpoints.candidates(
            context.service, tried_endpoints, software_version
        )
        if not candidates:
            return None
        policy = (
            self._generation_placement
            if context.service.model_engine_spec
            else self._service_placement
        )
        return policy.choose(self._placement_request(context, inputs), candidates)

    def _placement_request(
        self, context: RequestContext, inputs: StageInputs | None
    ) -> PlacementRequest:
        generation = context.metadata.generation
        return PlacementRequest(
            context.route.latency_target_s / 4,
            generation.prompt_parts if generation is not None else (),
            inputs.bytes_by_zone() if inputs is not None else {},
        )

    def _begin_prefill(
        self, context: RequestContext, inputs: StageInputs | None, endpoint: str
    ) -> int:
        """Account for a prompt at its engine; return its pending prefill tokens."""
        if context.metadata.generation is None:
            return 0
        placement_request = self._placement_request(context, inputs)
        pending_tokens = self._generation_placement.uncached_tokens(
            placement_request, endpoint
        )
        self._endpoints.begin_prefill(endpoint, pending_tokens)
        for part in placement_request.prompt_parts:
            self._generation_placement.record_prompt_part(part.name, endpoint)
        self._broadcast_prompt_parts(
            [part.name for part in placement_request.prompt_parts], endpoint
        )
        return pending_tokens

    def _send_request(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        progress: RequestProgress,
        trace: RequestTrace,
    ) -> _AttemptResult:
        """Send the request to one endpoint and read or relay its reply."""
        relay = progress.relay
        outbound = self._outbound_request(context, inputs, record, relay.last_event_id)
        generation = context.metadata.generation
        token_count = 0
        if generation is not None:
            token_count = generation.prompt_tokens + generation.output_tokens
        self._endpoints.record_send(record)
        self._endpoints.loads.begin_call(record.name)
        self._endpoints.begin_generation(record.name, token_count)
        progress.pending_prefill_tokens = self._begin_prefill(
            context, inputs, record.name
        )
        reply: EndpointResponse | NotSent | Lost | None = None
        attempt_timeout_s = self._attempt_timeout_s(context, progress)
        timeout = gevent.Timeout(attempt_timeout_s)
        timeout.start()
        try:
            reply = self._connections.call(
                record.address,
                outbound,
                lambda reply_head, is_reused: self._is_reply_to(
                    reply_head, is_reused, context.metadata
                ),
                None if context.route.is_idempotent else _NON_IDEMPOTENT_MAX_IDLE_S,
            )
            if isinstance(reply, NotSent):
                return _AttemptResult(AttemptOutcome.NOT_SENT, reply.detail)
            if isinstance(reply, Lost):
                return _AttemptResult(AttemptOutcome.LOST, reply.detail)
            return self._read_reply(
                context, record, reply, inputs, progress, timeout, trace
            )
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            detail = f"{record.address}: nothing for {attempt_timeout_s:.2f} s"
            outcome = AttemptOutcome.BROKEN if relay.is_started else AttemptOutcome.LOST
            return _AttemptResult(outcome, detail, progress.streamed_head)
        finally:
            timeout.close()
            if isinstance(reply, EndpointResponse):
                reply.close()
            self._endpoints.end_generation(record.name, token_count)
            self._end_prefill(record.name, progress)
            self._endpoints.loads.end_call(record.name)

    def _end_prefill(self, endpoint: str, progress: RequestProgress) -> None:
        self._endpoints.end_prefill(endpoint, progress.pending_prefill_tokens)
        progress.pending_prefill_tokens = 0

    def _is_reply_to(
        self,
        reply_head: ResponseHead,
        is_reused: bool,
        request_metadata: RequestMetadata,
    ) -> bool:
        """Return whether a reply belongs to this request.

        An endpoint that did not execute a request may omit the request id. On a reused
        connection such a reply may be a late copy of the reply to an earlier request.
        """
        reply_metadata = self._codec.decode_reply_head(reply_head)
        if reply_metadata.request_id:
            return reply_metadata.request_id == request_metadata.request_id
        return reply_metadata.is_not_run and not is_reused

    def _outbound_request(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        last_event_id: str,
    ) -> OutboundRequest:
        """Build the request to one endpoint."""
        remaining_s = (
            min(context.deadline_at, context.response_limit_at)
            - self._clock.monotonic()
        )
        metadata = ForwardingMetadata(
            record,
            remaining_s,
            context.team,
            _engine_priority(context),
            inputs.handles if inputs is not None else None,
            last_event_id,
        )
        head = self._codec.encode_request_head(context.request.head, metadata)
        return OutboundRequest(head, context.request.body)

    def _attempt_timeout_s(
        self, context: RequestContext, progress: RequestProgress
    ) -> float | None:
        """Return the timeout for the first bytes of a reply; None for no timeout.

        An attempt that cannot be followed by another one is limited only by the
        request's own deadline.
        """
        remaining_s = context.response_limit_at - self._clock.monotonic()
        if (
            not context.route.is_idempotent
            or progress.send_count + 1 >= context.route.max_attempts
        ):
            return None
        if context.route.kind is RequestKind.STREAMING:
            timeout_s = max(
                _MIN_FIRST_EVENT_TIMEOUT_S,
                _FIRST_EVENT_TARGET_MULTIPLE * context.route.latency_target_s,
            )
            return min(
                timeout_s,
                max(_MIN_ATTEMPT_TIMEOUT_S, remaining_s * _ATTEMPT_TIMEOUT_SHARE),
            )
        return max(_MIN_ATTEMPT_TIMEOUT_S, remaining_s * _ATTEMPT_TIMEOUT_SHARE)

    def _read_reply(
        self,
        context: RequestContext,
        record: EndpointRecord,
        reply: EndpointResponse,
        inputs: StageInputs | None,
        progress: RequestProgress,
        timeout: gevent.Timeout,
        trace: RequestTrace,
    ) -> _AttemptResult:
        """Classify a reply from its head, then read its body or relay its stream."""
        metadata = self._codec.decode_reply_head(reply.head)
        self._endpoints.record_reply(record, metadata, progress.attempt_started_at)
        if metadata.is_not_run:
            outcome = AttemptOutcome.NOT_RUN
            if reply.head.status == _STATUS_CONFLICT:
                outcome = AttemptOutcome.INPUTS_GONE
            # Reading the short body to its end allows the connection to be reused.
            reply.read_all()
            return _AttemptResult(
                outcome, f"{record.address}: status {reply.head.status}"
            )
        is_success = reply.head.status in _SUCCESS_STATUSES
        if is_success and (not metadata.is_sealed or metadata.is_encoded):
            reply.discard()
            return _AttemptResult(
                AttemptOutcome.LOST, f"{record.address}: not the endpoint's own answer"
            )
        caller_head = ResponseHead(
            reply.head.status, self._codec.filter_reply_headers(reply.head.headers)
        )
        if is_success and context.route.kind is RequestKind.STREAMING:
            head = progress.streamed_head or caller_head
            return self._relay_stream(
                context, record, reply, inputs, progress, head, timeout, trace
            )
        body = reply.read_all()
        if isinstance(body, TruncatedBody):
            return _AttemptResult(AttemptOutcome.LOST, body.detail)
        outcome = (
            AttemptOutcome.ANSWERED if is_success else AttemptOutcome.ENDPOINT_FAILED
        )
        detail = "" if is_success else f"{record.address}: status {reply.head.status}"
        return _AttemptResult(outcome, detail, caller_head, body)

    def _relay_stream(
        self,
        context: RequestContext,
        record: EndpointRecord,
        reply: EndpointResponse,
        inputs: StageInputs | None,
        progress: RequestProgress,
        head: ResponseHead,
        timeout: gevent.Timeout,
        trace: RequestTrace,
    ) -> _AttemptResult:
        """Forward the events of a streamed reply to the caller."""
        relay = progress.relay
        last_event_at: float | None = None
        while True:
            chunk = self._read_stream_block(context, reply, progress, last_event_at)
            if relay.has_oversized_partial:
                chunk = TruncatedBody("an event without end")
            if isinstance(chunk, TruncatedBody):
                relay.discard_partial()
                outcome = (
                    AttemptOutcome.BROKEN if relay.is_started else AttemptOutcome.LOST
                )
                return _AttemptResult(outcome, chunk.detail, head)
            if not chunk:
                break
            if relay.forward(head, chunk):
                if last_event_at is None:
                    self._crash_quarantine.record_start(context.shared_prompt_parts)
                if progress.software_version is None:
                    self._bind_to_first_endpoint(context, record, progress)
                last_event_at = self._clock.monotonic()
                self._end_prefill(record.name, progress)
                trace.event_count = relay.event_count
                if trace.first_event_s is None:
                    trace.first_event_s = trace.elapsed_s()
                timeout.close()
                if inputs is not None and not inputs.is_released:
                    # The first event shows that the engine has read its inputs.
                    inputs.release()
        if relay.has_partial:
            relay.discard_partial()
            outcome = AttemptOutcome.BROKEN if relay.is_started else AttemptOutcome.LOST
            return _AttemptResult(
                outcome, "the stream ended in the middle of an event", head
            )
        return _AttemptResult(AttemptOutcome.ANSWERED, "", head)

    def _bind_to_first_endpoint(
        self, context: RequestContext, record: EndpointRecord, progress: RequestProgress
    ) -> None:
        """Bind a stream that begins to the version of the endpoint that began it."""
        progress.software_version = record.software_version
        if context.is_resumable_stream:
            self._stream_origins.record_start(
                context.metadata.stream_id,
                record,
                context.deadline_at - self._clock.monotonic(),
            )

    def _read_stream_block(
        self,
        context: RequestContext,
        reply: EndpointResponse,
        progress: RequestProgress,
        last_event_at: float | None,
    ) -> bytes | TruncatedBody:
        """Read a block of a stream; report one that has stalled as truncated.

        A stream has stalled if no event was completed for too long, even if single
        bytes arrive, and if another engine can continue it.
        """
        caller_timeout_s = context.route.first_event_timeout_s
        if (
            last_event_at is None
            or caller_timeout_s is None
            or not context.route.is_idempotent
        ):
            return reply.read_block()
        while True:
            now = self._clock.monotonic()
            stall_s = stall_timeout_s(
                caller_timeout_s,
                context.route.event_gap_target_s,
                context.response_limit_at - last_event_at,
            )
            may_move = self._may_retry(context, progress)
            if now - last_event_at >= stall_s and may_move:
                return TruncatedBody(f"no event for {now - last_event_at:.2f} s")
            wait_s = last_event_at + stall_s - now
            timeout = gevent.Timeout(wait_s if wait_s > 0 else stall_s)
            try:
                with timeout:
                    return reply.read_block()
            except gevent.Timeout as exc:
                if exc is not timeout:
                    raise

    def _may_retry(self, context: RequestContext, progress: RequestProgress) -> bool:
        """Return whether another endpoint may be tried after the present attempt."""
        service = context.service
        return (
            context.route.is_idempotent
            and progress.send_count + 1 < context.route.max_attempts
            and bool(
                self._endpoints.candidates(
                    service, progress.tried_endpoints, progress.software_version
                )
            )
            and self._retry_budget.is_available(service.name)
        )

    def _record_result(
        self,
        context: RequestContext,
        record: EndpointRecord,
        result: _AttemptResult,
        duration_s: float,
        candidate: PlacementCandidate,
    ) -> None:
        """Update the metrics and the health of the endpoint after an attempt."""
        self._update_quarantine(context, record, result.outcome)
        loads = self._endpoints.loads
        self._metrics.count(
            "attempts_total", service=context.service.name, end=result.outcome.value
        )
        if result.outcome in (
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.LOST,
            AttemptOutcome.BROKEN,
            AttemptOutcome.ENDPOINT_FAILED,
        ):
            if loads.record_failure(
                record.name, self._endpoints.in_service_names(context.service.name)
            ):
                self._metrics.count("endpoint_ejections_total")
        elif (
            result.outcome is AttemptOutcome.ANSWERED
            and context.route.kind is not RequestKind.STREAMING
        ):
            had_capacity = candidate.load + 1 <= candidate.slots
            loads.record_success(record.name, duration_s, 1.0, had_capacity)
            loads.eject_if_slow(
                record.name, self._endpoints.in_service_names(context.service.name)
            )
        elif result.outcome is AttemptOutcome.ANSWERED:
            loads.get(record.name).consecutive_failures = 0

    def _update_quarantine(
        self, context: RequestContext, record: EndpointRecord, outcome: AttemptOutcome
    ) -> None:
        """Record whether an attempt may have crashed its engine, or did not."""
        if outcome is AttemptOutcome.LOST:
            self._crash_quarantine.record_lost(record, _traits(context))
        elif outcome is AttemptOutcome.BROKEN:
            self._crash_quarantine.record_lost(record, [_own_trait(context)])
        elif outcome is AttemptOutcome.ANSWERED:
            if context.route.kind is not RequestKind.STREAMING:
                self._crash_quarantine.record_start(context.shared_prompt_parts)
            if not self._crash_quarantine.is_idle:
                self._crash_quarantine.record_start([_own_trait(context)])

    def _deliver(
        self, result: _AttemptResult, relay: EventRelay, exchange: Exchange
    ) -> DispatchOutcome:
        """Complete the response to the caller."""
        assert result.head is not None
        if relay.is_started or (
            not result.body and result.outcome is AttemptOutcome.ANSWERED
        ):
            relay.finish(result.head)
            return Delivered(result.head.status)
        if result.head.status in _NOT_EXECUTED_STATUSES:
            # The endpoint may have executed the request, so the caller must not see
            # a status that rules this out.
            return ErrorResponse(
                ErrorReason.ENDPOINT_LOST, f"endpoint: {result.head.status}"
            )
        exchange.respond(result.head, result.body)
        return Delivered(result.head.status)

    def _failure_outcome(
        self,
        progress: RequestProgress,
        last_result: _AttemptResult | None,
        error: ErrorResponse | None,
    ) -> DispatchOutcome:
        """Return the outcome of a request for which no further attempt follows."""
        detail = last_result.detail if last_result is not None else ""
        if progress.relay.is_started:
            return TruncatedResponse(detail)
        if progress.may_have_run:
            if (
                last_result is not None
                and last_result.outcome is AttemptOutcome.ENDPOINT_FAILED
            ):
                assert last_result.head is not None
                if last_result.head.status not in _NOT_EXECUTED_STATUSES:
                    return EndpointFailure(last_result.head, last_result.body)
            return ErrorResponse(ErrorReason.ENDPOINT_LOST, detail)
        if error is None:
            error = ErrorResponse(ErrorReason.NO_ENDPOINT, detail)
        elif detail:
            error = ErrorResponse(error.reason, f"{error.detail}; {detail}")
        retry_after_s = error.retry_after_s or _RETRY_AFTER_S
        return ErrorResponse(error.reason, error.detail, retry_after_s)


def _own_trait(context: RequestContext) -> str:
    """Return the trait that the request shares with its copies only."""
    return request_trait(context.fingerprint())


def _traits(context: RequestContext) -> list[str]:
    """Return what the request has in common with others that may crash engines."""
    return [*context.shared_prompt_parts, _own_trait(context)]


def _engine_priority(context: RequestContext) -> int | None:
    """Return the priority at a model engine; None for other services.

    It is derived from the priority of the team or the route, in steps of three.
    """
    if context.service.model_engine_spec is None:
        return None
    return min(9, 1 + 3 * context.priority)
