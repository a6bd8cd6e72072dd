"""Model engine whose streams fall silent, break off or are continued wrongly."""

from __future__ import annotations

from enum import Enum
from itertools import count
from random import Random

import gevent
from gevent.lock import BoundedSemaphore
from stream_checker import make_event

from sapphirehoist.adapter.tests.standins import (
    EndpointStandIn,
    StoreStandIn,
    request_id_of,
    sealed_head,
)
from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import CallerRequest, Exchange, ResponseHead

EVENT_COUNT = 20
SLOTS = 16
# Routes of this prefix have streams that no other engine may continue.
SINGLE_RUN_PREFIX = "tell"
_EVENT_INTERVAL_S = 0.08
_SPLIT_SHARE = 0.4
_BREAK_SHARE = 0.15
_WRONG_ANSWER_SHARE = 0.3
_MAX_BURST = 5
_clock = SystemClock()


class EngineFault(Enum):
    """What an engine may do besides falling silent and sending events at once."""

    COMMENTS = "comments"
    TWO_IDS = "two_ids"
    BREAKS = "breaks"
    RESTARTS = "restarts"
    WRONG_ANSWERS = "wrong_answers"


class StreamEngine:
    """Streams the events of each request in one of its slots; others wait for one.

    Every answer is a function of the seed, the engine and the request.

    Parameters
    ----------
    name : str
        Name of the engine.
    store : StoreStandIn
        Store to register in.
    faults : set of EngineFault
        Faults to show.
    seed : int
        Seed of every random choice.
    """

    __slots__ = (
        "_faults",
        "_restarts",
        "_runs",
        "_seed",
        "_silent_until",
        "_slots",
        "endpoint",
    )

    def __init__(
        self, name: str, store: StoreStandIn, faults: set[EngineFault], seed: int
    ) -> None:
        self._faults = faults
        self._seed = seed
        self._slots = BoundedSemaphore(SLOTS)
        self._silent_until = 0.0
        self._restarts = 0
        self._runs = count(1)
        self.endpoint = EndpointStandIn(name, "model", store, self._handle).start()
        self.endpoint.update_entry(slots=SLOTS)

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for `duration_s`."""
        self._silent_until = _clock.monotonic() + duration_s

    def restart(self) -> None:
        """Break off all streams and register as a new incarnation."""
        self._restarts += 1
        self.endpoint.update_entry(born=self.endpoint.entry["born"] + 1)

    def _handle(
        self, endpoint: EndpointStandIn, request: CallerRequest, exchange: Exchange
    ) -> None:
        last_id = int(request.head.headers.get("Last-Event-Id") or 0)
        random = Random(
            f"{self._seed}/{endpoint.name}/{request_id_of(request)}/{last_id}"
        )
        answers = ["text", "untyped text", "text as events", "nothing", "first event"]
        is_wrong = random.random() < _WRONG_ANSWER_SHARE
        is_wrong &= bool(last_id) and EngineFault.WRONG_ANSWERS in self._faults
        answer = random.choice(answers) if is_wrong else ""
        with self._slots:
            head = sealed_head(endpoint, request)
            media_type = "text/plain" if answer == "text" else "text/event-stream"
            if answer != "untyped text":
                extended = head.headers.adding([("Content-Type", media_type)])
                head = ResponseHead(head.status, extended)
            if "text" in answer:
                exchange.respond(head, b"upstream\n\nconnect error\n\n")
            elif answer == "nothing":
                exchange.respond(head)
            else:
                first_id = 1 if answer else last_id + 1
                self._stream(request, exchange, head, first_id, random)

    def _stream(
        self,
        request: CallerRequest,
        exchange: Exchange,
        head: ResponseHead,
        first_id: int,
        random: Random,
    ) -> None:
        route, stream = request.head.path.strip("/").split("/")
        is_single_run = route.startswith(SINGLE_RUN_PREFIX)
        run = f"{stream}/{next(self._runs) if is_single_run else 0}"
        restarts = self._restarts
        break_after = EVENT_COUNT + 1
        if EngineFault.BREAKS in self._faults and random.random() < _BREAK_SHARE:
            break_after = random.randint(first_id, EVENT_COUNT)
        exchange.begin(head, None)
        next_id = first_id
        while next_id <= EVENT_COUNT:
            block, next_id = self._make_block(run, next_id, random)
            sent = random.randrange(len(block)) if random.random() < _SPLIT_SHARE else 0
            if sent:
                exchange.send(block[:sent])
            was_silent = self._pause()
            rest = block[sent:]
            for _ in range(random.randint(1, _MAX_BURST) if was_silent else 0):
                if next_id <= EVENT_COUNT:
                    block, next_id = self._make_block(run, next_id, random)
                    rest += block
            if next_id > break_after or restarts != self._restarts:
                exchange.send(rest[: random.randint(1, len(rest))])
                # The bytes arrive before the connection is reset.
                gevent.sleep(_EVENT_INTERVAL_S)
                exchange.abort()
                return
            exchange.send(rest)
        exchange.finish()

    def _pause(self) -> bool:
        """Wait for the next event; return whether the engine has been silent."""
        gevent.sleep(_EVENT_INTERVAL_S)
        was_silent = False
        while (wait_s := self._silent_until - _clock.monotonic()) > 0:
            was_silent = True
            gevent.sleep(wait_s)
        return was_silent

    def _make_block(self, run: str, first_id: int, random: Random) -> tuple[bytes, int]:
        """Return an event, with a comment at times, and the id after it."""
        is_double = EngineFault.TWO_IDS in self._faults and random.random() < 0.2
        id_count = 2 if is_double and first_id < EVENT_COUNT else 1
        block = make_event(run, first_id, id_count)
        if EngineFault.COMMENTS in self._faults and random.random() < 0.2:
            block += b": keep-alive\n\n"
        return block, first_id + id_count
