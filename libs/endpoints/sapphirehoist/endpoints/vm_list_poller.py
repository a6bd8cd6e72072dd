"""Polls the platform's lagging VM list for leaving endpoints and members."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.endpoints.statuses import EndpointStatuses
from sapphirehoist.storage import Unavailable, VmList, VmStates

_MIN_INTERVAL_S = 5.0
_INTERVAL_PER_MEMBER_S = 1.5


class VmListPoller:
    """Polls the platform's VM list and reports its entries to other components.

    Parameters
    ----------
    vm_list : VmList
        The platform's VM list.
    endpoint_statuses : EndpointStatuses
        Receives the state of each listed VM. The VM of an endpoint has the endpoint's
        name.
    on_vm_list : callable
        Called with each list that was read.
    fleet_size : callable
        Returns the number of members. The poll interval of a node grows with the fleet,
        so that the fleet's total read rate stays constant, and with it the delay until
        the first node sees a change.
    clock : Clock
        Time source for the poll interval.
    """

    __slots__ = (
        "_clock",
        "_fleet_size",
        "_on_vm_list",
        "_endpoint_statuses",
        "_vm_list",
    )

    def __init__(
        self,
        vm_list: VmList,
        endpoint_statuses: EndpointStatuses,
        on_vm_list: Callable[[VmStates], None],
        fleet_size: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._vm_list = vm_list
        self._endpoint_statuses = endpoint_statuses
        self._on_vm_list = on_vm_list
        self._fleet_size = fleet_size
        self._clock = clock

    def run(self) -> None:
        """Poll the list until the task is killed."""
        while True:
            self.read_once()
            interval_s = _INTERVAL_PER_MEMBER_S * self._fleet_size()
            self._clock.sleep(max(_MIN_INTERVAL_S, interval_s))

    def read_once(self) -> None:
        """Read the list once; if it is unavailable, change nothing."""
        states = self._vm_list.read_vms()
        if isinstance(states, Unavailable):
            return
        for vm in states.vms:
            self._endpoint_statuses.observe_vm_list_entry(
                vm.vm, vm.incarnation, vm.is_leaving
            )
        self._on_vm_list(states)
