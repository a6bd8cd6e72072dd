"""HTTP interface for callers: list entries, submit requests, resume streams."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

import msgspec
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ConfigReplica, Team
from sapphirehoist.entry.entry_directory import EntryDirectory
from sapphirehoist.entry.request_gate import RequestGate
from sapphirehoist.entry.request_parsing import hash_bearer_token, read_body
from sapphirehoist.entry.responses import error_body, json_response, to_response
from sapphirehoist.messages import MalformedMessage, encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason
from sapphirehoist.pipeline import (
    OpenedStream,
    PipelineRequest,
    PipelineRunner,
    ResumeSigner,
    StreamEnd,
    StreamRunner,
)
from sapphirehoist.settings import Settings

_MAX_IDEMPOTENCY_KEY_CHARS = 200
_EVENT_STREAM_CONTENT_TYPE = "text/event-stream"


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submitted request.

    Attributes
    ----------
    work : str
        Name of the class of work; encoded as ``class``.
    input : str
        Input of the first stage.
    deadline_ms : int or None
        Time limit of the complete request in milliseconds; twice the latency target of
        the class if it is None.
    request_id : str
        Id chosen by the caller; it need not be unique.
    expected_bytes : int
        Estimated size of the output in bytes; 0 if it is unknown.
    stream : bool
        Whether the output should be streamed.
    """

    work: str = msgspec.field(name="class")
    input: str
    deadline_ms: int | None = None
    request_id: Annotated[str, msgspec.Meta(max_length=200)] = ""
    expected_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    stream: bool = False


class ResumeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to resume a stream.

    Attributes
    ----------
    resume_token : str
        Signed token from an event of the stream.
    offset : int
        Offset after the last event that the caller has received, in bytes of text.
    """

    resume_token: str
    offset: Annotated[int, msgspec.Meta(ge=0)]


class CallerApi:
    """HTTP application for callers.

    Parameters
    ----------
    settings : Settings
        Limits of body sizes and deadlines.
    config_replica : ConfigReplica
        Configuration of teams, classes of work and pipelines.
    entry_directory : EntryDirectory
        Lists the entries that callers should use.
    request_gate : RequestGate
        Tracks requests and tells whether new ones are accepted.
    pipeline_runner, stream_runner : PipelineRunner, StreamRunner
        Run requests with a complete or a streamed response.
    resume_signer : ResumeSigner
        Verifies resume tokens.
    new_id : callable
        Returns a request id that is unique within the fleet.
    clock, metrics : Clock, Metrics
        Clock of the deadlines, and counters of refused requests.
    """

    __slots__ = (
        "_clock",
        "_entry_directory",
        "_request_gate",
        "_metrics",
        "_new_id",
        "_config_replica",
        "_pipeline_runner",
        "_settings",
        "_resume_signer",
        "_stream_runner",
        "app",
    )

    def __init__(
        self,
        settings: Settings,
        config_replica: ConfigReplica,
        entry_directory: EntryDirectory,
        request_gate: RequestGate,
        pipeline_runner: PipelineRunner,
        stream_runner: StreamRunner,
        resume_signer: ResumeSigner,
        new_id: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._config_replica = config_replica
        self._entry_directory = entry_directory
        self._request_gate = request_gate
        self._pipeline_runner = pipeline_runner
        self._stream_runner = stream_runner
        self._resume_signer = resume_signer
        self._new_id = new_id
        self._clock = clock
        self._metrics = metrics
        self.app = Bottle()
        self.app.get("/v1/entries", callback=self._get_entries)
        self.app.post("/v1/requests", callback=self._submit_request)
        self.app.post("/v1/streams/resume", callback=self._resume_stream)

    def _get_entries(self) -> HTTPResponse:
        return json_response(
            self._entry_directory.list_entries(request.query.get("region", ""))
        )

    def _submit_request(self) -> HTTPResponse:
        with self._request_gate.track_request():
            req = self._read_request()
            if isinstance(req, NotRun):
                return self._build_response(req)
            if request.get_header("Accept") == _EVENT_STREAM_CONTENT_TYPE:
                return self._open_stream(req)
            return self._build_response(self._pipeline_runner.run(req), req.request_id)

    def _resume_stream(self) -> HTTPResponse:
        with self._request_gate.track_request():
            team = self._authenticate_team()
            if isinstance(team, NotRun):
                return self._build_response(team)
            body = read_body(ResumeBody, self._settings.max_body_bytes)
            if isinstance(body, NotRun):
                return self._build_response(body)
            opened = self._reopen_stream(team, body)
            if isinstance(opened, OpenedStream):
                return self._build_stream_response(opened)
            return self._build_response(opened)

    def _open_stream(self, req: PipelineRequest) -> HTTPResponse:
        opened = self._stream_runner.open(req)
        if isinstance(opened, OpenedStream):
            return self._build_stream_response(opened)
        return self._build_response(opened, req.request_id)

    def _reopen_stream(self, team: Team, body: ResumeBody) -> OpenedStream | Outcome:
        token = self._resume_signer.verify(body.resume_token)
        if isinstance(token, MalformedMessage):
            return NotRun(Reason.INVALID, token.detail)
        if token.team != team.name:
            detail = "resume_token: it belongs to another team"
            return NotRun(Reason.UNAUTHORISED, detail)
        if body.offset < token.offset:
            detail = f"offset: {body.offset}; allowed: {token.offset} or more"
            return NotRun(Reason.INVALID, detail)
        class_of_work = self._config_replica.catalog.class_of_work(token.class_of_work)
        if class_of_work is None:
            detail = (
                f"resume_token: class {token.class_of_work!r} is no longer configured"
            )
            return Failed(Reason.NOT_CONFIGURED, detail)
        return self._stream_runner.resume(token, body.offset, class_of_work)

    def _build_stream_response(self, opened: OpenedStream) -> HTTPResponse:
        headers = {
            "Content-Type": _EVENT_STREAM_CONTENT_TYPE,
            "Cache-Control": "no-store",
            "X-Request-Id": opened.request_id,
        }
        return HTTPResponse(self._iter_stream_body(opened), 200, headers)

    def _iter_stream_body(self, opened: OpenedStream) -> Iterator[bytes]:
        with self._request_gate.track_request():
            for item in opened.events:
                if not isinstance(item, StreamEnd):
                    yield item.data
                elif not isinstance(item.outcome, Done):
                    error_data = encode_json(error_body(item.outcome))
                    yield b"event: ended\ndata: " + error_data + b"\n\n"

    def _authenticate_team(self) -> Team | NotRun:
        team = self._config_replica.catalog.team_by_token(hash_bearer_token())
        if team is None:
            detail = "Authorization: no team has this bearer token"
            return NotRun(Reason.UNAUTHORISED, detail)
        return team

    def _read_request(self) -> PipelineRequest | NotRun:
        if not self._request_gate.accepts_requests():
            return self._build_refusal()
        team = self._authenticate_team()
        if isinstance(team, NotRun):
            return team
        body = read_body(SubmitBody, self._settings.max_body_bytes)
        if isinstance(body, NotRun):
            return body
        return self._build_request(team, body)

    def _build_request(self, team: Team, body: SubmitBody) -> PipelineRequest | NotRun:
        catalog = self._config_replica.catalog
        class_of_work = catalog.class_of_work(body.work)
        if class_of_work is None:
            allowed = ", ".join(sorted(c.name for c in catalog.classes_of_work()))
            detail = f"class: {body.work!r} is unknown; allowed: {allowed or 'none'}"
            return NotRun(Reason.INVALID, detail)
        idempotency_key = request.get_header("Idempotency-Key", "")
        if len(idempotency_key) > _MAX_IDEMPOTENCY_KEY_CHARS:
            detail = (
                f"Idempotency-Key: {len(idempotency_key)} characters; "
                f"allowed: {_MAX_IDEMPOTENCY_KEY_CHARS}"
            )
            return NotRun(Reason.INVALID, detail)
        deadline_ms = body.deadline_ms
        if deadline_ms is None:
            deadline_ms = 2 * class_of_work.target_ms
        max_deadline_ms = int(self._settings.max_deadline_s * 1000)
        if not 1 <= deadline_ms <= max_deadline_ms:
            detail = f"deadline_ms: {deadline_ms}; allowed: 1 to {max_deadline_ms}"
            return NotRun(Reason.INVALID, detail)
        pipeline = catalog.pipeline(class_of_work.pipeline)
        assert pipeline is not None, (
            "catalog validation requires the pipeline of every class"
        )
        now = self._clock.monotonic()
        return PipelineRequest(
            self._new_id(),
            team,
            class_of_work,
            pipeline,
            body.input.encode(),
            now,
            now + deadline_ms / 1000,
            idempotency_key,
            float(body.expected_bytes),
        )

    def _build_refusal(self) -> NotRun:
        if self._request_gate.is_closed():
            return NotRun(
                Reason.STOPPING, "this VM is stopping; use another entry", 0.0
            )
        detail = "this VM is not yet counted in the acceptance of configuration"
        return NotRun(Reason.NOT_CONFIGURED, detail)

    def _build_response(self, outcome: Outcome, request_id: str = "") -> HTTPResponse:
        entries = None
        if isinstance(outcome, NotRun):
            self._metrics.count("refusals_total", reason=outcome.reason.value)
            if outcome.reason in (Reason.STOPPING, Reason.NOT_CONFIGURED):
                entries = self._entry_directory.list_entries().entries
        return to_response(outcome, request_id, entries)
