"""Makes one attempt: sends a request to an endpoint and reads or relays its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import SharedRetryBudget, stall_timeout_s
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.attempt_outcome import AttemptOutcome
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.codec import CallCodec, ForwardingMetadata, RequestMetadata
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.endpoint_chooser import EndpointChooser
from sapphirehoist.gateway.engine_pace_sync import EnginePaceSync
from sapphirehoist.gateway.request_context import (
    RequestContext,
    RequestProgress,
    StageInputs,
)
from sapphirehoist.gateway.stream_origin_sync import StreamOriginSync
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.gateway.tunnel_messages import may_carry
from sapphirehoist.http1 import (
    EndpointConnectionPool,
    EndpointResponse,
    Lost,
    NotSent,
    OutboundRequest,
    ResponseHead,
    TruncatedBody,
)
from sapphirehoist.routes import RequestKind
from sapphirehoist.sockets import WorkTurns

_SUCCESS_STATUSES = range(200, 300)
# Status of an endpoint that did not run a request because a stage result is gone.
_STATUS_CONFLICT = 409
# Longest idle time of a connection that is reused for a non-idempotent request. The
# endpoint may close a connection that has been idle for longer while the request is
# being sent, and the request could not be retried after that.
_NON_IDEMPOTENT_MAX_IDLE_S = 0.5
# Share of the remaining time that an attempt may take if another one can follow it.
_ATTEMPT_TIMEOUT_SHARE = 0.45
_MIN_ATTEMPT_TIMEOUT_S = 0.3
# Another engine is tried if the first event of a resumable stream takes longer than
# this multiple of the route's latency target. The minimum applies if the target is
# short; the share of the remaining time limits both.
_FIRST_EVENT_TARGET_MULTIPLE = 1.5
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
# Interval at which an attempt that is past its limit, and was kept for lack of another
# endpoint, is checked again.
_RECHECK_INTERVAL_S = 0.25
# Other tasks run after this long. A block of 64 KB may hold thousands of events.
_MAX_WORK_S = 0.002
# A read that takes longer than this has found no bytes that had arrived before.
_MIN_WAIT_S = 0.005


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt, with the response that can be delivered, if any."""

    outcome: AttemptOutcome
    detail: str = ""
    head: ResponseHead | None = None
    body: bytes = b""


class _ReplyLimit:
    """Limits the time to the first bytes of a reply, or to the first event of a stream.

    Parameters
    ----------
    limit_s : float or None
        The limit in seconds; None for no limit.
    may_give_up : callable
        Returns whether the attempt may be given up, without blocking; asked when the
        limit ends, and regularly from then on.
    clock : Clock
        Monotonic time.

    Attributes
    ----------
    ends_at : float or None
        Monotonic time at which the limit ends; None for no limit.
    timeout : gevent.Timeout
        Raised in the attempt when it is given up, unless the limit is closed before.
    """

    __slots__ = (
        "_clock",
        "_greenlet",
        "_may_give_up",
        "_started_at",
        "_timer",
        "ends_at",
        "timeout",
    )

    def __init__(
        self, limit_s: float | None, may_give_up: Callable[[], bool], clock: Clock
    ) -> None:
        self._may_give_up = may_give_up
        self._clock = clock
        self._greenlet = gevent.getcurrent()
        self._started_at = clock.monotonic()
        self.ends_at = None if limit_s is None else self._started_at + limit_s
        self.timeout = gevent.Timeout(None)
        self._timer = gevent.get_hub().loop.timer(limit_s or 0.0, _RECHECK_INTERVAL_S)

    @property
    def is_over(self) -> bool:
        """Return whether the limit has ended."""
        return self.ends_at is not None and self._clock.monotonic() >= self.ends_at

    @property
    def detail(self) -> str:
        """Return why an attempt was given up."""
        return f"nothing for {self._clock.monotonic() - self._started_at:.2f} s"

    def may_give_up(self) -> bool:
        """Return whether the attempt may be given up; let the limit go on if not."""
        if self._may_give_up():
            return True
        if self.ends_at is not None:
            self.ends_at = self._clock.monotonic() + _RECHECK_INTERVAL_S
        return False

    def extend(self, duration_s: float) -> None:
        """Let the limit begin and end later."""
        self._started_at += duration_s
        if self.ends_at is not None:
            self.ends_at += duration_s

    def start(self) -> None:
        """Begin to limit the attempt."""
        if self.ends_at is not None:
            self._timer.start(self._expire)

    def close(self) -> None:
        """Interrupt the attempt no more."""
        self._timer.stop()
        self._timer.close()

    def _expire(self) -> None:
        """Interrupt the attempt if it may be given up; called by the hub.

        Of attempts whose limits end together, each is asked after the ones before it
        have taken their part of the retry budget.
        """
        if self.may_give_up():
            self.close()
            self._greenlet.throw(self.timeout)


