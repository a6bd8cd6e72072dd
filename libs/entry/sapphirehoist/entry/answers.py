"""Outcomes as HTTP answers."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec
from bottle import HTTPResponse

from sapphirehoist.messages import encode_json
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason

_TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
_JSON_CONTENT_TYPE = "application/json"
_NOT_RUN_STATUS = {
    Reason.INVALID: HTTPStatus.BAD_REQUEST,
    Reason.UNAUTHORISED: HTTPStatus.UNAUTHORIZED,
    Reason.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TEAM_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
}
_FAILED_STATUS = {
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.ENDPOINT_REFUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
}
_NON_RETRYABLE_REASONS = (Reason.INVALID, Reason.UNAUTHORISED)


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of every answer but a whole one.

    Attributes
    ----------
    outcome : str
        ``not_run``, ``failed`` or ``unknown``.
    reason, detail : str
        Why; the reason is one of a closed list.
    retry_after_s : float or None
        When the caller may come back, in seconds.
    entries : list of str
        Entry VMs to use instead, where this one is stopping.
    """

    outcome: str
    reason: str
    detail: str
    retry_after_s: float | None = None
    entries: list[str] = []


def error_body(outcome: Outcome, entries: list[str] | None = None) -> ErrorBody:
    """Return the body that describes `outcome`."""
    assert not isinstance(outcome, Done)
    if isinstance(outcome, NotRun):
        retry_after_s = (
            None if outcome.reason in _NON_RETRYABLE_REASONS else outcome.retry_after_s
        )
        detail = outcome.detail
        return ErrorBody(
            "not_run", outcome.reason, detail, retry_after_s, entries or []
        )
    outcome_name = "failed" if isinstance(outcome, Failed) else "unknown"
    return ErrorBody(outcome_name, outcome.reason, outcome.detail)


def to_response(
    outcome: Outcome, request_id: str = "", entries: list[str] | None = None
) -> HTTPResponse:
    """Return `outcome` as an HTTP response."""
    headers = {"X-Request-Id": request_id} if request_id else {}
    if isinstance(outcome, Done):
        headers |= {
            "Content-Type": _TEXT_CONTENT_TYPE,
            "X-Outcome": "done",
            "X-Replayed": str(int(outcome.replayed)),
        }
        return HTTPResponse(outcome.body, HTTPStatus.OK, headers)
    body = error_body(outcome, entries)
    headers |= {"Content-Type": _JSON_CONTENT_TYPE, "X-Outcome": body.outcome}
    if body.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(body.retry_after_s))
    return HTTPResponse(encode_json(body), _http_status(outcome), headers)


def json_response(message: object, status: HTTPStatus = HTTPStatus.OK) -> HTTPResponse:
    """Return a typed message as a JSON response."""
    return HTTPResponse(
        encode_json(message), status, {"Content-Type": _JSON_CONTENT_TYPE}
    )


def _http_status(outcome: Outcome) -> HTTPStatus:
    assert not isinstance(outcome, Done)
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if isinstance(outcome, Failed):
        return _FAILED_STATUS.get(outcome.reason, HTTPStatus.BAD_GATEWAY)
    return HTTPStatus.GATEWAY_TIMEOUT
