"""Records what an attempt tells about its endpoint and its request."""

from __future__ import annotations

from sapphirehoist.decisions import (
    EndpointRestarts,
    PlacementCandidate,
    ResponseTimes,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.attempt import AttemptResult
from sapphirehoist.gateway.attempt_outcome import AttemptOutcome
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.request_context import RequestContext
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import RequestKind

# Outcomes of attempts at an endpoint that has ended, among other reasons.
_LOSSES = (AttemptOutcome.NOT_SENT, AttemptOutcome.LOST, AttemptOutcome.BROKEN)


class AttemptRecorder:
    """Updates health, speed and quarantine after each attempt.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Load and health of each endpoint.
    crash_quarantine : CrashQuarantineSync
        Learns which requests crash engines.
    restarts : EndpointRestarts
        Learns at which endpoints attempts are lost.
    response_times : ResponseTimes
        Learns how long responses take.
    metrics : Metrics
        Receives the counters ``attempts_total`` and ``endpoint_ejections_total``.
    """

    __slots__ = (
        "_crash_quarantine",
        "_endpoints",
        "_metrics",
        "_response_times",
        "_restarts",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        crash_quarantine: CrashQuarantineSync,
        restarts: EndpointRestarts,
        response_times: ResponseTimes,
        metrics: Metrics,
    ) -> None:
        self._endpoints = endpoints
        self._crash_quarantine = crash_quarantine
        self._restarts = restarts
        self._response_times = response_times
        self._metrics = metrics

    def record(
        self,
        context: RequestContext,
        record: EndpointRecord,
        result: AttemptResult,
        duration_s: float,
        candidate: PlacementCandidate,
    ) -> None:
        """Update the metrics and the health of the endpoint after an attempt."""
        self._update_quarantine(context, record, result.outcome)
        if result.outcome in _LOSSES:
            is_absent = result.outcome is AttemptOutcome.NOT_SENT
            self._restarts.record_loss(record.name, is_absent)
        if result.outcome is AttemptOutcome.ANSWERED:
            self._response_times.record(
                context.route.name,
                context.service.name,
                duration_s,
                context.output_tokens,
            )
        loads = self._endpoints.loads
        self._metrics.count(
            "attempts_total", service=context.service.name, end=result.outcome.value
        )
        if result.outcome is AttemptOutcome.NOT_SENT and not (
            self._endpoints.is_eligible(record, None)
        ):
            return  # its zone was evacuated meanwhile
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
            loads.record_success(
                record.name,
                duration_s,
                1.0,
                had_capacity,
                # Stated by the reply to this attempt.
                loads.slowdown(record.name),
            )
            loads.eject_if_slow(
                record.name, self._endpoints.in_service_names(context.service.name)
            )
        elif result.outcome is AttemptOutcome.ANSWERED:
            loads.get(record.name).consecutive_failures = 0

    def _update_quarantine(
        self, context: RequestContext, record: EndpointRecord, outcome: AttemptOutcome
    ) -> None:
        """Record whether an attempt may have crashed its engine, or did not."""
        is_lost = outcome in (AttemptOutcome.LOST, AttemptOutcome.BROKEN)
        if is_lost and self._endpoints.is_brittle(record):
            return  # it has collapsed under rejections, not under this request
        if outcome is AttemptOutcome.LOST:
            self._crash_quarantine.record_lost(record, context.crash_traits())
        elif outcome is AttemptOutcome.BROKEN:
            self._crash_quarantine.record_lost(record, [context.own_trait()])
        elif outcome is AttemptOutcome.ANSWERED:
            if context.route.kind is not RequestKind.STREAMING:
                self._crash_quarantine.record_start(context.shared_prompt_parts)
            if not self._crash_quarantine.is_idle:
                self._crash_quarantine.record_start([context.own_trait()])
