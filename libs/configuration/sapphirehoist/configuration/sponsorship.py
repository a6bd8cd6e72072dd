"""Sponsors nodes that cannot reach the table, so that acceptance waits for them.

A node that starts during an outage of the table loads the configuration from a live
member, its sponsor. The sponsor reports the lowest of the versions in force on itself
and on the nodes it sponsors as its own. The node may serve for a limited time after it
sent the last request that was confirmed. The sponsor includes it in its reports for a
longer time, so that the node stops serving before acceptance stops waiting for it. Each
side measures its interval on its own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.messages import SponsorReply, SponsorRequest
from sapphirehoist.configuration.replica import ConfigReplica
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus

_REQUEST_TIMEOUT_S = 2.0
_CONFIRMATION_TTL_S = 4.0
_SPONSORSHIP_TTL_S = 10.0  # must exceed _CONFIRMATION_TTL_S


@dataclass(slots=True)
class _SponsoredNode:
    """A node that this node sponsors; `refreshed_at` is its last request's arrival."""

    version: int
    refreshed_at: float


@dataclass(slots=True)
class _Sponsor:
    """A sponsor; `confirmed_at` is when the last confirmed request was sent."""

    address: str
    confirmed_at: float


class Sponsorship:
    """Both roles of sponsorship: the sponsor and the sponsored node.

    Parameters
    ----------
    replica : ConfigReplica
        The configuration in force on this node.
    fleet, bus : Fleet, PeerBus
        The known members, and the message bus that reaches them.
    clock : Clock
        Source of monotonic time.
    on_sponsored_update : callable
        Called when a sponsored node reports its version or has joined the roster.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_fleet",
        "_on_sponsored_update",
        "_replica",
        "_sponsor",
        "_sponsored",
    )

    def __init__(
        self,
        replica: ConfigReplica,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        on_sponsored_update: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._on_sponsored_update = on_sponsored_update
        self._sponsored: dict[str, _SponsoredNode] = {}
        self._sponsor: _Sponsor | None = None
        bus.subscribe(SponsorRequest, self._handle_request)

    def request_sponsorship(self, address: str) -> list[Member] | NoReply:
        """Ask the member at `address` to sponsor this node; apply its configuration.

        The request is repeated until the version in force on this node is not older
        than the sponsor's; only then is it confirmed.

        Must be called about every second until the node is on the roster, because
        the sponsorship expires without further requests.

        Returns
        -------
        list of Member or NoReply
            The members that the sponsor knows.
        """
        while True:
            sent_at = self._clock.monotonic()
            request = SponsorRequest(self._fleet.local_member, self._replica.version)
            reply = self._bus.request(
                address, request, SponsorReply, _REQUEST_TIMEOUT_S
            )
            if isinstance(reply, NoReply):
                return reply
            if reply.snapshot is None:
                self._sponsor = _Sponsor(address, sent_at)
                return reply.members
            self._replica.apply_snapshot(reply.snapshot)

    def sponsor_address(self) -> str:
        """Return the address of the last confirmed sponsor, or an empty string."""
        return self._sponsor.address if self._sponsor is not None else ""

    def notify_joined(self) -> None:
        """Notify the sponsor that this node is on the roster now."""
        if self._sponsor is not None:
            local_member = self._fleet.local_member
            notification = SponsorRequest(local_member, self._replica.version, True)
            self._bus.notify(self._sponsor.address, notification)
        self._sponsor = None

    def is_sponsored(self) -> bool:
        """Return whether the last confirmed request is recent enough to serve."""
        if self._sponsor is None:
            return False
        return (
            self._clock.monotonic() - self._sponsor.confirmed_at < _CONFIRMATION_TTL_S
        )

    def reported_version(self) -> int:
        """Return the lowest version in force on this node and those it sponsors."""
        expired_before = self._clock.monotonic() - _SPONSORSHIP_TTL_S
        self._sponsored = {
            vm: node
            for vm, node in self._sponsored.items()
            if node.refreshed_at >= expired_before
        }
        versions = [node.version for node in self._sponsored.values()]
        return min([self._replica.version, *versions])

    def _handle_request(self, sender: str, request: SponsorRequest) -> SponsorReply:
        vm = request.member.vm
        if request.is_joined:
            self._sponsored.pop(vm, None)
        else:
            now = self._clock.monotonic()
            self._sponsored[vm] = _SponsoredNode(request.version, now)
        self._on_sponsored_update()
        snapshot = None
        if request.version < self._replica.version:
            snapshot = self._replica.catalog.snapshot()
        return SponsorReply(snapshot, self._fleet.present_members())
