"""HTTP interface for operators: configuration, status, drain, report, timeline."""

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
    ConfigReplicator,
    ConfigStore,
)
from sapphirehoist.endpoints import EndpointStatuses
from sapphirehoist.entry.request_gate import RequestGate
from sapphirehoist.entry.request_parsing import hash_bearer_token, read_body
from sapphirehoist.entry.responses import json_response, to_response
from sapphirehoist.membership import Fleet, Status
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.outcomes import NotRun, Reason
from sapphirehoist.pipeline import PipelineStats
from sapphirehoist.settings import OperatorCredentials
from sapphirehoist.storage import Unavailable

OPERATOR_BODY_BYTES = 4 * 1024 * 1024
_MAX_ACCEPTANCE_WAIT_S = 30.0
_MAX_HISTORY_CHANGES = 100


class MemberStatus(msgspec.Struct, frozen=True):
    """One member in the view of this node.

    Attributes
    ----------
    vm, region : str
        VM and region of the member.
    incarnation : int
        Incarnation of the member.
    status : str
        Name of a `Status` in lower case.
    is_leaving : bool
        Whether the member has announced that it is leaving the fleet.
    caller_url, operator_url : str
        URLs of the member's interfaces for callers and for operators.
    """

    vm: str
    incarnation: int
    region: str
    status: str
    is_leaving: bool
    caller_url: str
    operator_url: str


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of this node and its view of the fleet.

    Attributes
    ----------
    vm, region : str
        VM and region of this node.
    config_version : int
        Version of the configuration in force.
    may_serve : bool
        Whether new requests are accepted.
    under_way : int
        Number of requests in flight.
    members : list of MemberStatus
        Members that are not gone, ordered by VM.
    leaving_endpoints : list of str
        Endpoints that get no new work.
    """

    vm: str
    region: str
    config_version: int
    may_serve: bool
    under_way: int
    members: list[MemberStatus]
    leaving_endpoints: list[str]


class ChangeResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a configuration change.

    Attributes
    ----------
    state : str
        ``accepted``, ``committed``, ``conflict``, ``invalid`` or ``undecided``.
    version : int
        Version of the change, or the latest version after a conflict.
    missing : list of str
        VMs that have not reported the version as in force.
    faults : list of str
        Validation errors of the change.
    detail : str
        Description of the cause for a human reader.
    """

    state: str
    version: int = 0
    missing: list[str] = []
    faults: list[str] = []
    detail: str = ""


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to drain an endpoint, which then gets no new work."""

    endpoint: Annotated[str, msgspec.Meta(min_length=1)]


@dataclass(frozen=True, slots=True)
class OperatorDependencies:
    """Components that the operator API reads and changes."""

    config_replica: ConfigReplica
    config_store: ConfigStore
    replicator: ConfigReplicator
    fleet: Fleet
    endpoint_statuses: EndpointStatuses
    request_gate: RequestGate
    pipeline_stats: PipelineStats
    metrics: Metrics
    timeline: Timeline


class OperatorApi:
    """HTTP application for operators.

    Parameters
    ----------
    operators : list of OperatorCredentials
        Names and token hashes of the operators.
    deps : OperatorDependencies
        Components that the API reads and changes.
    """

    __slots__ = ("_operators", "_deps", "app")

    def __init__(
        self, operators: list[OperatorCredentials], deps: OperatorDependencies
    ) -> None:
        self._operators = operators
        self._deps = deps
        self.app = Bottle()
        self.app.get("/healthz", callback=lambda: "ok\n")
        self._add_route("GET", "/metrics", self._get_metrics)
        self._add_route("GET", "/v1/config", self._get_config)
        self._add_route("GET", "/v1/config/history", self._get_history)
        self._add_route("POST", "/v1/config/changes", self._commit_change)
        self._add_route(
            "GET", "/v1/config/acceptance/<version:int>", self._get_acceptance
        )
        self._add_route("GET", "/v1/status", self._get_status)
        self._add_route("POST", "/v1/drain", self._drain_endpoint)
        self._add_route("GET", "/v1/report", self._get_report)
        self._add_route("GET", "/v1/timeline", self._get_timeline)

    def _add_route(self, method: str, path: str, handler: Callable) -> None:
        def authenticated(**arguments: int) -> HTTPResponse:
            operator = self._authenticate_operator()
            if not operator:
                reason = Reason.UNAUTHORISED.value
                self._deps.metrics.count("refusals_total", reason=reason)
                detail = "Authorization: no operator has this bearer token"
                return to_response(NotRun(Reason.UNAUTHORISED, detail))
            request.environ["sapphirehoist.operator"] = operator
            return handler(**arguments)

        self.app.route(path, method, callback=authenticated)

    def _authenticate_operator(self) -> str:
        digest = hash_bearer_token()
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                return operator.name
        return ""

    def _get_metrics(self) -> HTTPResponse:
        text = self._deps.metrics.render_text()
        return HTTPResponse(text, HTTPStatus.OK, {"Content-Type": "text/plain"})

    def _get_config(self) -> HTTPResponse:
        return json_response(self._deps.config_replica.catalog.snapshot())

    def _get_history(self) -> HTTPResponse:
        version = self._deps.config_replica.version
        after = max(0, version - _MAX_HISTORY_CHANGES)
        changes = self._deps.config_store.read_changes(after, version)
        if isinstance(changes, Unavailable):
            return to_response(NotRun(Reason.STORE_UNAVAILABLE, changes.detail))
        return json_response(changes)

    def _commit_change(self) -> HTTPResponse:
        body = read_body(ChangeRequest, OPERATOR_BODY_BYTES)
        if isinstance(body, NotRun):
            return to_response(body)
        deps = self._deps
        deps.replicator.catch_up_from_table()
        if body.expected_version > deps.config_replica.version:
            newest_version = deps.config_replica.version
            detail = (
                f"expected_version: {body.expected_version}; newest: {newest_version}"
            )
            return to_response(NotRun(Reason.INVALID, detail))
        operator = request.environ["sapphirehoist.operator"]
        outcome = deps.config_store.commit(body, deps.config_replica.catalog, operator)
        if isinstance(outcome, Unavailable):
            return to_response(NotRun(Reason.STORE_UNAVAILABLE, outcome.detail))
        if isinstance(outcome, ChangeInvalid):
            result = ChangeResult("invalid", faults=list(outcome.errors))
            return json_response(result, HTTPStatus.UNPROCESSABLE_ENTITY)
        if isinstance(outcome, ChangeUndecided):
            result = ChangeResult("undecided", detail=outcome.detail)
            return json_response(result, HTTPStatus.GATEWAY_TIMEOUT)
        if isinstance(outcome, ChangeConflict):
            result = ChangeResult("conflict", outcome.version)
            return json_response(result, HTTPStatus.CONFLICT)
        return self._apply_committed(outcome)

    def _apply_committed(self, outcome: ChangeCommitted) -> HTTPResponse:
        deps = self._deps
        if not deps.config_replica.apply_change(outcome.change):
            deps.replicator.catch_up_from_table()
        deps.replicator.announce()
        return self._get_acceptance(outcome.change.version)

    def _get_acceptance(self, version: int) -> HTTPResponse:
        if not self._deps.replicator.has_version(version):
            detail = f"version: {version}; newest: {self._deps.config_replica.version}"
            return to_response(NotRun(Reason.INVALID, detail))
        try:
            wait_s = float(request.query.get("wait_s", "0"))
        except ValueError:
            text = request.query["wait_s"]
            detail = f"wait_s: {text!r}; allowed: 0 to {_MAX_ACCEPTANCE_WAIT_S} seconds"
            return to_response(NotRun(Reason.INVALID, detail))
        wait_s = min(max(wait_s, 0.0), _MAX_ACCEPTANCE_WAIT_S)
        state = self._deps.replicator.wait_accepted(version, wait_s)
        if isinstance(state, Unavailable):
            detail = f"the roster cannot be read: {state.detail}"
            return json_response(ChangeResult("committed", version, detail=detail))
        state_name = "accepted" if state.is_accepted else "committed"
        return json_response(ChangeResult(state_name, version, list(state.missing)))

    def _get_status(self) -> HTTPResponse:
        deps = self._deps
        members = [
            MemberStatus(
                update.vm,
                update.incarnation,
                update.member.region,
                update.status.name.lower(),
                update.is_leaving,
                update.member.caller_url,
                update.member.operator_url,
            )
            for update in deps.fleet.view.all_updates()
            if update.member is not None and update.status is not Status.GONE
        ]
        local_member = deps.fleet.local_member
        status = NodeStatus(
            local_member.vm,
            local_member.region,
            deps.config_replica.version,
            deps.request_gate.accepts_requests(),
            deps.request_gate.in_flight_requests,
            sorted(members, key=lambda member: member.vm),
            deps.endpoint_statuses.leaving_endpoints(),
        )
        return json_response(status)

    def _drain_endpoint(self) -> HTTPResponse:
        body = read_body(DrainBody, OPERATOR_BODY_BYTES)
        if isinstance(body, NotRun):
            return to_response(body)
        if self._deps.config_replica.catalog.endpoint(body.endpoint) is None:
            names = sorted(
                e.name for e in self._deps.config_replica.catalog.endpoints()
            )
            allowed = ", ".join(names[:20]) or "none is configured"
            detail = f"endpoint: {body.endpoint!r} is unknown; allowed: {allowed}"
            return to_response(NotRun(Reason.INVALID, detail))
        self._deps.endpoint_statuses.drain(body.endpoint)
        return json_response(self._deps.endpoint_statuses.leaving_endpoints())

    def _get_report(self) -> HTTPResponse:
        return json_response(self._deps.pipeline_stats)

    def _get_timeline(self) -> HTTPResponse:
        return json_response(self._deps.timeline.events())
