"""Reports this VM's processor load to the VMs of its region when it changes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import VmLoad, next_vm_load
from sapphirehoist.membership import Fleet
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import PeerBus, PeerMessage

_MEASURE_INTERVAL_S = 0.5
# Smoothing over about 1 s, so that single requests do not change the load.
_SMOOTHING = 0.4
# A lower load is reported only after this time; each report costs a message to each VM
# of the region.
_MIN_HOLD_S = 1.5
# A VM that stays busy repeats its report, and a report that was not repeated expires:
# reports are lost, and VMs that were busy may freeze.
_REPEAT_INTERVAL_S = 5.0
_EXPIRY_S = 12.0

_logger = logging.getLogger(__name__)


class VmLoadUpdate(PeerMessage, frozen=True, array_like=True):
    """Reports the load of the sender's processor; see `VmLoad`.

    A VM of an earlier build ignores it and is never known to be busy.
    """

    KIND: ClassVar[str] = "gateway.vm_load"

    load: int


class VmLoadSync:
    """Measures the load of this VM and keeps the reported loads of others.

    Parameters
    ----------
    fleet : Fleet
        Members; those of the same region get the reports.
    bus : PeerBus
        Sends and receives the reports.
    clock : Clock
        Times the measurements.
    cores : float
        Processor cores of the VM; 0 if not known. The process uses at most one.
    get_processor_s : callable
        Returns the processor time that the process has used, in seconds.
    metrics : Metrics
        Receives the counter ``vm_load_changes_total``.
    """

    __slots__ = (
        "_available_cores",
        "_bus",
        "_changed_at",
        "_clock",
        "_fleet",
        "_get_processor_s",
        "_load",
        "_metrics",
        "_reported",
        "_reported_at",
        "_used_fraction",
    )

    def __init__(
        self,
        fleet: Fleet,
        bus: PeerBus,
        clock: Clock,
        cores: float,
        get_processor_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._clock = clock
        self._available_cores = min(cores or 1.0, 1.0)
        self._get_processor_s = get_processor_s
        self._metrics = metrics
        self._load = VmLoad.NORMAL
        self._used_fraction = 0.0
        self._changed_at = self._reported_at = 0.0
        # Load of each other VM and when it was reported.
        self._reported: dict[str, tuple[VmLoad, float]] = {}
        bus.subscribe(VmLoadUpdate, self._handle_update)

    def load(self, vm: str) -> VmLoad:
        """Return the last known load of `vm`."""
        if vm == self._fleet.local_member.vm:
            return self._load
        load, reported_at = self._reported.get(vm, (VmLoad.NORMAL, 0.0))
        is_recent = self._clock.monotonic() - reported_at < _EXPIRY_S
        return load if is_recent else VmLoad.NORMAL

    def run(self) -> None:
        """Measure and report at a fixed interval, until killed."""
        processor_s, measured_at = self._get_processor_s(), self._clock.monotonic()
        while True:
            self._clock.sleep(_MEASURE_INTERVAL_S)
            used_s, now = self._get_processor_s(), self._clock.monotonic()
            if now > measured_at:
                self.record((used_s - processor_s) / (now - measured_at))
            processor_s, measured_at = used_s, now

    def record(self, used_cores: float) -> None:
        """Record the cores that the process used since the last call."""
        self._used_fraction += _SMOOTHING * (
            used_cores / self._available_cores - self._used_fraction
        )
        now = self._clock.monotonic()
        load = next_vm_load(self._load, self._used_fraction)
        if load > self._load or (
            load < self._load and now - self._changed_at >= _MIN_HOLD_S
        ):
            self._load, self._changed_at = load, now
            self._metrics.count("vm_load_changes_total", load=load.name.lower())
            _logger.info(
                "processor load of this VM changed",
                extra={
                    "load": load.name.lower(),
                    "used_fraction": round(self._used_fraction, 2),
                },
            )
        elif not self._load or now - self._reported_at < _REPEAT_INTERVAL_S:
            return
        self._report(now)

    def _report(self, now: float) -> None:
        self._reported_at = now
        region = self._fleet.local_member.region
        self._bus.notify_all(
            [m.peer_address for m in self._fleet.other_members() if m.region == region],
            VmLoadUpdate(int(self._load)),
        )

    def _handle_update(self, sender: str, update: VmLoadUpdate) -> None:
        known = {int(load) for load in VmLoad}
        if update.load not in known or not self._fleet.is_present(sender):
            return
        if update.load:
            self._reported[sender] = (VmLoad(update.load), self._clock.monotonic())
        else:
            self._reported.pop(sender, None)
