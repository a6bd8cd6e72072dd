"""Choice of the most capable VMs for work that any VM could do.

It is designed for fleets of unequal VMs, in which a few have several times the
processor and the link of the others: work on them takes less time, and the fewer VMs do
it, the more each of them knows about the endpoints.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")

# Fraction of the largest capacity that a capable VM has at least.
_MIN_CAPACITY_FRACTION = 0.5


def most_capable(vms: Sequence[T], get_capacity: Callable[[T], float]) -> list[T]:
    """Return the VMs with at least half of the largest capacity, in their order.

    Parameters
    ----------
    vms : sequence
        VMs to choose from.
    get_capacity : callable
        Returns the capacity of a VM; 0 if it is not known.

    Examples
    --------
    >>> most_capable([0.5, 2.1, 2.0, 0.5], float)
    [2.1, 2.0]
    >>> most_capable([0.0, 0.0], float)
    [0.0, 0.0]
    """
    required = _MIN_CAPACITY_FRACTION * max(map(get_capacity, vms), default=0.0)
    return [vm for vm in vms if get_capacity(vm) >= required]
