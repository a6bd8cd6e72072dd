"""Relays the event stream of the last stage, and resumes streams on any entry VM."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

import gevent
import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ClassOfWork, Endpoint
from sapphirehoist.decisions import StreamContinuity, parse_event_id
from sapphirehoist.endpoints import (
    FINAL_EVENT,
    EndpointClient,
    Stream,
    StreamBroken,
    StreamResumeCall,
)
from sapphirehoist.membership import Fleet
from sapphirehoist.messages import encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason
from sapphirehoist.peers import PeerBus, PeerMessage
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import PipelineRequest
from sapphirehoist.pipeline.resume import ResumeSigner, ResumeToken
from sapphirehoist.pipeline.runner import PipelineRunner
from sapphirehoist.pipeline.stages import StageRunner, StageStream

_RESUME_GRACE_S = 5.0
_TAKEOVER_TIMEOUT_S = 1.0
_MAX_RECONNECTS = 2
_CALLER_GONE_DETAIL = "the caller went away"

_logger = logging.getLogger(__name__)


class StreamTakeover(PeerMessage, frozen=True, array_like=True):
    """Tells the receiver that the sender resumed a stream the receiver relayed."""

    KIND: ClassVar[str] = "pipeline.stream_taken"

    request_id: str


class StreamTakeoverAck(PeerMessage, frozen=True, array_like=True):
    """Confirms that the stream will not be cancelled."""

    KIND: ClassVar[str] = "pipeline.stream_taken_ack"


class StreamStarted(msgspec.Struct, frozen=True):
    """Data of the first event, with which the caller can resume the stream."""

    request_id: str
    resume_token: str


@dataclass(frozen=True, slots=True)
class StreamBlock:
    """Block of complete server-sent events, encoded for the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Outcome of a stream; the last item of `OpenedStream.events`."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class OpenedStream:
    """Open stream, whose `events` yields blocks followed by one `StreamEnd`."""

    request_id: str
    events: Iterator[StreamBlock | StreamEnd]


@dataclass(slots=True)
class _StreamRelay:
    """Progress of a stream that this node relays.

    Attributes
    ----------
    request_id : str
        The request that opened the stream.
    endpoint, stream : Endpoint, Stream
        The engine and its stream; `stream` is replaced on a reconnect.
    continuity : StreamContinuity
        Verifies what the engine sends; ids are offsets, in bytes of text.
    deadline : float
        Monotonic time of the request's deadline, in seconds.
    is_complete : bool
        Whether the engine ended the stream normally.
    is_taken_over : bool
        Whether the caller resumed the stream through another connection.
    """

    request_id: str
    endpoint: Endpoint
    stream: Stream
    continuity: StreamContinuity
    deadline: float
    is_complete: bool = False
    is_taken_over: bool = False

    @classmethod
    def from_offset(
        cls,
        request_id: str,
        endpoint: Endpoint,
        stream: Stream,
        offset: int,
        deadline: float,
    ) -> _StreamRelay:
        """Return the relay of a stream whose caller has the text before `offset`."""
        last_event_id = str(offset) if offset else ""
        continuity = StreamContinuity(last_event_id, FINAL_EVENT, are_ids_offsets=True)
        return cls(request_id, endpoint, stream, continuity, deadline)

    @property
    def offset(self) -> int:
        """Return the offset after the last relayed event, in bytes of text."""
        return max(0, parse_event_id(self.continuity.last_event_id))


