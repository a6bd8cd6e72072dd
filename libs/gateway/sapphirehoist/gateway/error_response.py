"""Error responses that the gateway generates itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sapphirehoist.http1 import Headers, ResponseHead


class ErrorReason(Enum):
    """Reason for an error response of the gateway."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BAD_REQUEST = "bad_request"
    STOPPING = "stopping"
    NO_ENDPOINT = "no_endpoint"
    HOME_UNAVAILABLE = "home_unavailable"
    OVERLOADED = "overloaded"
    ENDPOINTS_FULL = "endpoints_full"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    STAGE_FAILED = "stage_failed"
    MEMORY_FULL = "memory_full"
    TIMEOUT_NOT_RUN = "timeout_not_run"
    TIMEOUT = "timeout"
    ENDPOINT_LOST = "endpoint_lost"
    INTERNAL = "internal"


_STATUSES = {
    ErrorReason.NO_CONFIGURATION: 503,
    ErrorReason.NO_ROUTE: 404,
    ErrorReason.UNKNOWN_KEY: 401,
    ErrorReason.BAD_REQUEST: 400,
    ErrorReason.STOPPING: 503,
    ErrorReason.NO_ENDPOINT: 503,
    ErrorReason.HOME_UNAVAILABLE: 503,
    ErrorReason.OVERLOADED: 503,
    ErrorReason.ENDPOINTS_FULL: 503,
    ErrorReason.PROMPT_QUARANTINED: 503,
    ErrorReason.REQUEST_QUARANTINED: 503,
    ErrorReason.STREAM_NOT_RESUMABLE: 503,
    ErrorReason.STAGE_FAILED: 503,
    ErrorReason.MEMORY_FULL: 503,
    ErrorReason.TIMEOUT_NOT_RUN: 503,
    ErrorReason.TIMEOUT: 504,
    ErrorReason.ENDPOINT_LOST: 502,
    ErrorReason.INTERNAL: 502,
}


# Callers can retry at another node immediately.
_STOPPING_RETRY_AFTER_S = 0.02


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error response of the gateway.

    Status 503 guarantees that the request did not run and never will.

    Attributes
    ----------
    reason : ErrorReason
        Reason for the response.
    detail : str
        Human-readable details.
    retry_after_s : float or None
        Time after which the caller may retry; None to send no ``Retry-After``.
    is_return_scheduled : bool
        Whether the time is already spread among callers, so that it is not randomized.
    """

    reason: ErrorReason
    detail: str = ""
    retry_after_s: float | None = None
    is_return_scheduled: bool = False

    @property
    def status(self) -> int:
        """Return the HTTP status code of the response."""
        return _STATUSES[self.reason]

    def head(self) -> ResponseHead:
        """Return the head of the response."""
        headers = [("Content-Type", "text/plain")]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", f"{self.retry_after_s:.2f}"))
        return ResponseHead(self.status, Headers(headers))

    def body(self) -> bytes:
        """Return the body of the response."""
        text = self.reason.value.replace("_", " ")
        return (f"{text}: {self.detail}" if self.detail else text).encode()


def stopping_error(detail: str) -> ErrorResponse:
    """Return the response to a request that another node has to serve."""
    return ErrorResponse(
        ErrorReason.STOPPING, f"this node stops; {detail}", _STOPPING_RETRY_AFTER_S
    )
