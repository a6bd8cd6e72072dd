"""Which VM opens connections to endpoints for a VM that has lost its path to them.

It is designed for the loss of the paths of some VMs, also of most VMs of an
availability zone: those that are left must not be overloaded by all the others.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from statistics import fmean

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.placement import Distance

# A nearer VM is passed over while it has more open tunnels per core than this, as long
# as another one has fewer.
_BUSY_TUNNELS_PER_CORE = 4.0
_REPORT_RETENTION_S = 3.0


@dataclass(frozen=True, slots=True)
class TunnelHelper:
    """A VM that may open connections for others.

    Attributes
    ----------
    vm : str
        Name of the VM.
    distance : Distance
        Distance to the VM that needs help.
    cores : float
        Processor cores; 0 if not known.
    """

    vm: str
    distance: Distance
    cores: float = 0.0


class TunnelHelpers:
    """Chooses helpers by distance and room.

    The load of a helper is the number of tunnels per core that it stated last, or of
    those that this VM has there if they are more.

    Parameters
    ----------
    clock : Clock
        Monotonic time for the age of statements.
    random : Random
        Chooses among equals, so that VMs which need help do not choose the same one.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> helpers = TunnelHelpers(ManualClock(), Random(1))
    >>> near = TunnelHelper("near", Distance.SAME_ZONE)
    >>> far = TunnelHelper("far", Distance.OTHER_REGION)
    >>> helpers.choose([near, far], exclude=()).vm
    'near'
    >>> helpers.record_refusal("near", hold_s=1.0)
    >>> helpers.choose([near, far], exclude=()).vm
    'far'
    """

    __slots__ = ("_clock", "_held_until", "_own_tunnels", "_random", "_reports")

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._own_tunnels: Counter[str] = Counter()
        self._reports: dict[str, tuple[int, float]] = {}
        self._held_until: dict[str, float] = {}

    def begin(self, vm: str) -> None:
        """Count a tunnel that is requested from `vm`."""
        self._own_tunnels[vm] += 1

    def end(self, vm: str) -> None:
        """Count the end of a tunnel, or of a request for one."""
        self._own_tunnels[vm] -= 1
        if self._own_tunnels[vm] <= 0:
            del self._own_tunnels[vm]

    def record_report(self, vm: str, tunnel_count: int) -> None:
        """Record how many tunnels `vm` has open for all VMs."""
        self._reports[vm] = (tunnel_count, self._clock.monotonic())

    def record_refusal(self, vm: str, hold_s: float) -> None:
        """Record that `vm` cannot help for the next `hold_s`."""
        self._held_until[vm] = self._clock.monotonic() + hold_s

    def choose(
        self, helpers: Sequence[TunnelHelper], exclude: Collection[str]
    ) -> TunnelHelper | None:
        """Return the helper to ask next; None if there is none.

        The nearest ones that are not busy are preferred; of these, the less loaded one
        of two that are chosen at random.
        """
        now = self._clock.monotonic()
        usable = [
            helper
            for helper in helpers
            if helper.vm not in exclude and now >= self._held_until.get(helper.vm, 0.0)
        ]
        loads = self._loads(usable)
        idle = [h for h in usable if loads[h.vm] < _BUSY_TUNNELS_PER_CORE]
        if not idle:
            return min(usable, key=lambda h: loads[h.vm], default=None)
        nearest = min(helper.distance for helper in idle)
        near = [helper for helper in idle if helper.distance == nearest]
        pair = self._random.sample(near, min(2, len(near)))
        return min(pair, key=lambda h: loads[h.vm])

    def _loads(self, helpers: Sequence[TunnelHelper]) -> dict[str, float]:
        """Return the tunnels per core of each VM.

        A VM that has stated nothing lately has as many as the others at its distance.
        """
        oldest = self._clock.monotonic() - _REPORT_RETENTION_S
        known: dict[str, float] = {}
        known_by_distance: dict[Distance, list[float]] = {}
        for helper in helpers:
            count, stated_at = self._reports.get(helper.vm, (0, -inf))
            if stated_at > oldest:
                known[helper.vm] = count / (helper.cores or 1.0)
                known_by_distance.setdefault(helper.distance, []).append(
                    known[helper.vm]
                )
        return {
            helper.vm: max(
                known.get(
                    helper.vm, fmean(known_by_distance.get(helper.distance, [0.0]))
                ),
                self._own_tunnels[helper.vm] / (helper.cores or 1.0),
            )
            for helper in helpers
        }
