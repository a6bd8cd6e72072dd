"""Streams the last stage to the caller, and resumes streams at any entry VM."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

import gevent
import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ClassOfWork, Endpoint
from sapphirehoist.endpoints import (
    EndpointClient,
    Stream,
    StreamBroken,
    StreamResume,
)
from sapphirehoist.membership import Fleet
from sapphirehoist.messages import encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason
from sapphirehoist.peers import PeerBus, PeerMessage
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import WorkRequest
from sapphirehoist.pipeline.resume import ResumeSigner, ResumeToken
from sapphirehoist.pipeline.runner import PipelineRunner
from sapphirehoist.pipeline.stages import StageOpened, StageRunner

_ORPHAN_GRACE_S = 5.0
_TAKEN_TIMEOUT_S = 1.0
_RESUMES_PER_STREAM = 2
_CALLER_GONE = "the caller went away"
_EVENT_START = b"id: "
_NEXT_EVENT_START = b"\nid: "
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class StreamTaken(PeerMessage, frozen=True, array_like=True):
    """The sender resumed a stream that the receiver opened."""

    KIND: ClassVar[str] = "pipeline.stream_taken"

    request_id: str


class StreamTakenAck(PeerMessage, frozen=True, array_like=True):
    """The receiver will not cancel the stream."""

    KIND: ClassVar[str] = "pipeline.stream_taken_ack"


class Started(msgspec.Struct, frozen=True):
    """Data of the first event: what the caller needs to resume."""

    request_id: str
    resume_token: str


@dataclass(frozen=True, slots=True)
class StreamBlock:
    """Whole server-sent events, ready to be sent to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """How the stream ended."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class OpenedStream:
    """An open stream; `events` yields blocks and then one end."""

    request_id: str
    events: Iterator[StreamBlock | StreamEnd]


@dataclass(slots=True)
class _Flow:
    """Progress of one stream."""

    request_id: str
    endpoint: Endpoint
    stream: Stream
    offset: int
    deadline: float
    tokens: int = 0
    last_block: bytes = b""
    is_complete: bool = False
    is_taken: bool = False

    def note_offset(self) -> None:
        """Take the offset behind the last event that was passed on."""
        ids = _EVENT_ID.findall(self.last_block)
        if ids:
            self.offset = int(ids[-1])


class StreamRunner:
    """Opens and resumes streams.

    Parameters
    ----------
    runner : PipelineRunner
        Admits requests and runs the stages before the last.
    stages : StageRunner
        Opens the last stage.
    client : EndpointClient
        Resumes and cancels engine streams.
    pools : EndpointPools
        Finds engines by name.
    signer : ResumeSigner
        Signs resume tokens.
    fleet, bus : Fleet, PeerBus
        Tell the VM that opened a stream that it was resumed elsewhere.
    clock, metrics : Clock, Metrics
        Time and counters.
    """

    __slots__ = (
        "_bus",
        "_client",
        "_clock",
        "_fleet",
        "_flows",
        "_metrics",
        "_orphans",
        "_pools",
        "_runner",
        "_signer",
        "_stages",
    )

    def __init__(
        self,
        runner: PipelineRunner,
        stages: StageRunner,
        client: EndpointClient,
        pools: EndpointPools,
        signer: ResumeSigner,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._runner = runner
        self._stages = stages
        self._client = client
        self._pools = pools
        self._signer = signer
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._flows: dict[str, _Flow] = {}
        self._orphans: dict[str, gevent.Greenlet] = {}
        bus.subscribe(StreamTaken, self._handle_taken)

    def open(self, req: WorkRequest) -> OpenedStream | Outcome:
        """Run `req` until its last stage streams."""
        if self._runner.needs_claim(req):
            detail = (
                "stream: a pipeline with a stage that may not be repeated; use whole"
            )
            return NotRun(Reason.INVALID, detail)
        refusal = self._runner.admit(req)
        if refusal is not None:
            return refusal
        opened: StageOpened | Outcome = Failed(Reason.CALLER_GONE, _CALLER_GONE)
        try:
            opened = self._open_last_stage(req)
        finally:
            if not isinstance(opened, StageOpened):
                self._runner.finish(req, opened)
        if not isinstance(opened, StageOpened):
            return opened
        flow = _Flow(req.request_id, opened.endpoint, opened.stream, 0, req.deadline)
        return OpenedStream(req.request_id, self._run_opened(req, opened, flow))

    def resume(
        self, token: ResumeToken, offset: int, work: ClassOfWork
    ) -> OpenedStream | Outcome:
        """Continue the stream that `token` names from `offset`."""
        endpoint = self._pools.get(token.endpoint)
        if endpoint is None:
            detail = f"resume_token: engine {token.endpoint!r} is no longer configured"
            return Failed(Reason.NO_ENDPOINT, detail)
        now_ms = int(self._clock.now().timestamp() * 1000)
        remaining_s = (token.deadline_ms - now_ms) / 1000
        if remaining_s <= 0:
            return Failed(Reason.DEADLINE, "the deadline of the request passed")
        self._take_over(token)
        resume = StreamResume(token.stream_id, offset, remaining_s)
        stream = self._client.resume_stream(endpoint, resume)
        if not isinstance(stream, Stream):
            return Failed(Reason.ENDPOINT_FAILED, stream.detail)
        deadline = self._clock.monotonic() + remaining_s
        flow = _Flow(token.request_id, endpoint, stream, offset, deadline)
        self._metrics.count("streams_resumed_total", work=work.name)
        return OpenedStream(token.request_id, self._run_resumed(token, flow))

    def _open_last_stage(self, req: WorkRequest) -> StageOpened | Outcome:
        body = self._runner.run_stages_before_last(req)
        if not isinstance(body, bytes):
            return body
        return self._stages.open_stream(req, req.pipeline.stages[-1], body)

    def _run_opened(
        self, req: WorkRequest, opened: StageOpened, flow: _Flow
    ) -> Iterator[StreamBlock | StreamEnd]:
        started = self._clock.monotonic()
        outcome: Outcome = Failed(Reason.CALLER_GONE, _CALLER_GONE)
        self._flows[flow.request_id] = flow
        try:
            yield StreamBlock(self._started_event(req, flow))
            first = True
            for item in self._pass_on(flow):
                if isinstance(item, StreamEnd):
                    outcome = item.outcome
                elif first:
                    first = False
                    self._metrics.observe_latency(
                        "first_token_seconds",
                        self._clock.monotonic() - req.started_at,
                        work=req.work.name,
                    )
                yield item
        finally:
            seconds = self._clock.monotonic() - started
            stage = req.pipeline.stages[-1]
            flow.note_offset()
            self._stages.learn_stream_end(
                req, stage, opened, seconds, flow.offset, flow.tokens
            )
            self._runner.finish(req, outcome)
            self._leave(flow)

    def _run_resumed(
        self, token: ResumeToken, flow: _Flow
    ) -> Iterator[StreamBlock | StreamEnd]:
        self._flows[flow.request_id] = flow
        try:
            own = msgspec.structs.replace(token, vm=self._fleet.member.vm)
            started = Started(flow.request_id, self._signer.sign(own))
            yield StreamBlock(_event("started", encode_json(started)))
            yield from self._pass_on(flow)
        finally:
            self._leave(flow)

    def _pass_on(self, flow: _Flow) -> Iterator[StreamBlock | StreamEnd]:
        """Yield the engine's events; continue a broken stream where it broke."""
        for _ in range(1 + _RESUMES_PER_STREAM):
            broken = None
            for item in flow.stream.events():
                if isinstance(item, StreamBroken):
                    broken = item
                    break
                if item.startswith(_EVENT_START):
                    flow.last_block = item
                    flow.tokens += 1 + item.count(_NEXT_EVENT_START)
                yield StreamBlock(item)
                if self._clock.monotonic() >= flow.deadline:
                    yield StreamEnd(Failed(Reason.DEADLINE, "the deadline passed"))
                    return
            if broken is None:
                flow.is_complete = True
                yield StreamEnd(Done(b""))
                return
            self._metrics.count("streams_broken_total")
            if not self._reopen(flow):
                break
        yield StreamEnd(Failed(Reason.CONNECTION_LOST, "the engine's stream broke"))

    def _reopen(self, flow: _Flow) -> bool:
        flow.stream.close()
        remaining_s = flow.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return False
        flow.note_offset()
        resume = StreamResume(flow.stream.stream_id, flow.offset, remaining_s)
        stream = self._client.resume_stream(flow.endpoint, resume)
        if not isinstance(stream, Stream):
            return False
        flow.stream = stream
        return True

    def _started_event(self, req: WorkRequest, flow: _Flow) -> bytes:
        left_ms = int((req.deadline - self._clock.monotonic()) * 1000)
        now_ms = int(self._clock.now().timestamp() * 1000)
        token = ResumeToken(
            req.team.name,
            req.request_id,
            req.work.name,
            flow.endpoint.name,
            flow.stream.stream_id,
            0,
            self._fleet.member.vm,
            now_ms + left_ms,
        )
        started = Started(req.request_id, self._signer.sign(token))
        return _event("started", encode_json(started))

    def _leave(self, flow: _Flow) -> None:
        """Release the stream; cancel it later unless the caller resumes it."""
        flow.stream.close()
        if self._flows.get(flow.request_id) is flow:
            del self._flows[flow.request_id]
        if not flow.is_complete and not flow.is_taken:
            task = gevent.spawn(self._cancel_later, flow)
            self._orphans[flow.request_id] = task

    def _cancel_later(self, flow: _Flow) -> None:
        left_s = flow.deadline - self._clock.monotonic()
        self._clock.sleep(min(_ORPHAN_GRACE_S, max(left_s, 0.0)))
        self._orphans.pop(flow.request_id, None)
        self._client.cancel(flow.endpoint, flow.request_id)
        self._metrics.count("streams_cancelled_total")

    def _take_over(self, token: ResumeToken) -> None:
        """Keep the VM that served the stream before from cancelling it."""
        self._give_away(token.request_id)
        news = self._fleet.view.get(token.vm)
        if news is None or news.member is None or token.vm == self._fleet.member.vm:
            return
        notice = StreamTaken(token.request_id)
        address = news.member.peer_address
        self._bus.ask(address, notice, StreamTakenAck, _TAKEN_TIMEOUT_S)

    def _handle_taken(self, sender: str, notice: StreamTaken) -> StreamTakenAck:
        self._give_away(notice.request_id)
        return StreamTakenAck()

    def _give_away(self, request_id: str) -> None:
        """Do not cancel the stream, also if its caller is not yet seen to be gone."""
        flow = self._flows.get(request_id)
        if flow is not None:
            flow.is_taken = True
        task = self._orphans.pop(request_id, None)
        if task is not None:
            task.kill(block=False)


def _event(name: str, data: bytes) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)
