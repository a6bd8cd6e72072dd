"""Admission of requests over all their stages, by the owners of the stage endpoints."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import isfinite

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import PlaceOffer, PlaceRequest, ReturnOrder
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.request_context import RequestContext
from sapphirehoist.gateway.stage_messages import (
    PlaceAnswer,
    PlaceItem,
    PlaceQuery,
    PlaceRelease,
    PlaceReply,
)
from sapphirehoist.gateway.stage_scheduler import StageScheduler
from sapphirehoist.membership import Member
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus
from sapphirehoist.routes import StageSpec

# A round trip to another region takes 40 ms.
_REPLY_TIMEOUT_S = 0.1
# A refusal for lack of capacity is sent within this time of the request's arrival.
_REFUSAL_LIMIT_S = 0.05
# An owner that does not reply is asked again after this time, doubled each time: it may
# be an older build, which does not know the message.
_FIRST_SILENCE_S = 2.0
_MAX_SILENCE_S = 60.0
# Part of the remaining time within which the first token has to be expected of a
# request that misses its target. Such a forecast is less exact.
_LATE_TIME_SHARE = 0.7
# Time from the last stage result to the first token, as in `StageForecaster`.
_FIRST_TOKEN_S = 0.25

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StageNeed:
    """Pieces of one stage of a request that are computed together.

    Attributes
    ----------
    stage, group : int
        Index of the stage, and of the first of the pieces within it.
    pieces : int
        Number of pieces.
    height : int
        Height of the stage.
    spec : StageSpec
        The stage.
    arrives_in_s : float
        Expected time until the preceding stages are done.
    latest_start_at, latest_useful_at : float
        Monotonic times by which the pieces have to start for the latency target, and
        for the first byte of the response.
    call_s : float
        Duration of the call.
    remote_bytes : callable
        Maps an availability zone to the bytes transferred between zones.
    """

    stage: int
    group: int
    pieces: int
    height: int
    spec: StageSpec
    arrives_in_s: float
    latest_start_at: float
    latest_useful_at: float
    call_s: float
    remote_bytes: Callable[[str], int]


@dataclass(frozen=True, slots=True)
class StageRefusal:
    """The stages have no capacity for a request; nothing has run."""

    detail: str
    retry_after_s: float


@dataclass(slots=True)
class StagePlan:
    """Places of one request.

    Attributes
    ----------
    endpoints : dict
        Endpoint that promised a place, by stage and group.
    release : callable
        Releases the places at endpoints.
    is_on_time : bool
        Whether the request is expected to meet its latency target.
    is_complete : bool
        Whether all owners replied.
    expected_s : float
        Expected time until the first token.
    """

    endpoints: dict[tuple[int, int], str]
    release: Callable[[set[str]], None]
    is_on_time: bool = True
    is_complete: bool = True
    expected_s: float = 0.0

    def take(self, stage: int, group: int) -> str:
        """Return the endpoint that promised a place to a group, once; else empty."""
        return self.endpoints.pop((stage, group), "")

    def release_unused(self) -> None:
        """Release the places that were not taken."""
        endpoints, self.endpoints = set(self.endpoints.values()), {}
        if endpoints:
            self.release(endpoints)


@dataclass(slots=True)
class _Place:
    """A need, the endpoint that is asked for it, and the answer; None without one."""

    need: StageNeed
    record: EndpointRecord
    answer: PlaceAnswer | None = None


@dataclass(slots=True)
class _Silence:
    """Time until which an owner is not asked, and how long it was not asked."""

    until: float = 0.0
    duration_s: float = field(default=_FIRST_SILENCE_S / 2)


class StageAdmission:
    """Asks the owners of the chosen endpoints of all stages for places.

    An owner knows the present backlog of its endpoints and what it has promised, which
    other nodes hear of every few seconds only.

    Parameters
    ----------
    scheduler : StageScheduler
        Chooses the endpoints and knows their owners.
    returns : ReturnOrder
        Refusals of the endpoints that this node owns.
    bus : PeerBus
        Exchanges messages with the owners.
    clock : Clock
        Monotonic time.
    metrics : Metrics
        Receives the counter ``stage_places_total``.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_has_logged_invalid",
        "_metrics",
        "_returns",
        "_scheduler",
        "_silent_owners",
    )

    def __init__(
        self,
        scheduler: StageScheduler,
        returns: ReturnOrder,
        bus: PeerBus,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._returns = returns
        self._scheduler = scheduler
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._silent_owners: dict[str, _Silence] = {}
        self._has_logged_invalid = False
        bus.subscribe(PlaceQuery, self._handle_query)
        bus.subscribe(PlaceRelease, self._handle_release)

    def request(
        self, context: RequestContext, needs: Sequence[StageNeed]
    ) -> StagePlan | StageRefusal:
        """Ask for places for all needs; refuse the request if one is declined.

        A declined place is asked for at another endpoint once, if a reply can be
        expected early enough for a refusal.
        """
        places = self._choose_places(context, needs)
        started_at = self._clock.monotonic()
        self._ask(context, places)
        asked_at = self._clock.monotonic()
        declined = [place for place in places if _is_declined(place)]
        limit_at = context.request.first_byte_at + _REFUSAL_LIMIT_S
        if declined and asked_at + (asked_at - started_at) <= limit_at:
            declined_at = {place.record.name for place in declined}
            moved = self._move(context, places, declined)
            self._ask(context, moved, is_repeat=True)
            decision = self._decide(context, places)
            if isinstance(decision, StagePlan):
                # They do not need to keep time for the caller's return.
                declined_at -= set(decision.endpoints.values())
                self._release(context, declined_at, True)
            return decision
        return self._decide(context, places)

    def _choose_places(
        self, context: RequestContext, needs: Sequence[StageNeed]
    ) -> list[_Place]:
        """Choose an endpoint for each need; needs without an endpoint have no place."""
        places: list[_Place] = []
        for need in needs:
            # Groups of a stage are spread only for lack of space or time: results in
            # another zone have to be transferred.
            record = self._choose_endpoint(context, need, places, "")
            if record is not None:
                places.append(_Place(need, record))
        return places

    def _choose_endpoint(
        self,
        context: RequestContext,
        need: StageNeed,
        places: Sequence[_Place],
        avoided: str,
    ) -> EndpointRecord | None:
        others = [place for place in places if place.need is not need]
        own_bytes = need.pieces * need.spec.result_bytes

        def remote_bytes(zone: str) -> int:
            input_bytes = sum(
                need.pieces * place.need.pieces * place.need.spec.result_bytes
                for place in others
                if place.need.stage in need.spec.depends_on
                and place.record.zone != zone
            )
            return need.remote_bytes(zone) + input_bytes

        def space_bytes(endpoint: str) -> int:
            return own_bytes + sum(
                place.need.pieces * place.need.spec.result_bytes
                for place in others
                if place.record.name == endpoint
            )

        return self._scheduler.choose_endpoint(
            need.spec.service,
            remote_bytes,
            space_bytes,
            context.priority,
            avoided,
            context.allowed_regions,
        )

    def _move(
        self, context: RequestContext, places: list[_Place], declined: list[_Place]
    ) -> list[_Place]:
        """Choose another endpoint for declined places; return those that have one."""
        moved = []
        for place in declined:
            record = self._choose_endpoint(
                context, place.need, places, place.record.name
            )
            if record is not None and record.name != place.record.name:
                place.record, place.answer = record, None
                moved.append(place)
        return moved

    def _ask(
        self,
        context: RequestContext,
        places: Sequence[_Place],
        is_repeat: bool = False,
    ) -> None:
        """Ask the owners in parallel and store their answers."""
        now = self._clock.monotonic()
        by_owner: dict[str, list[_Place]] = {}
        owners: dict[str, Member] = {}
        own: list[_Place] = []
        for place in places:
            owner = self._scheduler.find_caller(place.record, context.allowed_regions)
            if owner is None:
                own.append(place)
            elif self._silent_owners.get(owner.vm, _Silence()).until <= now:
                owners[owner.vm] = owner
                by_owner.setdefault(owner.vm, []).append(place)
        if own:
            answers = self._answer(_query(context, own, now, is_repeat))
            for place, answer in zip(own, answers, strict=True):
                place.answer = answer
        tasks = [
            gevent.spawn(self._ask_owner, context, owners[vm], group, is_repeat)
            for vm, group in by_owner.items()
        ]
        gevent.joinall(tasks)

    def _ask_owner(
        self,
        context: RequestContext,
        owner: Member,
        places: list[_Place],
        is_repeat: bool,
    ) -> None:
        now = self._clock.monotonic()
        reply = self._bus.request(
            owner.peer_address,
            _query(context, places, now, is_repeat),
            PlaceReply,
            _REPLY_TIMEOUT_S,
        )
        if isinstance(reply, NoReply) or len(reply.answers) != len(places):
            self._record_silence(owner.vm)
            # The promises of a reply that is lost or late are not used.
            self._release(context, {p.record.name for p in places})
            return
        if self._silent_owners.pop(owner.vm, None) is not None:
            _logger.info("endpoint owner offers places", extra={"owner": owner.vm})
        for place, answer in zip(places, reply.answers, strict=True):
            place.answer = answer
            self._scheduler.record_backlog(
                place.record.name, answer.wait_s_by_level, answer.backoff_s
            )

    def _record_silence(self, vm: str) -> None:
        self._metrics.count("stage_places_total", outcome="no_reply")
        silence = self._silent_owners.setdefault(vm, _Silence())
        if not silence.until:
            _logger.info("endpoint owner offers no places", extra={"owner": vm})
        silence.duration_s = min(2 * silence.duration_s, _MAX_SILENCE_S)
        silence.until = self._clock.monotonic() + silence.duration_s

    def _decide(
        self, context: RequestContext, places: list[_Place]
    ) -> StagePlan | StageRefusal:
        """Return the plan of a request, or its refusal with all promises released."""
        endpoints = {
            (place.need.stage, place.need.group): place.record.name
            for place in places
            if place.answer is not None and place.answer.is_promised
        }
        plan = StagePlan(endpoints, lambda names: self._release(context, names))
        declined = [place for place in places if _is_declined(place)]
        if declined:
            plan.release_unused()
            return self._refusal(declined)
        plan.is_complete = len(endpoints) == len(places)
        if not plan.is_complete:
            return plan
        now = self._clock.monotonic()
        plan.expected_s = _expected_s(places)
        plan.is_on_time = now + plan.expected_s <= context.latency_target_at and all(
            place.answer is not None and place.answer.is_on_time for place in places
        )
        remaining_s = context.first_byte_limit_at - now
        excess_s = plan.expected_s - remaining_s * _LATE_TIME_SHARE
        if not plan.is_on_time and excess_s > 0.0:
            plan.release_unused()
            self._metrics.count("stage_places_total", outcome="too_late_together")
            return StageRefusal(
                f"stages would take {plan.expected_s:.2f} s of {remaining_s:.2f} s",
                max(0.1, min(excess_s, _max_retry_after_s(context, now))),
            )
        outcome = "promised" if plan.is_on_time else "promised_late"
        self._metrics.count("stage_places_total", outcome=outcome)
        return plan

    def _refusal(self, declined: list[_Place]) -> StageRefusal:
        place = max(
            declined,
            key=lambda place: place.answer.retry_after_s if place.answer else 0,
        )
        assert place.answer is not None
        is_team_limit = place.answer.is_team_limit
        outcome = "over_team_share" if is_team_limit else "declined"
        self._metrics.count("stage_places_total", outcome=outcome)
        cause = "the team is over its share; " if is_team_limit else ""
        return StageRefusal(
            f"{cause}stage {place.need.stage} at {place.record.name} could start in"
            f" {place.answer.starts_in_s:.2f} s",
            place.answer.retry_after_s,
        )

    def _release(
        self, context: RequestContext, endpoints: set[str], is_admitted: bool = False
    ) -> None:
        request_id = context.metadata.request_id
        by_owner: dict[str, list[str]] = {}
        for endpoint in endpoints:
            record = self._scheduler.get_record(endpoint)
            if record is None:
                continue
            owner = self._scheduler.find_caller(record, context.allowed_regions)
            if owner is None:
                self._end_promises(record, request_id, is_admitted)
            else:
                by_owner.setdefault(owner.peer_address, []).append(endpoint)
        for address, names in by_owner.items():
            self._bus.notify(address, PlaceRelease(request_id, names, is_admitted))

    def _end_promises(
        self, record: EndpointRecord, request_id: str, is_admitted: bool
    ) -> None:
        self._scheduler.queue_of(record).places.give_up(request_id)
        if is_admitted:
            self._returns.forget(request_id)

    def _handle_query(self, sender: str, query: PlaceQuery) -> PlaceReply | None:
        if not _is_valid(query):
            if not self._has_logged_invalid:
                _logger.warning("invalid place query", extra={"sender": sender})
            self._has_logged_invalid = True
            return None
        self._has_logged_invalid = False
        return PlaceReply(self._answer(query))

    def _handle_release(self, sender: str, notification: PlaceRelease) -> None:
        for endpoint in notification.endpoints:
            record = self._scheduler.get_record(endpoint)
            if record is not None:
                self._end_promises(
                    record, notification.request_id, notification.is_admitted
                )

    def _answer(self, query: PlaceQuery) -> list[PlaceAnswer]:
        """Answer a query for endpoints that this node owns.

        Promises at the endpoints are kept until they are used, released or lapse.
        """
        now = self._clock.monotonic()
        arrival = self._returns.recognise(
            query.fingerprint, query.request_id, query.has_returned
        )
        answers = []
        for item in query.items:
            record = self._scheduler.get_record(item.endpoint)
            if record is None:
                answers.append(PlaceAnswer(False, False, 0.0, 0.1, False, (0.0,)))
                continue
            queue = self._scheduler.queue_of(record)
            backlog = queue.backlog()
            reply = queue.request_place(
                PlaceRequest(
                    query.request_id,
                    item.stage,
                    item.group,
                    item.pieces,
                    item.result_bytes,
                    query.priority,
                    query.team,
                    now + item.arrives_in_s,
                    now + item.latest_start_in_s,
                    now + item.latest_useful_in_s,
                    arrival,
                    query.fingerprint,
                    query.max_retry_after_s,
                    query.is_repeat,
                )
            )
            is_promised = isinstance(reply, PlaceOffer)
            answers.append(
                PlaceAnswer(
                    is_promised,
                    isinstance(reply, PlaceOffer) and reply.is_on_time,
                    max(0.0, reply.starts_at - now),
                    0.0 if isinstance(reply, PlaceOffer) else reply.retry_after_s,
                    not isinstance(reply, PlaceOffer) and reply.is_team_limit,
                    backlog.wait_s_by_level,
                    queue.backoff_s(),
                )
            )
        return answers


def _query(
    context: RequestContext, places: Sequence[_Place], now: float, is_repeat: bool
) -> PlaceQuery:
    remaining_s = context.first_byte_limit_at - now
    late_margin_s = remaining_s * (1 - _LATE_TIME_SHARE)
    return PlaceQuery(
        context.metadata.request_id,
        context.priority,
        context.team,
        context.has_returned,
        context.return_fingerprint(),
        _max_retry_after_s(context, now),
        [
            PlaceItem(
                place.record.name,
                place.need.stage,
                place.need.group,
                place.need.pieces,
                place.need.spec.result_bytes,
                place.need.arrives_in_s,
                place.need.latest_start_at - now,
                place.need.latest_useful_at - late_margin_s - now,
            )
            for place in places
        ],
        is_repeat,
    )


def _max_retry_after_s(context: RequestContext, now: float) -> float:
    """Return after which time callers return at the latest."""
    return max(0.0, context.deadline_at - now) / 3


def _is_declined(place: _Place) -> bool:
    return place.answer is not None and not place.answer.is_promised


def _expected_s(places: Sequence[_Place]) -> float:
    """Return the expected time until the first token, from the answers."""
    stage_s: dict[int, float] = {}
    for place in places:
        assert place.answer is not None
        wait_s = max(0.0, place.answer.starts_in_s - place.need.arrives_in_s)
        height = place.need.height
        stage_s[height] = max(stage_s.get(height, 0.0), wait_s + place.need.call_s)
    return _FIRST_TOKEN_S + sum(stage_s.values())


def _is_valid(query: PlaceQuery) -> bool:
    """Return whether all numbers of a query are possible."""
    times = [query.max_retry_after_s]
    for item in query.items:
        times += [item.arrives_in_s, item.latest_start_in_s, item.latest_useful_in_s]
        if item.pieces < 1 or item.result_bytes < 0 or item.arrives_in_s < 0:
            return False
    return query.priority >= 0 and all(map(isfinite, times))
