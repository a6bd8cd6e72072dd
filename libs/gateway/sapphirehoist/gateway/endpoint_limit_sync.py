"""Shares the limits that endpoints name, so that all nodes keep them together."""

from __future__ import annotations

import logging
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import EndpointLimits, LimitState, RateHolders, limit_share
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.messages import element_digest
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_PEER_REQUEST_TIMEOUT_S = 1.0
# Shares follow the view of the fleet, and the time for which its dead members count.
_SHARE_REFRESH_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


class LimitUpdate(PeerMessage, frozen=True, array_like=True):
    """Publishes the limit of one incarnation of an endpoint; see `LimitState`."""

    KIND: ClassVar[str] = "gateway.endpoint_limit"

    endpoint: str
    born_ms: int
    revision: int
    per_s: float | None


class BrittleUpdate(LimitUpdate, frozen=True, array_like=True):
    """Publishes how many rejections per second a brittle endpoint survives."""

    KIND: ClassVar[str] = "gateway.brittle_endpoint"


class ColdUpdate(PeerMessage, frozen=True, array_like=True):
    """Publishes that an endpoint stated a longer warm-up time in a reply.

    It is not repaired by a digest: entries state the same within about 2 s. VMs of
    earlier builds ignore it.
    """

    KIND: ClassVar[str] = "gateway.cold_endpoint"

    endpoint: str
    born_ms: int
    remaining_ms: int


class LimitsRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the limits of all endpoints that the receiver knows."""

    KIND: ClassVar[str] = "gateway.endpoint_limits_request"


class LimitsReply(PeerMessage, frozen=True, array_like=True):
    """The limits of all endpoints that the sender knows."""

    KIND: ClassVar[str] = "gateway.endpoint_limits_reply"

    updates: list[LimitUpdate]


class BrittleRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the brittle endpoints that the receiver knows."""

    KIND: ClassVar[str] = "gateway.brittle_endpoints_request"


class BrittleReply(PeerMessage, frozen=True, array_like=True):
    """The brittle endpoints that the sender knows."""

    KIND: ClassVar[str] = "gateway.brittle_endpoints_reply"

    updates: list[BrittleUpdate]


