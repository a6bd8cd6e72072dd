"""Stand-in for a model engine and for a pool of encoders, retrievers or rerankers.

The stand-in runs a bounded number of calls concurrently, queues the others by priority,
streams tokens as server-sent events, resumes and cancels streams, and reports its load
with a delay. Its output depends on the input alone, so a test can compute the expected
response.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import count

import gevent
from bottle import Bottle, HTTPResponse, request
from gevent.event import Event
from gevent.queue import PriorityQueue

from sapphirehoist.messages import decode_json, encode_json
from sapphirehoist.standins.assignments import AssignmentState, ModelAssignment
from sapphirehoist.standins.prefix_cache import PrefixCache
from sapphirehoist.standins.server import drop_connection

_DEFAULT_TOKEN_COUNT = 16
_CACHE_CAPACITY_PREFIXES = 64
_CACHE_HIT_BASE_TIME_RATIO = 0.3
_TOKEN_COUNT_PATTERN = re.compile(rb"tokens=(\d+)")
_WORDS = ("box", "depot", "booth", "door", "fish", "invoice", "reel", "tape")


def generate_tokens(body: bytes) -> list[str]:
    """Return the tokens that the engine generates for `body`.

    ``tokens=N`` in `body` sets the number of tokens.
    """
    match = _TOKEN_COUNT_PATTERN.search(body)
    token_count = int(match.group(1)) if match else _DEFAULT_TOKEN_COUNT
    digest = sha256(body).digest()
    return [f"{_WORDS[digest[i % 32] % 8]}-{i} " for i in range(token_count)]


def compute_stage_output(stage: str, body: bytes) -> bytes:
    """Return the output of a stage that does not generate tokens."""
    return body + f"\n{stage}:{sha256(body).hexdigest()[:8]}".encode()


@dataclass(slots=True)
class _Job:
    request_id: str
    stage: str
    tokens: list[str]
    produced_count: int = 0
    is_cancelled: bool = False
    is_prefix_cached: bool = False
    state_changed: Event = field(default_factory=Event)

    @property
    def is_finished(self) -> bool:
        return self.is_cancelled or self.produced_count >= len(self.tokens)


class EngineStandIn:
    """One engine, or one endpoint of a pool.

    ``POST /control`` sets the switches ``slow`` (float: factor on every duration),
    ``leaving`` (bool: refuse calls as a leaving endpoint does), ``incarnation`` (int),
    ``drop`` (bool: close connections without a response), ``load_lag_s`` (float: delay
    of load reports), ``wrong_id`` (bool: respond for another request), ``break_after``
    (int: close each stream once when that many tokens are produced), ``resume_as``
    (str: resume streams with a ``text``, from their ``begin`` or with ``nothing``),
    ``events_lag_s``
    (float: delay of cache events) and ``events_gap`` (int: every n-th cache event is
    lost).

    Parameters
    ----------
    capacity : int
        Maximum number of concurrent calls.
    base_s, token_s : float
        Time before the first token and between tokens, in seconds.
    generates : bool
        Whether the stage generates tokens.
    checks_fencing : bool
        Whether a model assignment with an outdated fencing token is rejected.
    """

    def __init__(
        self,
        capacity: int,
        base_s: float,
        token_s: float,
        generates: bool,
        checks_fencing: bool = False,
    ) -> None:
        self._capacity = capacity
        self._base_s = base_s
        self._token_s = token_s
        self._generates = generates
        self._slow = 1.0
        self._leaving = False
        self._incarnation = 1
        self._drop = False
        self._wrong_id = False
        self._break_after = 0
        self._resume_as = ""
        self._load_lag_s = 0.0
        self._reported_load = 0
        self._load = 0
        self._sequence = count()
        self._queue: PriorityQueue = PriorityQueue()
        self._jobs: dict[str, _Job] = {}
        self._recorded_calls: list[dict[str, object]] = []
        self._interrupted_streams: set[str] = set()
        self._prefix_cache = PrefixCache(_CACHE_CAPACITY_PREFIXES)
        self._assignments = AssignmentState(checks_fencing)
        for _ in range(capacity):
            gevent.spawn(self._run_slot)
        self.app = Bottle()
        self.app.post("/v1/stages/<stage>", callback=self._run_stage)
        self.app.get("/v1/streams/<stream_id>", callback=self._resume_stream)
        self.app.delete("/v1/requests/<request_id>", callback=self._cancel_request)
        self.app.get("/v1/cache-events", callback=self._read_cache_events)
        self.app.get("/v1/orders", callback=self._read_assignment)
        self.app.post("/v1/orders", callback=self._apply_assignment)
        self.app.post("/control", callback=self._set_switches)
        self.app.get("/record", callback=lambda: json.dumps(self._recorded_calls))

    def _run_slot(self) -> None:
        while True:
            _, _, job = self._queue.get()
            base_s = self._base_s * (
                _CACHE_HIT_BASE_TIME_RATIO if job.is_prefix_cached else 1.0
            )
            gevent.sleep(base_s * self._slow)
            while not job.is_finished:
                if job.tokens:
                    gevent.sleep(self._token_s * self._slow)
                job.produced_count += 1
                job.state_changed.set()
            job.state_changed.set()
            self._change_load(-1)

    def _change_load(self, delta: int) -> None:
        self._load += delta
        if self._load_lag_s:
            load = self._load
            gevent.spawn_later(self._load_lag_s, self._report_load, load)
        else:
            self._reported_load = self._load

    def _report_load(self, load: int) -> None:
        self._reported_load = load

    def _run_stage(self, stage: str) -> HTTPResponse:
        if self._drop:
            drop_connection()
        request_id = request.get_header("X-Request-Id")
        if self._leaving:
            headers = self._response_headers(stage, request_id)
            return HTTPResponse("leaving", 503, headers)
        body = request.body.read()
        if self._wrong_id:
            body = b"another request"
        tokens = generate_tokens(body) if self._generates else [""]
        job = _Job(request_id, stage, tokens)
        job.is_prefix_cached = self._prefix_cache.access(body)
        self._jobs[request_id] = job
        self._recorded_calls.append(
            {
                "request_id": request_id,
                "stage": stage,
                "team": request.get_header("X-Team"),
                "incarnation": self._incarnation,
            }
        )
        priority = int(request.get_header("X-Priority", "0"))
        self._change_load(1)
        self._queue.put((priority, next(self._sequence), job))
        headers = self._response_headers(stage, request_id)
        if request.get_header("Accept") == "text/event-stream":
            headers["X-Stream-Id"] = request_id
            headers["Content-Type"] = "text/event-stream"
            return HTTPResponse(self._stream_events(job, 0), 200, headers)
        while not job.is_finished:
            job.state_changed.clear()
            job.state_changed.wait()
        if self._drop:
            drop_connection()
        text = "".join(job.tokens).encode() if self._generates else b""
        output = text if self._generates else compute_stage_output(stage, body)
        headers = self._response_headers(stage, request_id)
        if self._generates:
            headers["X-Tokens"] = str(len(job.tokens))
        return HTTPResponse(output, 200, headers)

    def _resume_stream(self, stream_id: str) -> HTTPResponse:
        job = self._jobs.get(stream_id)
        if job is None:
            return HTTPResponse("no such stream", 404)
        offset = int(request.query["offset"])
        headers = {
            **self._response_headers(job.stage, stream_id),
            "X-Stream-Id": stream_id,
        }
        if self._resume_as == "text":
            headers["Content-Type"] = "text/plain"
            return HTTPResponse("upstream error\n\n", 200, headers)
        if self._resume_as == "nothing":
            return HTTPResponse("", 200, headers)
        if self._resume_as == "begin":
            offset = 0
        return HTTPResponse(self._stream_events(job, offset), 200, headers)

    def _stream_events(self, job: _Job, offset: int) -> Iterator[bytes]:
        sent_count = end_offset = 0
        while True:
            block = b""
            while sent_count < job.produced_count:
                token = job.tokens[sent_count].encode()
                sent_count += 1
                end_offset += len(token)
                if end_offset > offset:
                    unsent_text = token[max(0, offset - end_offset + len(token)) :]
                    data = json.dumps(unsent_text.decode()).encode()
                    block += b"id: %d\ndata: %s\n\n" % (end_offset, data)
            is_interruption_due = self._break_after and sent_count >= self._break_after
            if is_interruption_due and job.request_id not in self._interrupted_streams:
                self._interrupted_streams.add(job.request_id)
                drop_connection()
            if job.is_finished:
                yield block + (
                    b"" if job.is_cancelled else b"event: done\ndata: {}\n\n"
                )
                return
            if block:
                yield block
            job.state_changed.clear()
            job.state_changed.wait()

    def _cancel_request(self, request_id: str) -> str:
        job = self._jobs.get(request_id)
        if job is not None and not job.is_finished:
            job.is_cancelled = True
            job.state_changed.set()
            self._recorded_calls.append({"request_id": request_id, "stage": "cancel"})
        return "ok"

    def _state_headers(self) -> dict[str, str]:
        return {
            "X-Incarnation": str(self._incarnation),
            "X-Leaving": str(int(self._leaving)),
            "X-Load": str(self._reported_load),
        }

    def _response_headers(self, stage: str, request_id: str) -> dict[str, str]:
        response_id = "another-request" if self._wrong_id else request_id
        return {
            **self._state_headers(),
            "X-Request-Id": response_id,
            "X-Stage": stage,
            "X-Attempt": request.get_header("X-Attempt", "1"),
        }

    def _read_cache_events(self) -> HTTPResponse:
        after = int(request.query.get("after", "0"))
        return HTTPResponse(encode_json(self._prefix_cache.events_after(after)), 200)

    def _read_assignment(self) -> HTTPResponse:
        return HTTPResponse(encode_json(self._assignments.current), 200)

    def _apply_assignment(self) -> HTTPResponse:
        assignment = decode_json(request.body.read(), ModelAssignment)
        if not isinstance(assignment, ModelAssignment):
            return HTTPResponse(assignment.detail, 400)
        is_applied = self._assignments.apply(assignment)
        return HTTPResponse(
            encode_json(self._assignments.current), 200 if is_applied else 409
        )

    def _set_switches(self) -> str:
        for name, value in json.loads(request.body.read()).items():
            if name == "events_lag_s":
                self._prefix_cache.publish_delay_s = value
                continue
            if name == "events_gap":
                self._prefix_cache.lost_event_interval = value
                continue
            assert hasattr(self, f"_{name}"), name
            setattr(self, f"_{name}", value)
        return "ok"
