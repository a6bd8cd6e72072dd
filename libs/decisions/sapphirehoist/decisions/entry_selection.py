"""Selects the VMs that new callers of an availability zone are sent to.

It is designed for zones whose traffic rises and falls by half within some seconds, for
callers that keep to one VM for 1 to 3 s, and for VMs with so little processor capacity
that one at its limit delays all of its callers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from sapphirehoist.decisions.capacity import most_capable

# Callers pick one of the selected VMs at random. An area with fewer VMs than this does
# not suffice.
_MIN_VMS = 2
# The process of a VM uses at most one core.
_MAX_USED_CORES = 1.0
# Further VMs are added if less than this part of the capacity of the preferred ones is
# free: smaller ones of the area once one in four VMs is busy, before requests wait for
# each other; those of other zones only if most are busy.
_MIN_SPARE_IN_AREA = 0.9
_MIN_SPARE_IN_REGION = 0.55
# Processor use above which a VM is busy or saturated, and below which it ceases to be.
# Requests wait for each other well below a use of 1.
_BUSY_FROM, _BUSY_UNTIL = 0.55, 0.4
_SATURATED_FROM, _SATURATED_UNTIL = 0.8, 0.65


class VmLoad(IntEnum):
    """Load of a VM's processor, as VMs report it to each other."""

    NORMAL = 0
    BUSY = 1
    SATURATED = 2


# Part of its capacity that a VM is taken to have free for new callers.
_FREE_FRACTIONS = {VmLoad.NORMAL: 1.0, VmLoad.BUSY: 0.8, VmLoad.SATURATED: 0.4}


def next_vm_load(load: VmLoad, used_fraction: float) -> VmLoad:
    """Return the load of a VM that was `load` before and uses `used_fraction` now.

    The limits to enter and to leave a state differ, so that few reports are sent.

    Examples
    --------
    >>> next_vm_load(VmLoad.NORMAL, 0.9).name, next_vm_load(VmLoad.SATURATED, 0.7).name
    ('SATURATED', 'SATURATED')
    >>> next_vm_load(VmLoad.SATURATED, 0.5).name, next_vm_load(VmLoad.BUSY, 0.5).name
    ('BUSY', 'BUSY')
    >>> next_vm_load(VmLoad.NORMAL, 0.5).name
    'NORMAL'
    """
    if used_fraction >= _SATURATED_FROM:
        return VmLoad.SATURATED
    if load is VmLoad.SATURATED and used_fraction >= _SATURATED_UNTIL:
        return VmLoad.SATURATED
    if used_fraction >= _BUSY_FROM:
        return VmLoad.BUSY
    if load is not VmLoad.NORMAL and used_fraction >= _BUSY_UNTIL:
        return VmLoad.BUSY
    return VmLoad.NORMAL


@dataclass(frozen=True, slots=True)
class EntryVm:
    """A serving VM.

    Attributes
    ----------
    address : str
        Address for callers.
    region, zone : str
        Region and availability zone.
    cores : float
        Processor cores; 0 if not known.
    load : VmLoad
        Last known load.
    """

    address: str
    region: str
    zone: str
    cores: float = 0.0
    load: VmLoad = VmLoad.NORMAL


def select_entries(
    vms: Sequence[EntryVm], region: str, zone: str, random: Random
) -> list[EntryVm]:
    """Return the VMs for new callers in `zone`.

    While none of them is busy, they are the most capable ones of the smallest area with
    enough VMs: the zone, the region or the whole fleet. Otherwise less capable ones of
    the area are added and, if most are busy, others in the region, unless saturated. A
    small VM is then on fewer lists than a large one, in proportion to its cores.

    Examples
    --------
    >>> vms = [EntryVm(f"a{n}", "r", "r-a", 2.0) for n in range(3)]
    >>> vms += [EntryVm("a3", "r", "r-a", 0.9), EntryVm("b0", "r", "r-b", 2.0)]
    >>> [vm.address for vm in select_entries(vms, "r", "r-a", Random(1))]
    ['a0', 'a1', 'a2']
    >>> busy = [EntryVm(v.address, "r", v.zone, 2.0, VmLoad.BUSY) for v in vms[:3]]
    >>> [vm.address for vm in select_entries([*busy, *vms[3:]], "r", "r-a", Random(1))]
    ['a0', 'a1', 'a2', 'a3']
    """
    in_zone = [vm for vm in vms if vm.zone == zone]
    in_region = [vm for vm in vms if vm.region == region]
    area = next(
        (area for area in (in_zone, in_region) if len(area) >= _MIN_VMS), list(vms)
    )
    preferred = _capable(area)
    if all(vm.load is VmLoad.NORMAL for vm in preferred):
        return preferred
    chosen = list(preferred)
    for larger, min_spare in (
        (area, _MIN_SPARE_IN_AREA),
        (_capable(in_region), _MIN_SPARE_IN_REGION),
        (in_region, _MIN_SPARE_IN_REGION),
    ):
        if _spare_fraction(chosen, preferred) < min_spare:
            known = {vm.address for vm in chosen}
            chosen += [
                vm
                for vm in larger
                if vm.address not in known and vm.load is not VmLoad.SATURATED
            ]
    # Callers pick one of the addresses at random, so that small VMs have to be on fewer
    # lists than large ones.
    largest = max(map(_used_cores, chosen))
    kept = [vm for vm in chosen if random.random() * largest < _used_cores(vm)]
    return kept if len(kept) >= _MIN_VMS else chosen


def _capable(vms: Sequence[EntryVm]) -> list[EntryVm]:
    capable = most_capable(vms, lambda vm: vm.cores)
    return capable if len(capable) >= _MIN_VMS else list(vms)


def _spare_fraction(chosen: Sequence[EntryVm], preferred: Sequence[EntryVm]) -> float:
    """Return the free part of `chosen`, relative to all of `preferred`."""
    return sum(map(_free_cores, chosen)) / sum(map(_used_cores, preferred))


def _used_cores(vm: EntryVm) -> float:
    return min(vm.cores or _MAX_USED_CORES, _MAX_USED_CORES)


def _free_cores(vm: EntryVm) -> float:
    """Return the cores of a VM that are free for new callers."""
    return _used_cores(vm) * _FREE_FRACTIONS[vm.load]
