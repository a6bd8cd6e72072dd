"""The operators' interface: configuration, status, drain, report, time line."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated

import msgspec
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.configuration import (
    ChangeCommitted,
    ChangeConflict,
    ChangeInvalid,
    ChangeRequest,
    ChangeUndecided,
    ConfigReplica,
    ConfigSpread,
    ConfigStore,
)
from sapphirehoist.endpoints import EndpointStanding
from sapphirehoist.entry.answers import json_response, to_response
from sapphirehoist.entry.bodies import read_body, read_token_sha256
from sapphirehoist.entry.gate import Gate
from sapphirehoist.membership import Fleet, Status
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.outcomes import NotRun, Reason
from sapphirehoist.pipeline import Accounts
from sapphirehoist.settings import OperatorKey
from sapphirehoist.storage import Unavailable

_MAX_CHANGE_BYTES = 4 * 1024 * 1024
_ACCEPT_WAIT_MOST_S = 30.0
_HISTORY_MOST = 100


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as this node sees it."""

    vm: str
    incarnation: int
    region: str
    status: str
    is_leaving: bool
    caller_url: str
    operator_url: str


class NodeStatus(msgspec.Struct, frozen=True):
    """This node and its view of the fleet."""

    vm: str
    region: str
    config_version: int
    may_serve: bool
    under_way: int
    members: list[MemberStatus]
    leaving_endpoints: list[str]


class ChangeResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """What became of a change.

    Attributes
    ----------
    state : str
        ``accepted``, ``committed``, ``conflict``, ``invalid`` or ``undecided``.
    version : int
        Version of the change, or the newest one after a conflict.
    missing : list of str
        VMs that have not reported the version in force.
    faults : list of str
        Why a change is invalid.
    detail : str
        Further facts.
    """

    state: str
    version: int = 0
    missing: list[str] = []
    faults: list[str] = []
    detail: str = ""


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names the endpoint that is to get no new work."""

    endpoint: Annotated[str, msgspec.Meta(min_length=1)]


@dataclass(frozen=True, slots=True)
class OperatorParts:
    """What the operators' interface shows and changes."""

    replica: ConfigReplica
    store: ConfigStore
    spread: ConfigSpread
    fleet: Fleet
    standing: EndpointStanding
    gate: Gate
    accounts: Accounts
    metrics: Metrics
    timeline: Timeline


