"""Stand-in for a model engine and for a pool of encoders, retrievers or rerankers.

It batches up to a capacity, queues by priority, streams tokens as server-sent events,
resumes and cancels streams, and reports its load with a lag. Its text is a function of
the input alone, so that a test can compute what an answer must be.
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
from sapphirehoist.standins.orders import Order, OrderBook
from sapphirehoist.standins.prefix_cache import PrefixCache
from sapphirehoist.standins.server import drop_connection

_DEFAULT_TOKENS = 16
_CACHED_PREFIXES = 64
_CACHED_PART = 0.3
_TOKENS = re.compile(rb"tokens=(\d+)")
_WORDS = ("box", "depot", "booth", "door", "fish", "invoice", "reel", "tape")


def engine_tokens(body: bytes) -> list[str]:
    """Return the tokens that the engine generates for `body`."""
    found = _TOKENS.search(body)
    wanted = int(found.group(1)) if found else _DEFAULT_TOKENS
    seed = sha256(body).digest()
    return [f"{_WORDS[seed[i % 32] % 8]}-{i} " for i in range(wanted)]


def stage_output(stage: str, body: bytes) -> bytes:
    """Return the output of a stage that does not generate."""
    return body + f"\n{stage}:{sha256(body).hexdigest()[:8]}".encode()


@dataclass(slots=True)
class _Job:
    request_id: str
    stage: str
    tokens: list[str]
    produced: int = 0
    is_cancelled: bool = False
    is_cached: bool = False
    changed: Event = field(default_factory=Event)

    @property
    def is_finished(self) -> bool:
        return self.is_cancelled or self.produced >= len(self.tokens)


class EngineStandIn:
    """One engine.

    Switches: ``slow`` (factor on every time), ``leaving`` (bool), ``incarnation``
    (int), ``drop`` (bool: close connections without an answer), ``load_lag_s``
    (float), ``wrong_id`` (bool: answer for another request), ``break_after`` (int:
    close each stream once after so many tokens), ``events_lag_s`` (float),
    ``events_gap`` (int: one cache event in so many is lost).

    Parameters
    ----------
    capacity : int
        Calls that run at once.
    base_s, token_s : float
        Time before the first token, and between tokens.
    generates : bool
        Whether its stage generates tokens.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
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
        self._load_lag_s = 0.0
        self._reported_load = 0
        self._load = 0
        self._order = count()
        self._queue: PriorityQueue = PriorityQueue()
        self._jobs: dict[str, _Job] = {}
        self._record: list[dict[str, object]] = []
        self._broken: set[str] = set()
        self._cache = PrefixCache(_CACHED_PREFIXES)
        self._orders = OrderBook(checks_fencing)
        for _ in range(capacity):
            gevent.spawn(self._run_slot)
        self.app = Bottle()
        self.app.post("/v1/stages/<stage>", callback=self._call)
        self.app.get("/v1/streams/<stream_id>", callback=self._resume)
        self.app.delete("/v1/requests/<request_id>", callback=self._cancel)
        self.app.get("/v1/cache-events", callback=self._cache_events)
        self.app.get("/v1/orders", callback=self._read_order)
        self.app.post("/v1/orders", callback=self._take_order)
        self.app.post("/control", callback=self._control)
        self.app.get("/record", callback=lambda: json.dumps(self._record))

    def _run_slot(self) -> None:
        while True:
            _, _, job = self._queue.get()
            base_s = self._base_s * (_CACHED_PART if job.is_cached else 1.0)
            gevent.sleep(base_s * self._slow)
            while not job.is_finished:
                if job.tokens:
                    gevent.sleep(self._token_s * self._slow)
                job.produced += 1
                job.changed.set()
            job.changed.set()
            self._change_load(-1)

    def _change_load(self, by: int) -> None:
        self._load += by
        if self._load_lag_s:
            load = self._load
            gevent.spawn_later(self._load_lag_s, self._report_load, load)
        else:
            self._reported_load = self._load

    def _report_load(self, load: int) -> None:
        self._reported_load = load

    def _call(self, stage: str) -> HTTPResponse:
        if self._drop:
            drop_connection()
        if self._leaving:
            return HTTPResponse("leaving", 503, self._signs())
        body = request.body.read()
        if self._wrong_id:
            body = b"another request"
        request_id = request.get_header("X-Request-Id")
        tokens = engine_tokens(body) if self._generates else [""]
        job = _Job(request_id, stage, tokens)
        job.is_cached = self._cache.use(body)
        self._jobs[request_id] = job
        self._record.append(
            {
                "request_id": request_id,
                "stage": stage,
                "team": request.get_header("X-Team"),
                "incarnation": self._incarnation,
            }
        )
        priority = int(request.get_header("X-Priority", "0"))
        self._change_load(1)
        self._queue.put((priority, next(self._order), job))
        headers = self._headers(stage, request_id)
        if request.get_header("Accept") == "text/event-stream":
            headers["X-Stream-Id"] = request_id
            headers["Content-Type"] = "text/event-stream"
            return HTTPResponse(self._events(job, 0), 200, headers)
        while not job.is_finished:
            job.changed.clear()
            job.changed.wait()
        if self._drop:
            drop_connection()
        text = "".join(job.tokens).encode() if self._generates else b""
        output = text if self._generates else stage_output(stage, body)
        headers = self._headers(stage, request_id)
        if self._generates:
            headers["X-Tokens"] = str(len(job.tokens))
        return HTTPResponse(output, 200, headers)

    def _resume(self, stream_id: str) -> HTTPResponse:
        job = self._jobs.get(stream_id)
        if job is None:
            return HTTPResponse("no such stream", 404)
        offset = int(request.query["offset"])
        headers = {**self._headers(job.stage, stream_id), "X-Stream-Id": stream_id}
        return HTTPResponse(self._events(job, offset), 200, headers)

    def _events(self, job: _Job, offset: int) -> Iterator[bytes]:
        sent = end = 0
        while True:
            block = b""
            while sent < job.produced:
                token = job.tokens[sent].encode()
                sent += 1
                end += len(token)
                if end > offset:
                    part = token[max(0, offset - end + len(token)) :]
                    data = json.dumps(part.decode()).encode()
                    block += b"id: %d\ndata: %s\n\n" % (end, data)
            is_due = self._break_after and sent >= self._break_after
            if is_due and job.request_id not in self._broken:
                self._broken.add(job.request_id)
                drop_connection()
            if job.is_finished:
                yield block + (
                    b"" if job.is_cancelled else b"event: done\ndata: {}\n\n"
                )
                return
            if block:
                yield block
            job.changed.clear()
            job.changed.wait()

    def _cancel(self, request_id: str) -> str:
        job = self._jobs.get(request_id)
        if job is not None and not job.is_finished:
            job.is_cancelled = True
            job.changed.set()
            self._record.append({"request_id": request_id, "stage": "cancel"})
        return "ok"

    def _signs(self) -> dict[str, str]:
        return {
            "X-Incarnation": str(self._incarnation),
            "X-Leaving": str(int(self._leaving)),
            "X-Load": str(self._reported_load),
        }

    def _headers(self, stage: str, request_id: str) -> dict[str, str]:
        answered = "another-request" if self._wrong_id else request_id
        return {
            **self._signs(),
            "X-Request-Id": answered,
            "X-Stage": stage,
            "X-Attempt": request.get_header("X-Attempt", "1"),
        }

    def _cache_events(self) -> HTTPResponse:
        after = int(request.query.get("after", "0"))
        return HTTPResponse(encode_json(self._cache.events_after(after)), 200)

    def _read_order(self) -> HTTPResponse:
        return HTTPResponse(encode_json(self._orders.current), 200)

    def _take_order(self) -> HTTPResponse:
        order = decode_json(request.body.read(), Order)
        if not isinstance(order, Order):
            return HTTPResponse(order.detail, 400)
        is_taken = self._orders.take(order)
        return HTTPResponse(encode_json(self._orders.current), 200 if is_taken else 409)

    def _control(self) -> str:
        for name, value in json.loads(request.body.read()).items():
            if name == "events_lag_s":
                self._cache.lag_s = value
                continue
            if name == "events_gap":
                self._cache.gap_every = value
                continue
            assert hasattr(self, f"_{name}"), name
            setattr(self, f"_{name}", value)
        return "ok"
