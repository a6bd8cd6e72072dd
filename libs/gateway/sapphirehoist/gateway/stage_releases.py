"""Gives up the results of stages that are no longer needed."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.stage_messages import ReleaseNews
from sapphirehoist.gateway.stage_queue import EndpointQueue, QueueParts
from sapphirehoist.http1 import Reply
from sapphirehoist.membership import Member
from sapphirehoist.peers import PeerBus

# Results that are no longer needed are given up together, soon.
_RELEASE_EVERY_S = 0.02
_RELEASE_TIMEOUT_S = 1.0
_HANDLES_PER_CALL = 200


class ResultReleases:
    """Collects results, and has each endpoint's owner give them up there.

    Parameters
    ----------
    bus : PeerBus
        Other nodes.
    directory : EndpointDirectory
        Endpoints.
    find_owner : callable
        Returns the node that owns an endpoint; None where this node does.
    find_queue : callable
        Returns this node's queue of an endpoint by name, or None.
    parts : QueueParts
        What every queue shares.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_collected",
        "_directory",
        "_find_owner",
        "_find_queue",
        "_parts",
    )

    def __init__(
        self,
        bus: PeerBus,
        directory: EndpointDirectory,
        find_owner: Callable[[EndpointRecord], Member | None],
        find_queue: Callable[[str], EndpointQueue | None],
        parts: QueueParts,
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._find_owner = find_owner
        self._find_queue = find_queue
        self._parts = parts
        self._clock: Clock = parts.clock
        self._collected: dict[str, list[str]] = {}
        bus.subscribe(ReleaseNews, self._handle)

    def add(self, endpoint: str, handle: str) -> None:
        """Give up a result soon."""
        self._collected.setdefault(endpoint, []).append(handle)

    def run(self) -> None:
        """Pass collected results on, until killed."""
        while True:
            self._clock.sleep(_RELEASE_EVERY_S)
            collected, self._collected = self._collected, {}
            for endpoint, handles in collected.items():
                self._pass_on(endpoint, handles)

    def give_up(self, endpoint: str, handles: list[str]) -> None:
        """Ask an endpoint that this node owns to drop results."""
        record = self._directory.get(endpoint)
        if record is None:
            return
        for first in range(0, len(handles), _HANDLES_PER_CALL):
            part = handles[first : first + _HANDLES_PER_CALL]
            gevent.spawn(self._send, record, part)

    def _handle(self, sender: str, news: ReleaseNews) -> None:
        self.give_up(news.endpoint, news.handles)

    def _pass_on(self, endpoint: str, handles: list[str]) -> None:
        record = self._directory.get(endpoint)
        if record is None:
            return
        owner = self._find_owner(record)
        if owner is None:
            self.give_up(endpoint, handles)
        else:
            self._bus.tell(owner.peer_address, ReleaseNews(endpoint, handles))

    def _send(self, record: EndpointRecord, handles: list[str]) -> None:
        """Ask once: results that are not given up lapse by themselves."""
        parts = self._parts
        parts.metrics.count("stage_results_released_total", len(handles))
        with gevent.Timeout(_RELEASE_TIMEOUT_S, False):
            reply = parts.connections.call(
                record.address,
                parts.dialect.free_request(handles),
                lambda head: True,
            )
            if isinstance(reply, Reply):
                reply.read_all()
                reply.close()
        queue = self._find_queue(record.name)
        if queue is not None:
            queue.release(handles)