class StreamRunner:
    """Opens, relays and resumes streams.

    Parameters
    ----------
    runner : PipelineRunner
        Admits requests and runs the stages before the last.
    stages : StageRunner
        Opens the stream of the last stage.
    client : EndpointClient
        Resumes and cancels engine streams.
    pools : EndpointPools
        Finds engines by name.
    signer : ResumeSigner
        Signs resume tokens.
    fleet, bus : Fleet, PeerBus
        Address of, and messages to, the VM that relayed a resumed stream before.
    clock, metrics : Clock, Metrics
        Time source and counters.
    """

    __slots__ = (
        "_bus",
        "_client",
        "_clock",
        "_fleet",
        "_metrics",
        "_pending_cancellations",
        "_pools",
        "_relays",
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
        self._relays: dict[str, _StreamRelay] = {}
        self._pending_cancellations: dict[str, gevent.Greenlet] = {}
        bus.subscribe(StreamTakeover, self._handle_takeover)

    def open(self, req: PipelineRequest) -> OpenedStream | Outcome:
        """Run `req` until the stream of its last stage is open.

        A request with a stage that is not idempotent is refused.
        """
        if self._runner.needs_claim(req):
            detail = (
                "stream: a pipeline with a stage that may not be repeated; use whole"
            )
            return NotRun(Reason.INVALID, detail)
        refusal = self._runner.admit(req)
        if refusal is not None:
            return refusal
        result: StageStream | Outcome = Failed(Reason.CALLER_GONE, _CALLER_GONE_DETAIL)
        try:
            result = self._open_last_stage(req)
        finally:
            if not isinstance(result, StageStream):
                self._runner.finish(req, result)
        if not isinstance(result, StageStream):
            return result
        relay = _StreamRelay.from_offset(
            req.request_id, result.endpoint, result.stream, 0, req.deadline
        )
        return OpenedStream(req.request_id, self._relay_opened(req, result, relay))

    def resume(
        self, token: ResumeToken, offset: int, class_of_work: ClassOfWork
    ) -> OpenedStream | Outcome:
        """Continue a stream at a byte offset, on this VM.

        Parameters
        ----------
        token : ResumeToken
            Verified token that identifies the stream.
        offset : int
            Offset to continue from, in bytes of the generated text.
        class_of_work : ClassOfWork
            Class of work of the request, for metrics.
        """
        endpoint = self._pools.get(token.endpoint)
        if endpoint is None:
            detail = f"resume_token: engine {token.endpoint!r} is no longer configured"
            return Failed(Reason.NO_ENDPOINT, detail)
        now_ms = int(self._clock.now().timestamp() * 1000)
        remaining_s = (token.deadline_ms - now_ms) / 1000
        if remaining_s <= 0:
            return Failed(Reason.DEADLINE, "the deadline of the request passed")
        self._take_over_stream(token)
        resume = StreamResumeCall(token.stream_id, offset, remaining_s)
        stream = self._client.resume_stream(endpoint, resume)
        if not isinstance(stream, Stream):
            return Failed(Reason.ENDPOINT_FAILED, stream.detail)
        deadline = self._clock.monotonic() + remaining_s
        relay = _StreamRelay.from_offset(
            token.request_id, endpoint, stream, offset, deadline
        )
        self._metrics.count("streams_resumed_total", work=class_of_work.name)
        return OpenedStream(token.request_id, self._relay_resumed(token, relay))

    def _open_last_stage(self, req: PipelineRequest) -> StageStream | Outcome:
        body = self._runner.run_stages_before_last(req)
        if not isinstance(body, bytes):
            return body
        return self._stages.open_stream(req, req.pipeline.stages[-1], body)

    def _relay_opened(
        self, req: PipelineRequest, stage_stream: StageStream, relay: _StreamRelay
    ) -> Iterator[StreamBlock | StreamEnd]:
        started_at = self._clock.monotonic()
        outcome: Outcome = Failed(Reason.CALLER_GONE, _CALLER_GONE_DETAIL)
        self._relays[relay.request_id] = relay
        try:
            yield StreamBlock(self._build_started_event(req, relay))
            is_first_block = True
            for item in self._relay_events(relay):
                if isinstance(item, StreamEnd):
                    outcome = item.outcome
                elif is_first_block:
                    is_first_block = False
                    self._metrics.observe_latency(
                        "first_token_seconds",
                        self._clock.monotonic() - req.started_at,
                        work=req.class_of_work.name,
                    )
                yield item
        finally:
            duration_s = self._clock.monotonic() - started_at
            stage = req.pipeline.stages[-1]
            self._stages.record_stream_end(
                req,
                stage,
                stage_stream,
                duration_s,
                relay.offset,
                relay.continuity.event_count,
            )
            self._runner.finish(req, outcome)
            self._release(relay)

    def _relay_resumed(
        self, token: ResumeToken, relay: _StreamRelay
    ) -> Iterator[StreamBlock | StreamEnd]:
        self._relays[relay.request_id] = relay
        try:
            reissued_token = msgspec.structs.replace(
                token, vm=self._fleet.local_member.vm
            )
            started = StreamStarted(relay.request_id, self._signer.sign(reissued_token))
            yield StreamBlock(_encode_event("started", encode_json(started)))
            yield from self._relay_events(relay)
        finally:
            self._release(relay)

    def _relay_events(self, relay: _StreamRelay) -> Iterator[StreamBlock | StreamEnd]:
        """Yield the engine's events, resuming a broken stream after its last event."""
        for _ in range(1 + _MAX_RECONNECTS):
            # The ids are verified whatever type an engine states.
            broken = relay.continuity.begin_answer("")
            for item in () if broken else relay.stream.events():
                if isinstance(item, StreamBroken):
                    broken = item.detail
                    break
                admitted = relay.continuity.admit(item)
                if admitted.data:
                    yield StreamBlock(admitted.data)
                if relay.continuity.has_ended:
                    relay.is_complete = True
                    yield StreamEnd(Done(b""))
                    return
                if self._clock.monotonic() >= relay.deadline:
                    yield StreamEnd(Failed(Reason.DEADLINE, "the deadline passed"))
                    return
                if admitted.refusal:
                    broken = admitted.refusal
                    break
            self._metrics.count("streams_broken_total")
            _logger.info(
                "stream broken",
                extra={
                    "request_id": relay.request_id,
                    "endpoint": relay.endpoint.name,
                    "offset": relay.offset,
                    "detail": broken,
                },
            )
            if not self._reconnect(relay):
                break
        yield StreamEnd(Failed(Reason.CONNECTION_LOST, "the engine's stream broke"))

    def _reconnect(self, relay: _StreamRelay) -> bool:
        relay.stream.close()
        remaining_s = relay.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return False
        resume = StreamResumeCall(relay.stream.stream_id, relay.offset, remaining_s)
        stream = self._client.resume_stream(relay.endpoint, resume)
        if not isinstance(stream, Stream):
            return False
        relay.stream = stream
        return True

    def _build_started_event(self, req: PipelineRequest, relay: _StreamRelay) -> bytes:
        remaining_ms = int((req.deadline - self._clock.monotonic()) * 1000)
        now_ms = int(self._clock.now().timestamp() * 1000)
        token = ResumeToken(
            req.team.name,
            req.request_id,
            req.class_of_work.name,
            relay.endpoint.name,
            relay.stream.stream_id,
            0,
            self._fleet.local_member.vm,
            now_ms + remaining_ms,
        )
        started = StreamStarted(req.request_id, self._signer.sign(token))
        return _encode_event("started", encode_json(started))

    def _release(self, relay: _StreamRelay) -> None:
        """Close the stream, and cancel it unless the caller resumes it in time."""
        relay.stream.close()
        if self._relays.get(relay.request_id) is relay:
            del self._relays[relay.request_id]
        if not relay.is_complete and not relay.is_taken_over:
            cancellation = gevent.spawn(self._cancel_after_grace, relay)
            self._pending_cancellations[relay.request_id] = cancellation

    def _cancel_after_grace(self, relay: _StreamRelay) -> None:
        remaining_s = relay.deadline - self._clock.monotonic()
        self._clock.sleep(min(_RESUME_GRACE_S, max(remaining_s, 0.0)))
        self._pending_cancellations.pop(relay.request_id, None)
        self._client.cancel(relay.endpoint, relay.request_id)
        self._metrics.count("streams_cancelled_total")

    def _take_over_stream(self, token: ResumeToken) -> None:
        """Stop this node and the VM that relayed the stream from cancelling it."""
        self._mark_taken_over(token.request_id)
        previous_vm = self._fleet.view.get(token.vm)
        if (
            previous_vm is None
            or previous_vm.member is None
            or token.vm == self._fleet.local_member.vm
        ):
            return
        message = StreamTakeover(token.request_id)
        address = previous_vm.member.peer_address
        self._bus.request(address, message, StreamTakeoverAck, _TAKEOVER_TIMEOUT_S)

    def _handle_takeover(
        self, sender: str, message: StreamTakeover
    ) -> StreamTakeoverAck:
        self._mark_taken_over(message.request_id)
        return StreamTakeoverAck()

    def _mark_taken_over(self, request_id: str) -> None:
        """Prevent the cancellation of a stream.

        The stream may still be active here, because the caller can reconnect elsewhere
        before this node notices that its connection is lost.
        """
        relay = self._relays.get(request_id)
        if relay is not None:
            relay.is_taken_over = True
        cancellation = self._pending_cancellations.pop(request_id, None)
        if cancellation is not None:
            cancellation.kill(block=False)


def _encode_event(name: str, data: bytes) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)
