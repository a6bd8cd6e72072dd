"""Checks that refuse a request before an attempt; nothing has run then."""

from __future__ import annotations

from collections.abc import Iterable

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    ResponseTimes,
    SharedRetryBudget,
    is_request_trait,
    parse_event_id,
)
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.error_response import (
    ErrorReason,
    ErrorResponse,
    stopping_error,
)
from sapphirehoist.gateway.request_context import RequestContext, RequestProgress
from sapphirehoist.gateway.stream_origin_sync import StreamOriginSync
from sapphirehoist.routes import RequestKind, Service

# With less time remaining, an endpoint could not answer before the deadline.
_MIN_REMAINING_S = 0.02
_ORIGIN_RETRY_AFTER_S = 0.25
# Callers that return at once find the endpoint's next turn taken by another one.
_MIN_BACKOFF_RETRY_AFTER_S = 0.1
# An engine that crashed is back after some seconds.
_VERSION_RETRY_AFTER_S = 1.0
# An endpoint that crashed is back after some seconds; the end of an evacuation is not
# foreseeable.
_HOME_RETRY_AFTER_S = 1.0


class RequestChecks:
    """Checks whether a request may be sent to an endpoint.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Endpoints of each service.
    retry_budget : SharedRetryBudget
        Limits retries.
    crash_quarantine : CrashQuarantineSync
        Knows which requests crash engines.
    stream_origins : StreamOriginSync
        Knows the software version that began a stream.
    response_times : ResponseTimes
        Knows how long responses take.
    clock : Clock
        Monotonic time.
    """

    __slots__ = (
        "_clock",
        "_crash_quarantine",
        "_endpoints",
        "_response_times",
        "_retry_budget",
        "_stream_origins",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        retry_budget: SharedRetryBudget,
        crash_quarantine: CrashQuarantineSync,
        stream_origins: StreamOriginSync,
        response_times: ResponseTimes,
        clock: Clock,
    ) -> None:
        self._endpoints = endpoints
        self._retry_budget = retry_budget
        self._crash_quarantine = crash_quarantine
        self._stream_origins = stream_origins
        self._response_times = response_times
        self._clock = clock

    def check_homes(
        self, context: RequestContext, services: Iterable[str]
    ) -> ErrorResponse | None:
        """Return an error response if no endpoint of a service may get the request.

        A request without home regions is never refused here.
        """
        allowed_regions = context.allowed_regions
        if allowed_regions is None:
            return None
        for service in services:
            if not self._endpoints.eligible_records(
                service, allowed_regions=allowed_regions
            ):
                regions = ", ".join(sorted(allowed_regions)) or "none in common"
                return ErrorResponse(
                    ErrorReason.HOME_UNAVAILABLE,
                    f"no endpoint of {service} in the home regions: {regions}",
                    _HOME_RETRY_AFTER_S,
                )
        return None

    def bind_stream(
        self, context: RequestContext, progress: RequestProgress
    ) -> ErrorResponse | None:
        """Bind a stream that the caller takes up to the version that began it.

        Return an error response if the stream cannot go on.
        """
        last_event_id = context.metadata.last_event_id
        if not last_event_id or context.route.kind is not RequestKind.STREAMING:
            return None
        if parse_event_id(last_event_id) < 0:
            return ErrorResponse(
                ErrorReason.BAD_REQUEST, "the last event id must be a whole number"
            )
        if not context.is_resumable_stream:
            return None
        service = context.service.name
        origin = self._stream_origins.find(context.metadata.stream_id, service)
        if origin is None or origin.service != service:
            return ErrorResponse(
                ErrorReason.STREAM_NOT_RESUMABLE,
                "not known which software version began the stream",
                _ORIGIN_RETRY_AFTER_S,
            )
        if not self._endpoints.is_version_in_service(
            service, origin.software_version, context.allowed_regions
        ):
            return ErrorResponse(
                ErrorReason.STREAM_NOT_RESUMABLE,
                f"no endpoint of software version {origin.software_version}",
                _VERSION_RETRY_AFTER_S,
            )
        progress.bind_to_version(origin.software_version)
        return None

    def check_backoff(
        self,
        service: Service,
        available_in_s: float = 0.0,
        software_version: str | None = None,
        allowed_regions: frozenset[str] | None = None,
    ) -> ErrorResponse | None:
        """Return an error response if no endpoint of `service` takes a request now.

        A pause that ends within `available_in_s` is ignored. Only eligible endpoints of
        `software_version` are considered; of any version if it is None.
        """
        backoff_s = self._endpoints.service_backoff_s(
            service.name, software_version, allowed_regions
        )
        if backoff_s <= available_in_s:
            return None
        return ErrorResponse(
            ErrorReason.ENDPOINTS_FULL,
            f"every endpoint of {service.name} asked for a pause or is paced"
            f"{self._endpoints.describe_pacing(service.name)}",
            max(backoff_s, _MIN_BACKOFF_RETRY_AFTER_S),
        )

    def check_quarantine(self, context: RequestContext) -> ErrorResponse | None:
        """Return an error response if the request may crash its engine."""
        if self._crash_quarantine.is_idle:
            return None
        hold = self._crash_quarantine.check(context.crash_traits())
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

    def check_stop(
        self, context: RequestContext, stages_s: float = 0.0
    ) -> ErrorResponse | None:
        """Return an error response if the response would outlast this node.

        `stages_s` is the forecast time of the stages. A request that arrived before the
        stop is sent where it is not known how long its response takes.
        """
        stop_at = context.limit_to_stop(context.time_limit_at)
        if stop_at >= context.time_limit_at:
            return None
        left_s = stop_at - self._clock.monotonic() - stages_s
        if self._response_times.is_in_time(
            context.route.name,
            context.service.name,
            left_s,
            context.output_tokens,
            context.route.is_idempotent or not context.is_late,
        ):
            return None
        stages = f", after {stages_s:.2f} s of stages" if stages_s else ""
        return stopping_error(f"{max(0.0, left_s):.2f} s are too short{stages}")

    def check_attempt(
        self, context: RequestContext, progress: RequestProgress
    ) -> ErrorResponse | None:
        """Return an error response if no further attempt is allowed, else None."""
        if context.response_limit_at - self._clock.monotonic() < _MIN_REMAINING_S:
            return ErrorResponse(
                ErrorReason.TIMEOUT_NOT_RUN, "no time left for an attempt"
            )
        if not progress.may_have_run:
            error = self.check_stop(context)
            if error is not None:
                return error
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
