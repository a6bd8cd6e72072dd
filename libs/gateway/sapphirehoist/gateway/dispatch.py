"""Sends one request to endpoints, with retries, until its outcome is final."""

from __future__ import annotations

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import PlacementCandidate
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.attempt import AttemptResult, AttemptSender
from sapphirehoist.gateway.attempt_outcome import (
    OUTCOME_RULES,
    AttemptOutcome,
    NextAction,
    next_action,
)
from sapphirehoist.gateway.attempt_recorder import AttemptRecorder
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.endpoint_chooser import EndpointChooser
from sapphirehoist.gateway.endpoint_memory_sync import EndpointMemorySync
from sapphirehoist.gateway.error_response import ErrorReason, ErrorResponse
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.request_checks import RequestChecks
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
from sapphirehoist.gateway.trace import RequestTrace, StreamedPart
from sapphirehoist.http1 import Exchange

# Statuses that guarantee to a caller that its request was not executed.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_RETRY_AFTER_S = 0.25
# Longer than the time between two reads of the endpoints, and shorter than the gap
# after which callers abandon a stream.
_VERSION_TIMEOUT_S = 1.5
_VERSION_POLL_INTERVAL_S = 0.05


class Dispatcher:
    """Makes the attempts of a request and applies `OUTCOME_RULES`.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Endpoints of each service.
    checks : RequestChecks
        Refuses requests that may not be sent.
    chooser : EndpointChooser
        Chooses the endpoint of each attempt.
    sender : AttemptSender
        Makes one attempt.
    recorder : AttemptRecorder
        Records the result of each attempt.
    crash_quarantine : CrashQuarantineSync
        Sends single quarantined requests as trials.
    endpoint_memory : EndpointMemorySync
        Counts the request bodies at each endpoint.
    clock : Clock
        Monotonic time.
    """

    __slots__ = (
        "_checks",
        "_chooser",
        "_clock",
        "_crash_quarantine",
        "_endpoint_memory",
        "_endpoints",
        "_recorder",
        "_sender",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        checks: RequestChecks,
        chooser: EndpointChooser,
        sender: AttemptSender,
        recorder: AttemptRecorder,
        crash_quarantine: CrashQuarantineSync,
        endpoint_memory: EndpointMemorySync,
        clock: Clock,
    ) -> None:
        self._endpoints = endpoints
        self._checks = checks
        self._chooser = chooser
        self._sender = sender
        self._recorder = recorder
        self._crash_quarantine = crash_quarantine
        self._endpoint_memory = endpoint_memory
        self._clock = clock

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
        last_result: AttemptResult | None = None
        while True:
            self._await_version(context, progress)
            if not progress.may_go_on:
                return self._failure_outcome(progress, last_result, None)
            error = self._checks.check_attempt(context, progress)
            candidate = (
                None
                if error
                else self._chooser.choose(
                    context, inputs, progress.tried_endpoints, progress.software_version
                )
            )
            if candidate is None:
                error = (
                    error
                    or self._checks.check_homes(context, [context.service.name])
                    or self._checks.check_backoff(
                        context.service,
                        software_version=progress.software_version,
                        allowed_regions=context.allowed_regions,
                    )
                    or self._endpoint_memory.check(
                        context.service,
                        len(context.request.body),
                        progress.tried_endpoints,
                        progress.software_version,
                    )
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

    def _await_version(
        self, context: RequestContext, progress: RequestProgress
    ) -> None:
        """Wait until it is known which version began a stream that has broken off."""
        watch = progress.version_watch
        if (
            watch is None
            or not progress.relay.may_go_on
            or progress.send_count >= context.route.max_attempts
        ):
            return
        now = self._clock.monotonic()
        ends_at = min(now + _VERSION_TIMEOUT_S, context.time_limit_at)
        while not watch.is_decided and self._clock.monotonic() < ends_at:
            self._clock.sleep(_VERSION_POLL_INTERVAL_S)

    def _make_attempt(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        candidate: PlacementCandidate,
        progress: RequestProgress,
        trace: RequestTrace,
    ) -> AttemptResult:
        """Make one attempt and record its result."""
        if not progress.is_quarantine_trial and not self._crash_quarantine.is_idle:
            progress.is_quarantine_trial = self._crash_quarantine.begin_trial(
                context.crash_traits()
            )
        started_at = self._clock.monotonic()
        progress.is_attempt_in_flight = True
        progress.attempt_started_at = started_at
        progress.candidate = candidate
        body_bytes = len(context.request.body)
        held_bytes = self._endpoint_memory.begin(record, body_bytes)
        relay = progress.relay
        resumed_after = relay.last_event_id
        event_count, unforwarded_bytes = relay.event_count, relay.unforwarded_bytes
        outcome: AttemptOutcome | None = None

        def streamed_part() -> StreamedPart:
            return StreamedPart(
                resumed_after,
                relay.last_event_id,
                relay.event_count - event_count,
                relay.unforwarded_bytes - unforwarded_bytes,
            )

        try:
            result = self._sender.send(context, inputs, record, progress, trace)
            outcome = result.outcome
        finally:
            self._endpoint_memory.end(record, body_bytes, held_bytes, outcome)
            if outcome is None:
                trace.record_interruption(
                    record.name,
                    record.software_version,
                    self._clock.monotonic() - started_at,
                    streamed_part(),
                )
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
            streamed_part(),
        )
        self._recorder.record(context, record, result, duration_s, candidate)
        if result.outcome is not AttemptOutcome.NOT_SENT:
            progress.send_count += 1
        progress.may_have_run |= OUTCOME_RULES[result.outcome].may_have_run
        if result.outcome is AttemptOutcome.BROKEN:
            progress.streamed_head = progress.streamed_head or result.head
        return result

    def _deliver(
        self, result: AttemptResult, relay: EventRelay, exchange: Exchange
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
        last_result: AttemptResult | None,
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
