"""The callers' interface: which entry, submit, resume."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

import msgspec
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ConfigReplica, Team
from sapphirehoist.entry.answers import ended_body, json_response, to_response
from sapphirehoist.entry.bodies import read_body, read_token_sha256
from sapphirehoist.entry.directory import EntryDirectory
from sapphirehoist.entry.gate import Gate
from sapphirehoist.messages import Malformed, encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason
from sapphirehoist.pipeline import (
    OpenedStream,
    PipelineRunner,
    ResumeSigner,
    StreamEnd,
    StreamRunner,
    WorkRequest,
)
from sapphirehoist.settings import Settings

_MAX_KEY_CHARS = 200
_EVENT_STREAM = "text/event-stream"


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request.

    Attributes
    ----------
    work : str
        Class of work; ``class`` on the wire.
    input : str
        Input of the first stage.
    deadline_ms : int or None
        Time for the whole answer; twice the class's target where it is absent.
    request_id : str
        The caller's own id; it need not be unique.
    expected_bytes : int
        Hint of the answer's size; 0 for none.
    stream : bool
        Whether the answer is to be streamed.
    """

    work: str = msgspec.field(name="class")
    input: str
    deadline_ms: int | None = None
    request_id: Annotated[str, msgspec.Meta(max_length=200)] = ""
    expected_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    stream: bool = False


class ResumeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a resumption: the token and the last offset that the caller has."""

    resume_token: str
    offset: Annotated[int, msgspec.Meta(ge=0)]


class CallerApi:
    """HTTP application for callers.

    Parameters
    ----------
    settings : Settings
        Limits and this VM's name.
    replica : ConfigReplica
        Teams, classes and pipelines.
    directory : EntryDirectory
        Which entry to use.
    gate : Gate
        Whether requests are taken.
    runner, streams : PipelineRunner, StreamRunner
        Run requests.
    signer : ResumeSigner
        Checks resume tokens.
    new_id : callable
        Returns a unique id.
    clock, metrics : Clock, Metrics
        Time and counters.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_gate",
        "_metrics",
        "_new_id",
        "_replica",
        "_runner",
        "_settings",
        "_signer",
        "_streams",
        "app",
    )

    def __init__(
        self,
        settings: Settings,
        replica: ConfigReplica,
        directory: EntryDirectory,
        gate: Gate,
        runner: PipelineRunner,
        streams: StreamRunner,
        signer: ResumeSigner,
        new_id: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._directory = directory
        self._gate = gate
        self._runner = runner
        self._streams = streams
        self._signer = signer
        self._new_id = new_id
        self._clock = clock
        self._metrics = metrics
        self.app = Bottle()
        self.app.get("/v1/entries", callback=self._entries)
        self.app.post("/v1/requests", callback=self._submit)
        self.app.post("/v1/streams/resume", callback=self._resume)

    def _entries(self) -> HTTPResponse:
        return json_response(self._directory.answer(request.query.get("region", "")))

    def _submit(self) -> HTTPResponse:
        with self._gate.request():
            req = self._read_request()
            if isinstance(req, NotRun):
                return self._end(req)
            if request.get_header("Accept") == _EVENT_STREAM:
                return self._open_stream(req)
            return self._end(self._runner.run(req), req.request_id)

    def _resume(self) -> HTTPResponse:
        with self._gate.request():
            team = self._authorise()
            if isinstance(team, NotRun):
                return self._end(team)
            body = read_body(ResumeBody, self._settings.max_body_bytes)
            if isinstance(body, NotRun):
                return self._end(body)
            opened = self._resume_stream(team, body)
            if isinstance(opened, OpenedStream):
                return self._stream_response(opened)
            return self._end(opened)

    def _open_stream(self, req: WorkRequest) -> HTTPResponse:
        opened = self._streams.open(req)
        if isinstance(opened, OpenedStream):
            return self._stream_response(opened)
        return self._end(opened, req.request_id)

    def _resume_stream(self, team: Team, body: ResumeBody) -> OpenedStream | Outcome:
        token = self._signer.check(body.resume_token)
        if isinstance(token, Malformed):
            return NotRun(Reason.INVALID, token.detail)
        if token.team != team.name:
            detail = "resume_token: it belongs to another team"
            return NotRun(Reason.UNAUTHORISED, detail)
        if body.offset < token.offset:
            detail = f"offset: {body.offset}; allowed: {token.offset} or more"
            return NotRun(Reason.INVALID, detail)
        work = self._replica.catalog.class_of_work(token.class_name)
        if work is None:
            detail = f"resume_token: class {token.class_name!r} is no longer configured"
            return Failed(Reason.NOT_CONFIGURED, detail)
        return self._streams.resume(token, body.offset, work)

    def _stream_response(self, opened: OpenedStream) -> HTTPResponse:
        headers = {
            "Content-Type": _EVENT_STREAM,
            "Cache-Control": "no-store",
            "X-Request-Id": opened.request_id,
        }
        return HTTPResponse(self._stream_body(opened), 200, headers)

    def _stream_body(self, opened: OpenedStream) -> Iterator[bytes]:
        with self._gate.request():
            for item in opened.events:
                if not isinstance(item, StreamEnd):
                    yield item.data
                elif not isinstance(item.outcome, Done):
                    ended = encode_json(ended_body(item.outcome))
                    yield b"event: ended\ndata: " + ended + b"\n\n"

    def _authorise(self) -> Team | NotRun:
        team = self._replica.catalog.team_by_token(read_token_sha256())
        if team is None:
            detail = "Authorization: no team has this bearer token"
            return NotRun(Reason.UNAUTHORISED, detail)
        return team

    def _read_request(self) -> WorkRequest | NotRun:
        if not self._gate.is_open():
            return self._refuse_closed()
        team = self._authorise()
        if isinstance(team, NotRun):
            return team
        body = read_body(SubmitBody, self._settings.max_body_bytes)
        if isinstance(body, NotRun):
            return body
        return self._build_request(team, body)

    def _build_request(self, team: Team, body: SubmitBody) -> WorkRequest | NotRun:
        catalog = self._replica.catalog
        work = catalog.class_of_work(body.work)
        if work is None:
            allowed = ", ".join(sorted(c.name for c in catalog.classes_of_work()))
            detail = f"class: {body.work!r} is unknown; allowed: {allowed or 'none'}"
            return NotRun(Reason.INVALID, detail)
        key = request.get_header("Idempotency-Key", "")
        if len(key) > _MAX_KEY_CHARS:
            detail = (
                f"Idempotency-Key: {len(key)} characters; allowed: {_MAX_KEY_CHARS}"
            )
            return NotRun(Reason.INVALID, detail)
        deadline_ms = body.deadline_ms
        if deadline_ms is None:
            deadline_ms = 2 * work.target_ms
        most_ms = int(self._settings.max_deadline_s * 1000)
        if not 1 <= deadline_ms <= most_ms:
            detail = f"deadline_ms: {deadline_ms}; allowed: 1 to {most_ms}"
            return NotRun(Reason.INVALID, detail)
        pipeline = catalog.pipeline(work.pipeline)
        assert pipeline is not None, "the catalog was checked for references"
        now = self._clock.monotonic()
        return WorkRequest(
            self._new_id(),
            team,
            work,
            pipeline,
            body.input.encode(),
            now,
            now + deadline_ms / 1000,
            key,
            float(body.expected_bytes),
        )

    def _refuse_closed(self) -> NotRun:
        if self._gate.is_closed_for_stop():
            return NotRun(
                Reason.STOPPING, "this VM is stopping; use another entry", 0.0
            )
        detail = "this VM is not yet counted in the acceptance of configuration"
        return NotRun(Reason.NOT_CONFIGURED, detail)

    def _end(self, outcome: Outcome, request_id: str = "") -> HTTPResponse:
        entries = None
        if isinstance(outcome, NotRun):
            self._metrics.count("refusals_total", reason=outcome.reason.value)
            if outcome.reason in (Reason.STOPPING, Reason.NOT_CONFIGURED):
                entries = self._directory.answer().entries
        return to_response(outcome, request_id, entries)
