"""Asks other nodes whether they reach an endpoint that this node does not reach."""

from __future__ import annotations

import logging
from random import Random
from typing import ClassVar

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import PathObservation, PathVerdict, judge_endpoint
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.http1 import EndpointConnector, NotSent
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_ASKED_NODES = 3
# Other endpoints to which a node connects to find out whether it has any path.
_COMPARED_ENDPOINTS = 3
# A connection across regions takes less than this.
_COMPARISON_DELAY_S = 0.25
# Covers the timeout of a connection attempt after that delay.
_REPLY_TIMEOUT_S = 1.8
# An endpoint that has crashed is back after some seconds.
_DOWN_RETENTION_S = 5.0

_logger = logging.getLogger(__name__)


class PathObservationRequest(PeerMessage, frozen=True, array_like=True):
    """Asks the receiver to connect to an endpoint that it knows."""

    KIND: ClassVar[str] = "gateway.path_observation_request"

    endpoint: str
    born_ms: int


class PathObservationReply(PeerMessage, frozen=True, array_like=True):
    """What the sender saw; see `PathObservation`."""

    KIND: ClassVar[str] = "gateway.path_observation_reply"

    observation: PathObservation


class EndpointPathCheck:
    """Finds out whether an endpoint has failed or the path of this VM to it.

    Parameters
    ----------
    connector : EndpointConnector
        Connects to endpoints from this VM.
    directory : EndpointDirectory
        Known endpoints.
    fleet : Fleet
        Nodes that can be asked.
    bus : PeerBus
        Exchanges messages with them.
    clock : Clock
        Monotonic time.
    random : Random
        Chooses nodes, and endpoints for comparison.
    metrics : Metrics
        Receives ``endpoint_path_checks_total``.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_connector",
        "_directory",
        "_down_since",
        "_fleet",
        "_metrics",
        "_random",
    )

    def __init__(
        self,
        connector: EndpointConnector,
        directory: EndpointDirectory,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._connector = connector
        self._directory = directory
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._down_since: dict[str, float] = {}
        self._random = random
        self._metrics = metrics
        bus.subscribe(PathObservationRequest, self._handle_request)

    def check(self, endpoint: EndpointRecord) -> PathVerdict:
        """Connect to `endpoint` from this VM and, where that fails, from others."""
        own_call = gevent.spawn(self._observe, endpoint)
        own_call.join(_COMPARISON_DELAY_S)
        if own_call.ready() and own_call.get() is PathObservation.REACHED:
            return PathVerdict.ENDPOINT_UP
        members = self._fleet.other_members()
        asked = self._random.sample(members, min(_ASKED_NODES, len(members)))
        calls = [gevent.spawn(self._ask, member, endpoint) for member in asked]
        replies = [
            (member.vm, call.get()) for member, call in zip(asked, calls, strict=True)
        ]
        observations = {vm: reply for vm, reply in replies if reply is not None}
        own = own_call.get()
        verdict = judge_endpoint(own, observations.values(), is_alone=not members)
        self._metrics.count("endpoint_path_checks_total", verdict=verdict.value)
        _logger.info(
            "endpoint checked",
            extra={
                "endpoint": endpoint.name,
                "address": endpoint.address,
                "own_observation": own.value,
                "other_observations": {vm: o.value for vm, o in observations.items()},
                "verdict": verdict.value,
            },
        )
        return verdict

    def record_down(self, endpoint: str) -> None:
        """Record that an endpoint has crashed, so that nothing is compared with it."""
        now = self._clock.monotonic()
        for name, down_since in list(self._down_since.items()):
            if now - down_since >= _DOWN_RETENTION_S:
                del self._down_since[name]
        self._down_since[endpoint] = now

    def _is_down(self, endpoint: str) -> bool:
        down_since = self._down_since.get(endpoint)
        if down_since is None:
            return False
        return self._clock.monotonic() - down_since < _DOWN_RETENTION_S

    def _observe(self, endpoint: EndpointRecord) -> PathObservation:
        own_call = gevent.spawn(self._can_connect, endpoint)
        own_call.join(_COMPARISON_DELAY_S)
        if own_call.ready() and own_call.get():
            return PathObservation.REACHED
        compared = [
            record
            for record in self._directory.list_all()
            if record.address != endpoint.address and not self._is_down(record.name)
        ]
        sample = self._random.sample(compared, min(_COMPARED_ENDPOINTS, len(compared)))
        calls = [gevent.spawn(self._can_connect, record) for record in sample]
        if own_call.get():
            return PathObservation.REACHED
        if not calls or any(call.get() for call in gevent.iwait(calls)):
            return PathObservation.UNREACHED
        return PathObservation.NO_PATH

    def _can_connect(self, endpoint: EndpointRecord) -> bool:
        sock = self._connector.connect(endpoint.address)
        if isinstance(sock, NotSent):
            return False
        sock.close()
        return True

    def _ask(self, member: Member, endpoint: EndpointRecord) -> PathObservation | None:
        reply = self._bus.request(
            member.peer_address,
            PathObservationRequest(endpoint.name, endpoint.born_ms),
            PathObservationReply,
            _REPLY_TIMEOUT_S,
        )
        return None if isinstance(reply, NoReply) else reply.observation

    def _handle_request(
        self, sender: str, request: PathObservationRequest
    ) -> PathObservationReply | None:
        endpoint = self._directory.get(request.endpoint)
        if endpoint is None or endpoint.born_ms != request.born_ms:
            return None
        return PathObservationReply(self._observe(endpoint))