class EndpointLimitSync:
    """Replicates the limits of endpoints, and divides them among the serving nodes.

    Parameters
    ----------
    limits : EndpointLimits
        Limits known to this node; updated with those that peers publish.
    directory : EndpointDirectory
        Known endpoints; limits of others are neither kept nor compared.
    fleet : Fleet
        Nodes that share a limit; floods changes and compares digests.
    bus : PeerBus
        Requests the limits that a peer knows.
    clock : Clock
        Source of monotonic time.
    brittle : EndpointLimits
        Rejections that brittle endpoints survive; replicated like limits.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_directory",
        "_fleet",
        "_holders",
        "_brittle",
        "_limits",
        "_shares",
        "_shares_revision",
    )

    def __init__(
        self,
        limits: EndpointLimits,
        directory: EndpointDirectory,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        brittle: EndpointLimits,
    ) -> None:
        self._brittle = brittle
        self._clock = clock
        self._limits = limits
        self._directory = directory
        self._fleet = fleet
        self._bus = bus
        # By endpoint and limit, as of `_shares_revision` of the view.
        self._shares: dict[tuple[str, float, str], float] = {}
        self._shares_revision = (-1, 0)
        self._holders = RateHolders(clock)
        fleet.add_digest(Digest("limits", self._read_digest, self._reconcile))
        fleet.subscribe_updates(LimitUpdate, self._handle_update)
        fleet.subscribe_updates(ColdUpdate, self._handle_cold)
        bus.subscribe(LimitsRequest, self._handle_request)
        fleet.subscribe_updates(BrittleUpdate, self._handle_brittle)
        bus.subscribe(BrittleRequest, self._handle_brittle_request)

    def share(self, endpoint: str, per_s: float) -> float:
        """Return the fraction of the limit of an endpoint that this node may use."""
        self._discard_old_shares()
        key = (endpoint, per_s, "")
        if key not in self._shares:
            serving = [
                member.vm
                for member in self._fleet.present_members()
                if self._fleet.is_serving(member.vm)
            ]
            vm = self._fleet.local_member.vm
            self._shares[key] = limit_share(endpoint, per_s, vm, serving)
        return self._shares[key]

    def regional_share(
        self, endpoint: str, region: str, per_s: float, max_burst: float
    ) -> float:
        """Return the fraction of a rate that this node may use at an endpoint.

        The rate is divided over the VMs of the endpoint's region, or over all VMs if
        the region has none. `max_burst` is as in `limit_share`.
        """
        self._discard_old_shares()
        key = (endpoint, per_s, region)
        if key not in self._shares:
            self._shares[key] = limit_share(
                endpoint,
                per_s,
                self._fleet.local_member.vm,
                self._holders.list_in(region),
                max_burst,
            )
        return self._shares[key]

    def _discard_old_shares(self) -> None:
        period = int(self._clock.monotonic() / _SHARE_REFRESH_INTERVAL_S)
        revision = (self._fleet.view.revision, period)
        if self._shares_revision == revision:
            return
        self._shares_revision = revision
        self._shares.clear()
        fleet = self._fleet
        self._holders.update(
            [
                (m.vm, m.region)
                for m in fleet.present_members()
                if fleet.is_serving(m.vm)
            ],
            [(m.vm, m.region) for m in fleet.dead_members()],
        )

    def add_brittle_digest(self) -> None:
        """Compare brittle endpoints; called after all digests of earlier builds."""
        self._fleet.add_digest(
            Digest("brittle", self._read_brittle_digest, self._reconcile_brittle)
        )

    def possible_senders(self) -> list[str]:
        """Return the VMs that may send requests; a new list for each change."""
        self._discard_old_shares()
        return self._holders.names

    def publish(self, state: LimitState) -> None:
        """Broadcast a limit that this node learned from the endpoint."""
        self._log_state(state, "its own reply")
        self._fleet.broadcast(_to_update(state))

    def publish_brittle(self, state: LimitState) -> None:
        """Broadcast what a reply stated about the rejections of an endpoint."""
        self._log_brittle(state, "its own reply")
        self._fleet.broadcast(_to_brittle(state))

    def _handle_brittle(self, update: BrittleUpdate) -> bool:
        state = LimitState(
            update.endpoint, update.born_ms, update.revision, update.per_s
        )
        is_new = self._is_current(state) and self._brittle.apply(state)
        if is_new:
            self._log_brittle(state, "a peer")
        return is_new

    def _log_brittle(self, state: LimitState, source: str) -> None:
        is_brittle = state.per_s is not None
        _logger.info(
            "endpoint brittle" if is_brittle else "endpoint not brittle",
            extra={
                "endpoint": state.endpoint,
                "survived_rejections_per_s": state.per_s,
                "revision": state.revision,
                "source": source,
            },
        )

    def _read_brittle_digest(self) -> int:
        return self._digest_of(self._brittle)

    def _reconcile_brittle(self, member: Member, remote_digest: int) -> None:
        reply = self._bus.request(
            member.peer_address,
            BrittleRequest(),
            BrittleReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return
        for update in reply.updates:
            if self._handle_brittle(update):
                self._fleet.broadcast(update)

    def _handle_brittle_request(
        self, sender: str, request: BrittleRequest
    ) -> BrittleReply:
        return BrittleReply([_to_brittle(state) for state in self._brittle.states()])

    def publish_cold(self, record: EndpointRecord, remaining_s: float) -> None:
        """Broadcast a warm-up time that an endpoint stated to this node."""
        remaining_ms = int(remaining_s * 1000)
        self._fleet.broadcast(ColdUpdate(record.name, record.born_ms, remaining_ms))

    def _handle_cold(self, update: ColdUpdate) -> bool:
        record = self._directory.get(update.endpoint)
        if record is None or record.born_ms != update.born_ms:
            return False
        # It is as old as any reply, so that it only extends what is known.
        return self._directory.record_cold(
            record, update.remaining_ms / 1000, float("-inf")
        )

    def _handle_update(self, update: LimitUpdate) -> bool:
        state = LimitState(
            update.endpoint, update.born_ms, update.revision, update.per_s
        )
        is_new = self._is_current(state) and self._limits.apply(state)
        if is_new:
            self._log_state(state, "a peer")
        return is_new

    def _log_state(self, state: LimitState, source: str) -> None:
        _logger.info(
            "endpoint limit changed",
            extra={
                "endpoint": state.endpoint,
                "limit_per_s": state.per_s,
                "revision": state.revision,
                "source": source,
            },
        )

    def _is_current(self, state: LimitState) -> bool:
        record = self._directory.get(state.endpoint)
        return record is not None and record.born_ms == state.incarnation

    def _read_digest(self) -> int:
        return self._digest_of(self._limits)

    def _digest_of(self, limits: EndpointLimits) -> int:
        digest = 0
        for state in limits.states():
            if state.per_s is not None and self._is_current(state):
                digest ^= element_digest(f"{state.endpoint} {state.precedence()}")
        return digest

    def _reconcile(self, member: Member, remote_digest: int) -> None:
        reply = self._bus.request(
            member.peer_address,
            LimitsRequest(),
            LimitsReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return
        for update in reply.updates:
            if self._handle_update(update):
                self._fleet.broadcast(update)

    def _handle_request(self, sender: str, request: LimitsRequest) -> LimitsReply:
        return LimitsReply([_to_update(state) for state in self._limits.states()])


def _to_brittle(state: LimitState) -> BrittleUpdate:
    return BrittleUpdate(state.endpoint, state.incarnation, state.revision, state.per_s)


def _to_update(state: LimitState) -> LimitUpdate:
    return LimitUpdate(state.endpoint, state.incarnation, state.revision, state.per_s)
