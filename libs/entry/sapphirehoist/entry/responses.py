"""Converts outcomes of requests to HTTP responses."""

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
    """JSON body of the response to a request that did not succeed.

    Attributes
    ----------
    outcome : str
        ``not_run``, ``failed`` or ``unknown``.
    reason : str
        Value of a `Reason`.
    detail : str
        Description of the cause for a human reader.
    retry_after_s : float or None
        Seconds after which the caller may retry; set only if the request did not run
        and a retry can succeed.
    entries : list of str
        URLs of other entries, if this node does not accept requests.
    """

    outcome: str
    reason: str
    detail: str
    retry_after_s: float | None = None
    entries: list[str] = []


def error_body(outcome: Outcome, entries: list[str] | None = None) -> ErrorBody:
    """Return the response body of an outcome other than `Done`."""
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
    """Return the HTTP response of `outcome`."""
    headers = {"X-Request-Id": request_id} if request_id else {}
    if isinstance(outcome, Done):
        headers |= {
            "Content-Type": _TEXT_CONTENT_TYPE,
            "X-Outcome": "done",
            "X-Replayed": str(int(outcome.is_replayed)),
        }
        return HTTPResponse(outcome.body, HTTPStatus.OK, headers)
    body = error_body(outcome, entries)
    headers |= {"Content-Type": _JSON_CONTENT_TYPE, "X-Outcome": body.outcome}
    if body.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(body.retry_after_s))
    return HTTPResponse(encode_json(body), _http_status(outcome), headers)


def json_response(message: object, status: HTTPStatus = HTTPStatus.OK) -> HTTPResponse:
    """Return a response with `message` as its JSON body."""
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
