"""Sends one request to endpoints until it has a final answer."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    GenerationPlacement,
    Place,
    PlacementPolicy,
    SharedRetryBudget,
    Work,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.dialect import Assignment, Call, CallDialect
from sapphirehoist.gateway.ends import RULES, End, Next, what_follows
from sapphirehoist.gateway.job import (
    CutOff,
    Delivered,
    DispatchOutcome,
    EndpointFailure,
    Job,
    Progress,
    RebuildInputs,
    StageInputs,
)
from sapphirehoist.gateway.pools import EndpointPools
from sapphirehoist.gateway.refusals import Reason, Refusal
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.http1 import (
    Broken,
    EndpointConnections,
    Exchange,
    Lost,
    NotSent,
    OutboundRequest,
    Reply,
    ResponseHead,
)
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import CallKind

_STATUS_OK = range(200, 300)
_STATUS_CONFLICT = 409
# Statuses by which a caller is promised that its request did not run.
_PROMISES = (408, 421, 429, 503)
# A connection that was idle for longer may be closing as the request is sent, which a
# request that may run only once does not survive.
_SINGLE_RUN_IDLE_S = 0.5
# Part of the time left that an attempt may take while another one could follow.
_ATTEMPT_SHARE = 0.45
_LEAST_ATTEMPT_S = 0.3
# First event of a resumable stream: later than this, another engine is asked.
_FIRST_EVENT_TARGETS = 1.5
_LEAST_FIRST_EVENT_S = 2.0
# Callers give up after a longer pause than this.
_EVENT_GAP_S = 2.5
# With less time left, an endpoint could not answer in time.
_LEAST_REMAINING_S = 0.02
_RETRY_SOON_S = 0.25


@dataclass(frozen=True, slots=True)
class _Ended:
    """How an attempt ended, with what can be delivered of it."""

    end: End
    detail: str = ""
    head: ResponseHead | None = None
    body: bytes = b""


class Dispatcher:
    """Chooses endpoints, makes attempts and follows the table of ends.

    Parameters
    ----------
    pools : EndpointPools
        Endpoints and their load.
    connections : EndpointConnections
        Connections to endpoints.
    dialect : CallDialect
        Encodes requests.
    budget : SharedRetryBudget
        Allows repeats.
    plain, generation : PlacementPolicy, GenerationPlacement
        Choose endpoints of plain services and model engines.
    tell_prompt : callable
        Tells other nodes which engine was sent which parts of a prompt.
    clock, metrics : Clock, Metrics
        Time and the counters ``attempts_total``.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_connections",
        "_dialect",
        "_generation",
        "_metrics",
        "_plain",
        "_pools",
        "_tell_prompt",
    )

    def __init__(
        self,
        pools: EndpointPools,
        connections: EndpointConnections,
        dialect: CallDialect,
        budget: SharedRetryBudget,
        plain: PlacementPolicy,
        generation: GenerationPlacement,
        tell_prompt: Callable[[list[str], str], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pools = pools
        self._connections = connections
        self._dialect = dialect
        self._budget = budget
        self._plain = plain
        self._generation = generation
        self._tell_prompt = tell_prompt
        self._clock = clock
        self._metrics = metrics

    def run(
        self,
        job: Job,
        inputs: StageInputs | None,
        progress: Progress,
        exchange: Exchange,
        trace: RequestTrace,
    ) -> DispatchOutcome:
        """Make attempts until one of them, or the lack of more, decides."""
        last: _Ended | None = None
        while True:
            refusal = self._may_attempt(job, progress)
            place = None if refusal else self._choose(job, inputs, progress.tried)
            if place is None:
                return self._give_up(progress, last, refusal)
            if inputs is not None and inputs.is_released:
                return RebuildInputs()
            progress.tried.add(place.name)
            record = self._pools.record(place.name)
            if record is None:
                continue
            last = self._try(job, inputs, record, place, progress, trace)
            follows = what_follows(last.end, job.route.is_repeatable)
            if follows is Next.DELIVER:
                return self._deliver(last, progress.relay, exchange)
            if follows is Next.REBUILD:
                return RebuildInputs()
            if follows is Next.GIVE_UP:
                return self._give_up(progress, last, None)

    def expected_zone(self, job: Job) -> str:
        """Return the availability zone of the engine that would be chosen now."""
        place = self._choose(job, None, frozenset())
        return place.zone if place is not None else ""

    def _try(
        self,
        job: Job,
        inputs: StageInputs | None,
        record: EndpointRecord,
        place: Place,
        progress: Progress,
        trace: RequestTrace,
    ) -> _Ended:
        """Make one attempt and learn from its end."""
        started = self._clock.monotonic()
        progress.is_under_way = True
        ended = self._attempt(job, inputs, record, progress, trace)
        progress.is_under_way = False
        seconds = self._clock.monotonic() - started
        trace.add_attempt(record.name, ended.end, seconds, place.load, ended.detail)
        self._learn(job, record, ended, seconds, place)
        if ended.end is not End.NOT_SENT:
            progress.sends += 1
        progress.may_have_run |= RULES[ended.end].may_have_run
        if ended.end is End.BROKEN:
            progress.first_head = progress.first_head or ended.head
        return ended

    def _may_attempt(self, job: Job, progress: Progress) -> Refusal | None:
        if job.limit_at - self._clock.monotonic() < _LEAST_REMAINING_S:
            return Refusal(Reason.TIMEOUT_NOT_RUN, "no time left for an attempt")
        if progress.sends >= max(1, job.route.max_attempts):
            return Refusal(Reason.ENDPOINTS_FULL, "no attempt left")
        if progress.sends and not self._budget.take(job.service.name):
            return Refusal(Reason.ENDPOINTS_FULL, "no repeat left in the budget")
        return None

    def _choose(
        self, job: Job, inputs: StageInputs | None, tried: Collection[str]
    ) -> Place | None:
        places = self._pools.places(job.service, tried)
        if not places:
            return None
        policy = self._generation if job.service.model_pool else self._plain
        return policy.choose(self._work(job, inputs), places)

    def _work(self, job: Job, inputs: StageInputs | None) -> Work:
        generation = job.call.generation
        return Work(
            job.route.target_s / 4,
            generation.parts if generation is not None else (),
            inputs.bytes_by_zone() if inputs is not None else {},
        )

    def _begin_reading(
        self, job: Job, inputs: StageInputs | None, endpoint: str
    ) -> int:
        """Count the prompt at its engine; return the tokens to be read there."""
        if job.call.generation is None:
            return 0
        work = self._work(job, inputs)
        unread = self._generation.unread_tokens(work, endpoint)
        self._pools.begin_reading(endpoint, unread)
        for part in work.parts:
            self._generation.learn(part.name, endpoint)
        self._tell_prompt([part.name for part in work.parts], endpoint)
        return unread

    def _attempt(
        self,
        job: Job,
        inputs: StageInputs | None,
        record: EndpointRecord,
        progress: Progress,
        trace: RequestTrace,
    ) -> _Ended:
        relay = progress.relay
        outbound = self._outbound(job, inputs, record, relay.last_event)
        generation = job.call.generation
        tokens = 0
        if generation is not None:
            tokens = generation.prompt_tokens + generation.output_tokens
        self._pools.loads.begin(record.name)
        self._pools.hold(record.name, tokens)
        progress.unread_tokens = self._begin_reading(job, inputs, record.name)
        reply: Reply | NotSent | Lost | None = None
        patience_s = self._patience_s(job, progress)
        timeout = gevent.Timeout(patience_s)
        timeout.start()
        try:
            reply = self._connections.call(
                record.address,
                outbound,
                lambda answer: self._is_own(answer, job.call),
                None if job.route.is_repeatable else _SINGLE_RUN_IDLE_S,
            )
            if isinstance(reply, NotSent):
                return _Ended(End.NOT_SENT, reply.detail)
            if isinstance(reply, Lost):
                return _Ended(End.LOST, reply.detail)
            return self._read(job, record, reply, inputs, progress, timeout, trace)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            detail = f"{record.address}: nothing for {patience_s:.2f} s"
            end = End.BROKEN if relay.is_begun else End.LOST
            return _Ended(end, detail, progress.first_head)
        finally:
            timeout.close()
            if isinstance(reply, Reply):
                reply.close()
            self._pools.release(record.name, tokens)
            self._end_reading(record.name, progress)
            self._pools.loads.end(record.name)

    def _end_reading(self, endpoint: str, progress: Progress) -> None:
        self._pools.end_reading(endpoint, progress.unread_tokens)
        progress.unread_tokens = 0

    def _is_own(self, answer: ResponseHead, call: Call) -> bool:
        """Return whether an answer is for this request; refusals may name none."""
        signs = self._dialect.read_signs(answer)
        if signs.request_id:
            return signs.request_id == call.request_id
        return signs.is_not_run

    def _outbound(
        self,
        job: Job,
        inputs: StageInputs | None,
        record: EndpointRecord,
        last_event: str,
    ) -> OutboundRequest:
        """Return the request for one endpoint."""
        left_s = min(job.deadline_at, job.limit_at) - self._clock.monotonic()
        assignment = Assignment(
            record,
            left_s,
            job.team,
            _urgency(job),
            inputs.handles if inputs is not None else None,
            last_event,
        )
        head = self._dialect.endpoint_head(job.request.head, assignment)
        return OutboundRequest(head, job.request.body)

    def _patience_s(self, job: Job, progress: Progress) -> float | None:
        """Return how long an attempt may take until its first bytes."""
        left_s = job.limit_at - self._clock.monotonic()
        if not job.route.is_repeatable or progress.sends + 1 >= job.route.max_attempts:
            return None
        if job.route.kind is CallKind.STREAMING:
            wanted_s = max(
                _LEAST_FIRST_EVENT_S, _FIRST_EVENT_TARGETS * job.route.target_s
            )
            return min(wanted_s, max(_LEAST_ATTEMPT_S, left_s * _ATTEMPT_SHARE))
        return max(_LEAST_ATTEMPT_S, left_s * _ATTEMPT_SHARE)

    def _read(
        self,
        job: Job,
        record: EndpointRecord,
        reply: Reply,
        inputs: StageInputs | None,
        progress: Progress,
        timeout: gevent.Timeout,
        trace: RequestTrace,
    ) -> _Ended:
        signs = self._dialect.read_signs(reply.head)
        self._pools.take_report(record.name, signs.load)
        if signs.is_not_run:
            end = End.NOT_RUN
            if reply.head.status == _STATUS_CONFLICT:
                end = End.INPUTS_GONE
            # A short refusal is read to its end, so that its connection is kept.
            reply.read_all()
            return _Ended(end, f"{record.address}: status {reply.head.status}")
        is_good = reply.head.status in _STATUS_OK
        if is_good and (not signs.is_sealed or signs.is_encoded):
            reply.discard()
            return _Ended(End.LOST, f"{record.address}: not the endpoint's own answer")
        caller_head = ResponseHead(
            reply.head.status, self._dialect.caller_headers(reply.head.headers)
        )
        if is_good and job.route.kind is CallKind.STREAMING:
            head = progress.first_head or caller_head
            return self._relay(
                job, record, reply, inputs, progress, head, timeout, trace
            )
        body = reply.read_all()
        if isinstance(body, Broken):
            return _Ended(End.LOST, body.detail)
        end = End.ANSWERED if is_good else End.ENDPOINT_FAILED
        detail = "" if is_good else f"{record.address}: status {reply.head.status}"
        return _Ended(end, detail, caller_head, body)

    def _relay(
        self,
        job: Job,
        record: EndpointRecord,
        reply: Reply,
        inputs: StageInputs | None,
        progress: Progress,
        head: ResponseHead,
        timeout: gevent.Timeout,
        trace: RequestTrace,
    ) -> _Ended:
        relay = progress.relay
        while True:
            block = reply.read_block()
            if isinstance(block, Broken):
                relay.forget_partial()
                end = End.BROKEN if relay.is_begun else End.LOST
                return _Ended(end, block.detail, head)
            if not block:
                break
            if relay.pass_on(head, block):
                self._end_reading(record.name, progress)
                trace.events = relay.events
                if trace.first_event_s is None:
                    trace.first_event_s = trace.elapsed_s()
                timeout.close()
                if inputs is not None and not inputs.is_released:
                    # A first event means that the engine has read its inputs.
                    inputs.release()
                if job.route.is_repeatable:
                    reply.limit_gap(_EVENT_GAP_S)
        if relay.has_partial:
            relay.forget_partial()
            end = End.BROKEN if relay.is_begun else End.LOST
            return _Ended(end, "the stream ended in the middle of an event", head)
        return _Ended(End.ANSWERED, "", head)

    def _learn(
        self,
        job: Job,
        record: EndpointRecord,
        ended: _Ended,
        seconds: float,
        place: Place,
    ) -> None:
        loads = self._pools.loads
        self._metrics.count(
            "attempts_total", service=job.service.name, end=ended.end.value
        )
        if ended.end in (End.NOT_SENT, End.LOST, End.BROKEN, End.ENDPOINT_FAILED):
            if loads.fail(record.name, self._pools.names(job.service.name)):
                self._metrics.count("endpoint_ejections_total")
        elif ended.end is End.ANSWERED and job.route.kind is not CallKind.STREAMING:
            had_room = place.load + 1 <= place.slots
            loads.succeed(record.name, seconds, 1.0, had_room)
            loads.eject_if_slow(record.name, self._pools.names(job.service.name))
        elif ended.end is End.ANSWERED:
            loads.get(record.name).failures = 0

    def _deliver(
        self, ended: _Ended, relay: EventRelay, exchange: Exchange
    ) -> DispatchOutcome:
        assert ended.head is not None
        if relay.is_begun or (not ended.body and ended.end is End.ANSWERED):
            relay.finish(ended.head)
            return Delivered(ended.head.status)
        if ended.head.status in _PROMISES:
            # The endpoint may have run it, so its status must not reach the caller.
            return Refusal(Reason.ENDPOINT_LOST, f"endpoint: {ended.head.status}")
        exchange.respond(ended.head, ended.body)
        return Delivered(ended.head.status)

    def _give_up(
        self, progress: Progress, last: _Ended | None, refusal: Refusal | None
    ) -> DispatchOutcome:
        detail = last.detail if last is not None else ""
        if progress.relay.is_begun:
            return CutOff(detail)
        if progress.may_have_run:
            if last is not None and last.end is End.ENDPOINT_FAILED:
                assert last.head is not None
                if last.head.status not in _PROMISES:
                    return EndpointFailure(last.head, last.body)
            return Refusal(Reason.ENDPOINT_LOST, detail)
        if refusal is None:
            refusal = Refusal(Reason.NO_ENDPOINT, detail)
        elif detail:
            refusal = Refusal(refusal.reason, f"{refusal.detail}; {detail}")
        return Refusal(refusal.reason, refusal.detail, _RETRY_SOON_S)


def _urgency(job: Job) -> int | None:
    """Return the rank at a model engine: the route's or team's, three steps apart."""
    if job.service.model_pool is None:
        return None
    return min(9, 1 + 3 * job.priority)
