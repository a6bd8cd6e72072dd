"""Reads the platform's lagging list of VMs for signs about endpoints and members."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.endpoints.standing import EndpointStanding
from sapphirehoist.storage import Unavailable, VmList, VmStates

_INTERVAL_LEAST_S = 5.0
_INTERVAL_PER_MEMBER_S = 1.5


class VmListWatch:
    """Passes what the platform's list says on to the parts that need it.

    Parameters
    ----------
    vms : VmList
        The platform's list.
    standing : EndpointStanding
        Takes entries that are leaving.
    on_list : callable
        Called with each list that was read.
    fleet_size : callable
        Returns the number of members. Nodes read less often as the fleet grows, so
        that the fleet's reads and the delay to the first sign at any node stay flat.
    clock : Clock
        Paces the reads.
    """

    __slots__ = ("_clock", "_fleet_size", "_on_list", "_standing", "_vms")

    def __init__(
        self,
        vms: VmList,
        standing: EndpointStanding,
        on_list: Callable[[VmStates], None],
        fleet_size: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._vms = vms
        self._standing = standing
        self._on_list = on_list
        self._fleet_size = fleet_size
        self._clock = clock

    def run(self) -> None:
        """Read the list until killed."""
        while True:
            self.read_once()
            wanted_s = _INTERVAL_PER_MEMBER_S * self._fleet_size()
            self._clock.sleep(max(_INTERVAL_LEAST_S, wanted_s))

    def read_once(self) -> None:
        """Read the list once; an outage leaves everything as it was."""
        states = self._vms.read_vms()
        if isinstance(states, Unavailable):
            return
        for vm in states.vms:
            self._standing.observe_listed(vm.vm, vm.incarnation, vm.is_leaving)
        self._on_list(states)