class AttemptSender:
    """Sends requests to endpoints, each attempt within its timeout.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Endpoints of each service, with their load.
    chooser : EndpointChooser
        Accounts for prompts at their engines.
    connections : EndpointConnectionPool
        Connection pool to endpoints.
    codec : CallCodec
        Encodes requests and decodes replies.
    retry_budget : SharedRetryBudget
        Tells whether another attempt may follow.
    crash_quarantine : CrashQuarantineSync
        Learns which prompt parts an engine has begun to answer.
    stream_origins : StreamOriginSync
        Learns the software version that began a stream.
    engine_paces : EnginePaceSync
        Learns the speed of engines from their streams.
    clock : Clock
        Monotonic time.
    """

    __slots__ = (
        "_chooser",
        "_clock",
        "_codec",
        "_connections",
        "_crash_quarantine",
        "_endpoints",
        "_engine_paces",
        "_retry_budget",
        "_stream_origins",
        "_turns",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        chooser: EndpointChooser,
        connections: EndpointConnectionPool,
        codec: CallCodec,
        retry_budget: SharedRetryBudget,
        crash_quarantine: CrashQuarantineSync,
        stream_origins: StreamOriginSync,
        engine_paces: EnginePaceSync,
        clock: Clock,
    ) -> None:
        self._endpoints = endpoints
        self._chooser = chooser
        self._connections = connections
        self._codec = codec
        self._retry_budget = retry_budget
        self._crash_quarantine = crash_quarantine
        self._stream_origins = stream_origins
        self._engine_paces = engine_paces
        self._clock = clock
        self._turns = WorkTurns(clock)

    def send(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        progress: RequestProgress,
        trace: RequestTrace,
    ) -> AttemptResult:
        """Send the request to one endpoint and read or relay its reply."""
        relay = progress.relay
        outbound = self._outbound_request(
            context,
            inputs,
            record,
            relay.last_event_id,
        )
        generation = context.metadata.generation
        token_count = 0
        if generation is not None:
            token_count = generation.prompt_tokens + generation.output_tokens
        self._endpoints.record_send(record)
        self._endpoints.loads.begin_call(record.name)
        self._endpoints.begin_generation(record.name, token_count)
        progress.pending_prefill_tokens = self._chooser.begin_prefill(
            context, inputs, record.name
        )
        reply: EndpointResponse | NotSent | Lost | None = None
        limit = _ReplyLimit(
            self._attempt_timeout_s(context, progress),
            lambda: self._may_give_up(context, progress),
            self._clock,
        )
        limit.start()
        try:
            reply = self._connections.call(
                record.address,
                outbound,
                lambda reply_head, is_reused: self._is_reply_to(
                    reply_head, is_reused, context.metadata
                ),
                None if context.route.is_idempotent else _NON_IDEMPOTENT_MAX_IDLE_S,
                # The zone may have been evacuated while the connection was opened.
                lambda sock: (
                    self._endpoints.is_eligible(record, context.allowed_regions)
                    and may_carry(sock, context.allowed_regions)
                ),
                context.allowed_regions,
            )
            if isinstance(reply, NotSent):
                return AttemptResult(AttemptOutcome.NOT_SENT, reply.detail)
            if isinstance(reply, Lost):
                return AttemptResult(AttemptOutcome.LOST, reply.detail)
            return self._read_reply(
                context, record, reply, inputs, progress, limit, trace
            )
        except gevent.Timeout as exc:
            if exc is not limit.timeout:
                raise
            return _broken(progress, f"{record.address}: {limit.detail}")
        finally:
            limit.close()
            if isinstance(reply, EndpointResponse):
                reply.close()
            self._endpoints.end_generation(record.name, token_count)
            self._end_prefill(record.name, progress)
            self._endpoints.loads.end_call(record.name)

    def _end_prefill(self, endpoint: str, progress: RequestProgress) -> None:
        self._endpoints.end_prefill(endpoint, progress.pending_prefill_tokens)
        progress.pending_prefill_tokens = 0

    def _is_reply_to(
        self,
        reply_head: ResponseHead,
        is_reused: bool,
        request_metadata: RequestMetadata,
    ) -> bool:
        """Return whether a reply belongs to this request.

        An endpoint that did not execute a request may omit the request id. On a reused
        connection such a reply may be a late copy of the reply to an earlier request.
        """
        reply_metadata = self._codec.decode_reply_head(reply_head)
        if reply_metadata.request_id:
            return reply_metadata.request_id == request_metadata.request_id
        return reply_metadata.is_not_run and not is_reused

    def _outbound_request(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        record: EndpointRecord,
        last_event_id: str,
    ) -> OutboundRequest:
        """Build the request to one endpoint."""
        remaining_s = (
            min(context.deadline_at, context.response_limit_at)
            - self._clock.monotonic()
        )
        metadata = ForwardingMetadata(
            record,
            remaining_s,
            context.team,
            _engine_priority(context),
            inputs.handles if inputs is not None else None,
            last_event_id,
        )
        head = self._codec.encode_request_head(context.request.head, metadata)
        return OutboundRequest(head, context.request.body)

    def _attempt_timeout_s(
        self, context: RequestContext, progress: RequestProgress
    ) -> float | None:
        """Return the timeout for the first bytes of a reply; None for no timeout.

        An attempt that cannot be followed by another one is limited only by the
        request's own deadline. A planned stop of this node makes no endpoint faster, so
        that it does not shorten the timeout.
        """
        remaining_s = context.time_limit_at - self._clock.monotonic()
        if (
            not context.route.is_idempotent
            or progress.send_count + 1 >= context.route.max_attempts
        ):
            return None
        if context.route.kind is RequestKind.STREAMING:
            timeout_s = max(
                _MIN_FIRST_EVENT_TIMEOUT_S,
                _FIRST_EVENT_TARGET_MULTIPLE * context.route.latency_target_s,
            )
            return min(
                timeout_s,
                max(_MIN_ATTEMPT_TIMEOUT_S, remaining_s * _ATTEMPT_TIMEOUT_SHARE),
            )
        return max(_MIN_ATTEMPT_TIMEOUT_S, remaining_s * _ATTEMPT_TIMEOUT_SHARE)

    def _read_reply(
        self,
        context: RequestContext,
        record: EndpointRecord,
        reply: EndpointResponse,
        inputs: StageInputs | None,
        progress: RequestProgress,
        limit: _ReplyLimit,
        trace: RequestTrace,
    ) -> AttemptResult:
        """Classify a reply from its head, then read its body or relay its stream."""
        metadata = self._codec.decode_reply_head(reply.head)
        self._endpoints.record_reply(record, metadata, progress.attempt_started_at)
        if metadata.is_not_run:
            outcome = AttemptOutcome.NOT_RUN
            if reply.head.status == _STATUS_CONFLICT and inputs is not None:
                outcome = AttemptOutcome.INPUTS_GONE
            # Reading the short body to its end allows the connection to be reused.
            reply.read_all()
            return AttemptResult(
                outcome, f"{record.address}: status {reply.head.status}"
            )
        is_success = reply.head.status in _SUCCESS_STATUSES
        if is_success and (not metadata.is_sealed or metadata.is_encoded):
            reply.discard()
            return AttemptResult(
                AttemptOutcome.LOST, f"{record.address}: not the endpoint's own answer"
            )
        caller_head = ResponseHead(
            reply.head.status, self._codec.filter_reply_headers(reply.head.headers)
        )
        if is_success and context.route.kind is RequestKind.STREAMING:
            # From here on only reads are limited: an attempt must not be given up while
            # its bytes are written, when it is not known what the caller has.
            limit.close()
            return self._relay_stream(
                context, record, reply, inputs, progress, caller_head, limit, trace
            )
        buffer = progress.response_buffer
        if buffer is not None:
            buffer.release_collected()
        body = reply.read_all(buffer.collect if buffer is not None else None)
        if isinstance(body, TruncatedBody):
            return AttemptResult(AttemptOutcome.LOST, body.detail)
        outcome = (
            AttemptOutcome.ANSWERED if is_success else AttemptOutcome.ENDPOINT_FAILED
        )
        detail = "" if is_success else f"{record.address}: status {reply.head.status}"
        return AttemptResult(outcome, detail, caller_head, body)

    def _relay_stream(
        self,
        context: RequestContext,
        record: EndpointRecord,
        reply: EndpointResponse,
        inputs: StageInputs | None,
        progress: RequestProgress,
        caller_head: ResponseHead,
        limit: _ReplyLimit,
        trace: RequestTrace,
    ) -> AttemptResult:
        """Forward the events of a streamed reply to the caller."""
        relay = progress.relay
        # A stream that goes on keeps the head of its first endpoint.
        head = progress.streamed_head or caller_head
        refusal = relay.begin_answer(reply.head)
        last_event_at: float | None = None
        gaps_s: list[float] = []
        # Stated by the head of this reply.
        slowdown = self._endpoints.loads.slowdown(record.name)
        while not refusal:
            awaited_since = self._clock.monotonic()
            chunk = self._read_stream_block(
                context, reply, inputs, progress, last_event_at, limit
            )
            received_at = self._clock.monotonic()
            watch = progress.version_watch
            if isinstance(chunk, TruncatedBody):
                if watch is not None:
                    watch.end()
                return _broken(progress, chunk.detail, head)
            # Bytes that were waited for have not been sent before.
            if watch is not None and received_at - awaited_since >= _MIN_WAIT_S:
                watch.record_event(awaited_since)
            if not chunk:
                refusal = relay.end_answer(head)
                break
            admitted = relay.forward(head, chunk, self._turns_after(received_at))
            event_count, refusal = admitted.event_count, admitted.refusal
            # The time in which the caller accepts no bytes is no silence of the engine.
            write_s = self._clock.monotonic() - received_at
            if event_count:
                if last_event_at is None:
                    self._record_first_event(
                        context, record, reply.connected_at, inputs, progress, trace
                    )
                else:
                    gap_s = (received_at - last_event_at) / event_count
                    gaps_s.append(gap_s)
                last_event_at = received_at + write_s
                trace.event_count = relay.event_count
            elif last_event_at is not None:
                last_event_at += write_s
            else:
                limit.extend(write_s)
        if progress.version_watch is not None:
            progress.version_watch.end()
        if refusal:
            reply.discard()
            return _broken(progress, f"{record.address}: {refusal}", head)
        self._engine_paces.record_stream(record, gaps_s, slowdown)
        return AttemptResult(AttemptOutcome.ANSWERED, "", head)

    def _turns_after(self, started_at: float) -> Callable[[], None]:
        """Return what takes a turn once work that began at `started_at` takes long."""

        def take_turn() -> None:
            nonlocal started_at
            if self._clock.monotonic() - started_at >= _MAX_WORK_S:
                self._turns.wait()
                started_at = self._clock.monotonic()

        return take_turn

    def _record_first_event(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connected_at: float,
        inputs: StageInputs | None,
        progress: RequestProgress,
        trace: RequestTrace,
    ) -> None:
        """Learn from the first event of an attempt, which shows that it is processed.

        The time to a first event that goes on with a stream is not typical.
        """
        is_resumed = progress.streamed_head or context.metadata.last_event_id
        if progress.candidate is not None and not is_resumed:
            self._chooser.record_first_event(
                context.service.name,
                progress.candidate,
                self._clock.monotonic() - progress.attempt_started_at,
            )
        self._crash_quarantine.record_start(context.shared_prompt_parts)
        if progress.software_version is None:
            self._bind_to_first_endpoint(context, record, connected_at, progress)
        self._end_prefill(record.name, progress)
        if trace.first_event_s is None:
            trace.first_event_s = trace.elapsed_s()
        if inputs is not None and not inputs.is_released:
            # The first event shows that the engine has read its inputs.
            inputs.release()

    def _bind_to_first_endpoint(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connected_at: float,
        progress: RequestProgress,
    ) -> None:
        """Bind a stream that begins to the version of the endpoint that began it.

        If the endpoint may have started again, the version is found out meanwhile.
        """
        is_confirmed = not self._endpoints.may_have_restarted(record)
        progress.bind_to_version(record.software_version, is_confirmed)
        if not context.is_resumable_stream:
            return
        stream_id = context.metadata.stream_id
        remaining_s = context.deadline_at - self._clock.monotonic()
        lost_at = self._endpoints.lost_at(record.name)
        if is_confirmed:
            self._stream_origins.record_start(stream_id, record, remaining_s)
        elif lost_at is not None:
            progress.version_watch = self._stream_origins.watch_start(
                stream_id, record, remaining_s, lost_at, connected_at
            )

    def _read_stream_block(
        self,
        context: RequestContext,
        reply: EndpointResponse,
        inputs: StageInputs | None,
        progress: RequestProgress,
        last_event_at: float | None,
        limit: _ReplyLimit,
    ) -> bytes | TruncatedBody:
        """Read a block of a stream; report one that has stalled as truncated.

        A stream has stalled if its first event takes longer than `limit`, or if no
        event was completed for too long, even if single bytes arrive, and another
        engine can continue it. The results that it needs for that are computed first.
        """
        if last_event_at is None:
            while not (limit.is_over and limit.may_give_up()):
                first_block = self._read_block(reply, limit.ends_at)
                if first_block is not None:
                    return first_block
            return TruncatedBody(limit.detail)
        caller_timeout_s = context.route.first_event_timeout_s
        if caller_timeout_s is None or not context.route.is_idempotent:
            return reply.read_block()
        while True:
            now = self._clock.monotonic()
            stall_s = stall_timeout_s(
                caller_timeout_s,
                context.route.event_gap_target_s,
                context.time_limit_at - last_event_at,
            )
            wait_s = last_event_at + stall_s - now
            if (
                wait_s <= 0
                and self._may_retry(context, progress)
                and (inputs is None or inputs.prepare_again(context.time_limit_at))
            ):
                return TruncatedBody(f"no event for {now - last_event_at:.2f} s")
            ends_at = now + (wait_s if wait_s > 0 else _RECHECK_INTERVAL_S)
            block = self._read_block(reply, ends_at)
            if block is not None:
                return block

    def _read_block(
        self, reply: EndpointResponse, ends_at: float | None
    ) -> bytes | TruncatedBody | None:
        """Read a block; return None if none arrives by the monotonic time `ends_at`."""
        if ends_at is None:
            return reply.read_block()
        timeout = gevent.Timeout(max(0.0, ends_at - self._clock.monotonic()))
        try:
            with timeout:
                return reply.read_block()
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return None

    def _may_give_up(self, context: RequestContext, progress: RequestProgress) -> bool:
        """Return whether a silent attempt may be given up for one elsewhere.

        Before a planned stop of this node, the next attempt has to get as much time as
        this one had.
        """
        now = self._clock.monotonic()
        stop_at = context.limit_to_stop(context.time_limit_at)
        is_cut_short = stop_at < context.time_limit_at
        if is_cut_short and stop_at - now < now - progress.attempt_started_at:
            return False
        return self._may_retry(context, progress)

    def _may_retry(self, context: RequestContext, progress: RequestProgress) -> bool:
        """Return whether another endpoint may be tried after the present attempt."""
        service = context.service
        return (
            context.route.is_idempotent
            and progress.may_go_on
            and progress.send_count + 1 < context.route.max_attempts
            and bool(
                self._endpoints.candidates(
                    service,
                    progress.tried_endpoints,
                    progress.software_version,
                    context.allowed_regions,
                )
            )
            and self._retry_budget.is_available(service.name)
        )


def _broken(
    progress: RequestProgress, detail: str, head: ResponseHead | None = None
) -> AttemptResult:
    """Return the result of an attempt whose reply is not whole."""
    is_started = progress.relay.is_started
    outcome = AttemptOutcome.BROKEN if is_started else AttemptOutcome.LOST
    return AttemptResult(outcome, detail, progress.streamed_head or head)


def _engine_priority(context: RequestContext) -> int | None:
    """Return the priority at a model engine; None for other services.

    It is derived from the priority of the team or the route, in steps of three.
    """
    if context.service.model_engine_spec is None:
        return None
    return min(9, 1 + 3 * context.priority)
