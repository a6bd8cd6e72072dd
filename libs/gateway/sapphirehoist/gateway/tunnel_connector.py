"""Connects to endpoints through other nodes where this VM has no path of its own.

An endpoint that this VM does not reach at once is tried through another VM at the same
time, and the first connection is used (cf. Happy Eyeballs, RFC 8305). Nothing has been
sent by then, so a request is sent over one connection only, and its deadline, retries,
cancellation and at-most-once execution remain with this node.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TypeAlias

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    Distance,
    EndpointPaths,
    TunnelHelper,
    TunnelHelpers,
)
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.tunnel_messages import (
    PauseNotification,
    TunnelOutcome,
    TunnelReply,
    TunnelRequest,
    TunnelSocket,
)
from sapphirehoist.http1 import EndpointConnector, EndpointSocket, NotSent
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus

# A connection across regions takes less than this.
_TUNNEL_DELAY_S = 0.15
# Covers the timeout of a connection attempt.
_TUNNEL_TIMEOUT_S = 1.4
# Another VM is asked if one has not replied for this long.
_NEXT_HELPER_DELAY_S = 0.25
_MAX_ASKED_HELPERS = 6
# VMs of one availability zone tend to lose their paths together, so that after so many
# of a zone those of other zones are asked first.
_MAX_ASKED_PER_ZONE = 2
_NO_PATH_HOLD_S = 2.0
_REFUSAL_HOLD_S = 0.2
# An endpoint that no VM reached is not tried through other VMs for this long. It is not
# tried at all if it did not refuse the connection but timed out.
_UNREACHED_HOLD_S = 0.5
_UNREACHED_RETENTION_S = 60.0
_PROBE_INTERVAL_S = 0.5
# Time for which a helper is told what the endpoint asks for.
_HELPER_RETENTION_S = 5.0

# Address of an endpoint, and regions of the VMs that may be asked for a tunnel.
_Target: TypeAlias = tuple[str, frozenset[str] | None]

_logger = logging.getLogger(__name__)


class TunnelConnector(EndpointConnector):
    """Connects from this VM or, where its path is lost, through another one.

    Parameters
    ----------
    connector : EndpointConnector
        Connects from this VM.
    is_evacuated : callable
        Returns whether no tunnel may be opened to endpoints in an availability zone.
    paths : EndpointPaths
        Paths of this VM; updated.
    directory : EndpointDirectory
        Known endpoints; other addresses are reached from this VM only.
    fleet : Fleet
        Nodes that may help.
    bus : PeerBus
        Opens tunnels.
    distance : callable
        Returns the distance between two availability zones.
    clock : Clock
        Monotonic time.
    random : Random
        Chooses among helpers.
    metrics : Metrics
        Receives ``tunnels_total`` and ``lost_paths_total``.

    Attributes
    ----------
    on_path_lost : callable
        Called with an endpoint when the path to it is found to be lost.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_connector",
        "_directory",
        "_distance",
        "_fleet",
        "_has_lost_path",
        "_helpers",
        "_helpers_used",
        "_is_evacuated",
        "_metrics",
        "_paths",
        "_silent_until",
        "_unreached_until",
        "on_path_lost",
    )

    def __init__(
        self,
        connector: EndpointConnector,
        is_evacuated: Callable[[str], bool],
        paths: EndpointPaths,
        directory: EndpointDirectory,
        fleet: Fleet,
        bus: PeerBus,
        distance: Callable[[str, str], Distance],
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._connector = connector
        self._is_evacuated = is_evacuated
        self._paths = paths
        self._directory = directory
        self._fleet = fleet
        self._bus = bus
        self._distance = distance
        self._clock = clock
        self._metrics = metrics
        self._helpers = TunnelHelpers(clock, random)
        # Monotonic time of the last tunnel by endpoint and VM.
        self._helpers_used: dict[str, dict[str, float]] = {}
        # Monotonic time by address and regions of the VMs that were asked; of those
        # that timed out, and of all.
        self._silent_until: dict[_Target, float] = {}
        self._unreached_until: dict[_Target, float] = {}
        self._has_lost_path = Event()
        self.on_path_lost: Callable[[EndpointRecord], None] = lambda endpoint: None

    def connect(
        self, address: str, relay_regions: frozenset[str] | None = None
    ) -> EndpointSocket | NotSent:
        """Return a connection to ``IP:PORT``, or why there is none.

        Only VMs in `relay_regions` are asked for a tunnel; any if it is None.
        """
        if not self._fleet.other_members():
            return self._connect_directly(address)
        if self._paths.is_lost(address):
            return self._open_tunnel(address, relay_regions)
        return self._connect_either_way(address, relay_regions)

    def is_reusable(self, sock: EndpointSocket) -> bool:
        """Return whether a connection may serve several requests.

        The VM that relays a tunnel cannot tell its requests apart, and may have to
        refuse the next one.
        """
        return not isinstance(sock, TunnelSocket)

    def forward_pause(self, endpoint: EndpointRecord, pause_s: float) -> None:
        """Tell the VMs that connected to `endpoint` that it asked for a pause."""
        members = {member.vm: member for member in self._fleet.other_members()}
        oldest = self._clock.monotonic() - _HELPER_RETENTION_S
        message = PauseNotification(endpoint.name, endpoint.born_ms, pause_s)
        for vm, used_at in self._helpers_used.get(endpoint.name, {}).items():
            if used_at > oldest and vm in members:
                self._bus.notify(members[vm].peer_address, message)

    def run(self) -> None:
        """Try lost paths again at an interval, until killed."""
        while True:
            self._has_lost_path.wait()
            self._clock.sleep(_PROBE_INTERVAL_S)
            self._probe_lost_paths()

    def _probe_lost_paths(self) -> None:
        """Try lost paths in turn, up to the first one that is still lost."""
        while True:
            endpoints = {e.address: e for e in self._directory.list_all()}
            address = self._paths.next_probe(endpoints)
            if address is None:
                self._has_lost_path.clear()
                return
            sock = self._connect_directly(address)
            if isinstance(sock, NotSent):
                return
            sock.close()
            _logger.info("path restored", extra={"endpoint": endpoints[address].name})

    def _find_endpoint(self, address: str) -> EndpointRecord | None:
        for endpoint in self._directory.list_all():
            if endpoint.address == address:
                return endpoint
        return None

    def _connect_directly(self, address: str) -> EndpointSocket | NotSent:
        sock = self._connector.connect(address)
        if not isinstance(sock, NotSent):
            self._paths.record_reached(address)
            for until in (self._unreached_until, self._silent_until):
                for target in [target for target in until if target[0] == address]:
                    del until[target]
        return sock

    def _connect_either_way(
        self, address: str, relay_regions: frozenset[str] | None
    ) -> EndpointSocket | NotSent:
        """Return the first connection, from this VM or through another one."""
        started_at = self._clock.monotonic()
        target = (address, relay_regions)
        if started_at < self._silent_until.get(target, 0.0):
            return NotSent(f"{address}: no VM reached it lately")
        if target in self._silent_until:
            # One attempt at a time finds out whether the endpoint is back.
            self._silent_until[target] = started_at + _TUNNEL_TIMEOUT_S
        may_tunnel = started_at >= self._unreached_until.get(target, 0.0)
        calls = [gevent.spawn(self._connect_directly, address)]
        chosen = None
        try:
            calls[0].join(_TUNNEL_DELAY_S)
            is_connected = calls[0].ready() and not isinstance(calls[0].get(), NotSent)
            if may_tunnel and not is_connected:
                calls.append(gevent.spawn(self._open_tunnel, address, relay_regions))
            for call in gevent.iwait(calls):
                if not isinstance(call.get(), NotSent):
                    chosen = call
                    break
        finally:
            for call in calls:
                if call is not chosen:
                    call.rawlink(_close_result)
        if chosen is None:
            self._record_unreached(target, started_at)
            return calls[0].get()
        if chosen is not calls[0]:
            self._record_lost(address)
        return chosen.get()

    def _record_unreached(self, target: _Target, started_at: float) -> None:
        now = self._clock.monotonic()
        for until in (self._unreached_until, self._silent_until):
            for known, until_at in list(until.items()):
                if until_at < now - _UNREACHED_RETENTION_S:
                    del until[known]
        self._unreached_until[target] = now + _UNREACHED_HOLD_S
        if now - started_at > _TUNNEL_DELAY_S:
            self._silent_until[target] = now + _UNREACHED_HOLD_S

    def _record_lost(self, address: str) -> None:
        endpoint = self._find_endpoint(address)
        if endpoint is None:
            return
        was_cut_off = self._paths.is_cut_off
        self._paths.record_lost(address)
        self._has_lost_path.set()
        self._metrics.count("lost_paths_total")
        _logger.info(
            "path lost",
            extra={"endpoint": endpoint.name, "cut_off": self._paths.is_cut_off},
        )
        affected = [endpoint]
        if self._paths.is_cut_off and not was_cut_off:
            affected = self._directory.list_all()
        for lost in affected:
            self.on_path_lost(lost)

    def _open_tunnel(
        self, address: str, relay_regions: frozenset[str] | None
    ) -> EndpointSocket | NotSent:
        """Ask one VM after the other for a tunnel, and return the first one."""
        endpoint = self._find_endpoint(address)
        if endpoint is None:
            return NotSent(f"{address}: no known endpoint")
        if self._is_evacuated(endpoint.zone):
            return NotSent(f"{address}: its zone is evacuated")
        ends_at = self._clock.monotonic() + _TUNNEL_TIMEOUT_S
        replies: Queue = Queue()
        asked: Counter[str] = Counter()
        asked_vms: set[str] = set()
        pending = 0
        tunnel: TunnelSocket | None = None
        try:
            while tunnel is None and self._clock.monotonic() < ends_at:
                member = self._choose_helper(asked, asked_vms, relay_regions)
                if member is not None:
                    asked_vms.add(member.vm)
                    asked[member.zone] += 1
                    pending += 1
                    gevent.spawn(self._request_tunnel, member, endpoint, replies)
                if not pending:
                    break
                wait_s = ends_at - self._clock.monotonic()
                if member is not None:
                    wait_s = min(wait_s, _NEXT_HELPER_DELAY_S)
                try:
                    tunnel = replies.get(timeout=max(0.0, wait_s))
                    pending -= 1
                except Empty:
                    continue
        finally:
            if pending:
                gevent.spawn(_close_late_tunnels, replies, pending)
        if tunnel is None:
            return NotSent(f"{address}: no VM reaches it")
        return tunnel

    def _choose_helper(
        self,
        asked: Counter[str],
        asked_vms: set[str],
        relay_regions: frozenset[str] | None,
    ) -> Member | None:
        if len(asked_vms) >= _MAX_ASKED_HELPERS:
            return None
        members = {
            member.vm: member
            for member in self._fleet.other_members()
            if self._fleet.is_serving(member.vm)
            and (relay_regions is None or member.region in relay_regions)
        }
        zone = self._fleet.local_member.zone
        helpers = {
            m.vm: TunnelHelper(m.vm, self._distance(zone, m.zone), m.cores)
            for m in members.values()
        }
        in_other_zones = [
            helper
            for vm, helper in helpers.items()
            if asked[members[vm].zone] < _MAX_ASKED_PER_ZONE
        ]
        helper = self._helpers.choose(
            in_other_zones, asked_vms
        ) or self._helpers.choose(list(helpers.values()), asked_vms)
        return members[helper.vm] if helper is not None else None

    def _record_helper(self, endpoint: EndpointRecord, vm: str) -> None:
        """Record that `vm` has connected to an endpoint; discard what is too old."""
        now = self._clock.monotonic()
        for name, used in list(self._helpers_used.items()):
            if max(used.values()) < now - _HELPER_RETENTION_S:
                del self._helpers_used[name]
        self._helpers_used.setdefault(endpoint.name, {})[vm] = now

    def _request_tunnel(
        self, member: Member, endpoint: EndpointRecord, replies: Queue
    ) -> None:
        """Put the tunnel through `member` into `replies`, or None."""
        vm = member.vm
        self._helpers.begin(vm)
        opened = self._bus.open_stream(
            member.peer_address,
            TunnelRequest(endpoint.name, endpoint.born_ms),
            TunnelReply,
            _TUNNEL_TIMEOUT_S,
        )
        if not isinstance(opened, NoReply):
            outcome = opened.reply.outcome
            self._helpers.record_report(vm, opened.reply.tunnel_count)
            self._metrics.count("tunnels_total", outcome=outcome.value)
            if outcome is TunnelOutcome.OPENED:
                self._record_helper(endpoint, vm)
                replies.put(
                    TunnelSocket(
                        opened.sock, lambda: self._helpers.end(vm), member.region
                    )
                )
                return
            opened.sock.close()
            if outcome is TunnelOutcome.NO_PATH:
                self._helpers.record_refusal(vm, _NO_PATH_HOLD_S)
            elif outcome is TunnelOutcome.REFUSED:
                self._helpers.record_refusal(vm, _REFUSAL_HOLD_S)
        else:
            self._metrics.count("tunnels_total", outcome="no_reply")
            self._helpers.record_refusal(vm, _NO_PATH_HOLD_S)
        self._helpers.end(vm)
        replies.put(None)


def _close_late_tunnels(replies: Queue, count: int) -> None:
    """Close the tunnels among the next `count` replies, which come too late."""
    for _ in range(count):
        tunnel = replies.get()
        if tunnel is not None:
            tunnel.close()


def _close_result(call: gevent.Greenlet) -> None:
    """Close the connection that a call has returned."""
    if call.value is not None and not isinstance(call.value, NotSent):
        call.value.close()