class OperatorApi:
    """HTTP application for operators.

    Parameters
    ----------
    operators : list of OperatorKey
        Who may use it.
    parts : OperatorParts
        What it shows and changes.
    """

    __slots__ = ("_operators", "_parts", "app")

    def __init__(self, operators: list[OperatorKey], parts: OperatorParts) -> None:
        self._operators = operators
        self._parts = parts
        self.app = Bottle()
        self.app.get("/healthz", callback=lambda: "ok\n")
        self._route("GET", "/metrics", self._metrics)
        self._route("GET", "/v1/config", self._config)
        self._route("GET", "/v1/config/history", self._history)
        self._route("POST", "/v1/config/changes", self._change)
        self._route("GET", "/v1/config/acceptance/<version:int>", self._acceptance)
        self._route("GET", "/v1/status", self._status)
        self._route("POST", "/v1/drain", self._drain)
        self._route("GET", "/v1/report", self._report)
        self._route("GET", "/v1/timeline", self._timeline)

    def _route(self, method: str, path: str, handler: Callable) -> None:
        def authorised(**arguments: int) -> HTTPResponse:
            operator = self._operator()
            if not operator:
                reason = Reason.UNAUTHORISED.value
                self._parts.metrics.count("refusals_total", reason=reason)
                detail = "Authorization: no operator has this bearer token"
                return to_response(NotRun(Reason.UNAUTHORISED, detail))
            request.environ["sapphirehoist.operator"] = operator
            return handler(**arguments)

        self.app.route(path, method, callback=authorised)

    def _operator(self) -> str:
        digest = read_token_sha256()
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                return operator.name
        return ""

    def _metrics(self) -> HTTPResponse:
        text = self._parts.metrics.render_text()
        return HTTPResponse(text, HTTPStatus.OK, {"Content-Type": "text/plain"})

    def _config(self) -> HTTPResponse:
        return json_response(self._parts.replica.catalog.snapshot())

    def _history(self) -> HTTPResponse:
        version = self._parts.replica.version
        after = max(0, version - _HISTORY_MOST)
        changes = self._parts.store.read_changes(after, version)
        if isinstance(changes, Unavailable):
            return to_response(NotRun(Reason.STORE_UNAVAILABLE, changes.detail))
        return json_response(changes)

    def _change(self) -> HTTPResponse:
        body = read_body(ChangeRequest, _MAX_CHANGE_BYTES)
        if isinstance(body, NotRun):
            return to_response(body)
        parts = self._parts
        parts.spread.catch_up_from_table()
        if body.expected_version > parts.replica.version:
            allowed = parts.replica.version
            detail = f"expected_version: {body.expected_version}; newest: {allowed}"
            return to_response(NotRun(Reason.INVALID, detail))
        operator = request.environ["sapphirehoist.operator"]
        outcome = parts.store.commit(body, parts.replica.catalog, operator)
        if isinstance(outcome, Unavailable):
            return to_response(NotRun(Reason.STORE_UNAVAILABLE, outcome.detail))
        if isinstance(outcome, ChangeInvalid):
            result = ChangeResult("invalid", faults=list(outcome.faults))
            return json_response(result, HTTPStatus.UNPROCESSABLE_ENTITY)
        if isinstance(outcome, ChangeUndecided):
            result = ChangeResult("undecided", detail=outcome.detail)
            return json_response(result, HTTPStatus.GATEWAY_TIMEOUT)
        if isinstance(outcome, ChangeConflict):
            result = ChangeResult("conflict", outcome.version)
            return json_response(result, HTTPStatus.CONFLICT)
        return self._after_commit(outcome)

    def _after_commit(self, outcome: ChangeCommitted) -> HTTPResponse:
        parts = self._parts
        if not parts.replica.apply_change(outcome.change):
            parts.spread.catch_up_from_table()
        parts.spread.announce()
        return self._acceptance(outcome.change.version)

    def _acceptance(self, version: int) -> HTTPResponse:
        if not self._parts.spread.has_version(version):
            detail = f"version: {version}; newest: {self._parts.replica.version}"
            return to_response(NotRun(Reason.INVALID, detail))
        try:
            wait_s = float(request.query.get("wait_s", "0"))
        except ValueError:
            text = request.query["wait_s"]
            detail = f"wait_s: {text!r}; allowed: 0 to {_ACCEPT_WAIT_MOST_S} seconds"
            return to_response(NotRun(Reason.INVALID, detail))
        wait_s = min(max(wait_s, 0.0), _ACCEPT_WAIT_MOST_S)
        state = self._parts.spread.wait_accepted(version, wait_s)
        if isinstance(state, Unavailable):
            detail = f"the roster cannot be read: {state.detail}"
            return json_response(ChangeResult("committed", version, detail=detail))
        name = "accepted" if state.is_accepted else "committed"
        return json_response(ChangeResult(name, version, list(state.missing)))

    def _status(self) -> HTTPResponse:
        parts = self._parts
        members = [
            MemberStatus(
                news.vm,
                news.incarnation,
                news.member.region,
                news.status.name.lower(),
                news.is_leaving,
                news.member.caller_url,
                news.member.operator_url,
            )
            for news in parts.fleet.view.all_news()
            if news.member is not None and news.status is not Status.GONE
        ]
        me = parts.fleet.member
        status = NodeStatus(
            me.vm,
            me.region,
            parts.replica.version,
            parts.gate.is_open(),
            parts.gate.under_way,
            sorted(members, key=lambda member: member.vm),
            parts.standing.leaving(),
        )
        return json_response(status)

    def _drain(self) -> HTTPResponse:
        body = read_body(DrainBody, _MAX_CHANGE_BYTES)
        if isinstance(body, NotRun):
            return to_response(body)
        if self._parts.replica.catalog.endpoint(body.endpoint) is None:
            names = sorted(e.name for e in self._parts.replica.catalog.endpoints())
            allowed = ", ".join(names[:20]) or "none is configured"
            detail = f"endpoint: {body.endpoint!r} is unknown; allowed: {allowed}"
            return to_response(NotRun(Reason.INVALID, detail))
        self._parts.standing.drain(body.endpoint)
        return json_response(self._parts.standing.leaving())

    def _report(self) -> HTTPResponse:
        return json_response(self._parts.accounts)

    def _timeline(self) -> HTTPResponse:
        return json_response(self._parts.timeline.events())
