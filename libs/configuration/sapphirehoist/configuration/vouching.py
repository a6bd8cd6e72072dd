"""Counts nodes that cannot reach the table yet, so that acceptance waits for them.

A node that starts during an outage of the table loads the configuration from a live
member, its voucher. The voucher reports the lower of the two versions as its own. The
node serves only for a while after the last answer, and the voucher counts it for longer
than that; each side measures on its own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.messages import VouchReply, VouchRequest
from sapphirehoist.configuration.replica import ConfigReplica
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import NoReply, PeerBus

_ASK_TIMEOUT_S = 2.0
_SERVE_S = 4.0
_COUNT_S = 10.0


@dataclass(slots=True)
class _Counted:
    version: int
    refreshed_at: float


@dataclass(slots=True)
class _Voucher:
    address: str
    confirmed_at: float


class Vouching:
    """Both sides of vouching for one node.

    Parameters
    ----------
    replica : ConfigReplica
        What is in force here.
    fleet, bus : Fleet, PeerBus
        The other members and messages to them.
    clock : Clock
        Monotonic time.
    on_refreshed : callable
        Called when a counted node has told its version or is counted no more.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_counted",
        "_fleet",
        "_on_refreshed",
        "_replica",
        "_voucher",
    )

    def __init__(
        self,
        replica: ConfigReplica,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        on_refreshed: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._on_refreshed = on_refreshed
        self._counted: dict[str, _Counted] = {}
        self._voucher: _Voucher | None = None
        bus.subscribe(VouchRequest, self._handle_request)

    def ask(self, address: str) -> list[Member] | NoReply:
        """Load the configuration from a live member that counts this node.

        Called again every second or so until the node is on the roster; the member
        stops counting a node that no longer asks.

        Returns
        -------
        list of Member or NoReply
            The members that the voucher knows.
        """
        while True:
            asked_at = self._clock.monotonic()
            request = VouchRequest(self._fleet.member, self._replica.version)
            reply = self._bus.ask(address, request, VouchReply, _ASK_TIMEOUT_S)
            if isinstance(reply, NoReply):
                return reply
            if reply.snapshot is None:
                self._voucher = _Voucher(address, asked_at)
                return reply.members
            self._replica.apply_snapshot(reply.snapshot)

    def voucher_address(self) -> str:
        """Return the address of the member that counts this node, if any."""
        return self._voucher.address if self._voucher is not None else ""

    def tell_joined(self) -> None:
        """Tell the voucher that this node is on the roster now."""
        if self._voucher is not None:
            me = self._fleet.member
            notice = VouchRequest(me, self._replica.version, True)
            self._bus.tell(self._voucher.address, notice)
        self._voucher = None

    def is_counted(self) -> bool:
        """Return whether a voucher is known to count this node now."""
        if self._voucher is None:
            return False
        return self._clock.monotonic() - self._voucher.confirmed_at < _SERVE_S

    def counted_version(self) -> int:
        """Return the version that this node and all it counts have in force."""
        oldest = self._clock.monotonic() - _COUNT_S
        self._counted = {
            vm: counted
            for vm, counted in self._counted.items()
            if counted.refreshed_at >= oldest
        }
        versions = [counted.version for counted in self._counted.values()]
        return min([self._replica.version, *versions])

    def _handle_request(self, sender: str, request: VouchRequest) -> VouchReply:
        vm = request.member.vm
        if request.is_joined:
            self._counted.pop(vm, None)
        else:
            now = self._clock.monotonic()
            self._counted[vm] = _Counted(request.version, now)
        self._on_refreshed()
        snapshot = None
        if request.version < self._replica.version:
            snapshot = self._replica.catalog.snapshot()
        return VouchReply(snapshot, self._fleet.present())
