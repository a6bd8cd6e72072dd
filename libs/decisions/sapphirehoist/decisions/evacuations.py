"""Availability zones that operators have evacuated: no request is sent there.

It is designed for fleets whose nodes learn of an evacuation at different times, from
the store and from each other, and in any order. Each state carries the position of the
store read that it comes from, so that the latest one holds everywhere.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from sapphirehoist.clock import Clock


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """Whether an availability zone is evacuated, which all nodes replicate.

    States of a zone are ordered by `precedence`, and the latest one holds.

    Attributes
    ----------
    zone : str
        Name of the availability zone.
    is_evacuated : bool
        Whether no request goes to endpoints in the zone.
    era, revision : int
        Era and revision of the store as of the read that showed the state.
    """

    zone: str
    is_evacuated: bool
    era: int
    revision: int

    def precedence(self) -> tuple[int, int]:
        """Return the key by which states of a zone override each other."""
        return (self.era, self.revision)


class EvacuatedZones:
    """Tracks which availability zones are evacuated.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> zones = EvacuatedZones(ManualClock())
    >>> zones.apply(EvacuationState("a-1", True, era=1, revision=7))
    True
    >>> zones.apply(EvacuationState("a-1", False, era=1, revision=6))
    False
    >>> zones.is_evacuated("a-1")
    True
    >>> zones.apply_full_read((), era=1, revision=8)
    [EvacuationState(zone='a-1', is_evacuated=False, era=1, revision=8)]
    """

    __slots__ = ("_clock", "_ended_at", "_full_read", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, EvacuationState] = {}
        # Monotonic time of the end of the last evacuation, by zone.
        self._ended_at: dict[str, float] = {}
        # Era and revision of the latest full read. Zones without a state were not
        # evacuated then.
        self._full_read = (-1, -1)

    def apply(self, state: EvacuationState, age_s: float = 0.0) -> bool:
        """Apply a state; return whether it is later than what was known.

        Parameters
        ----------
        state : EvacuationState
            State from the store or from another node.
        age_s : float, optional
            Time since the evacuation ended, if `state` is its end.
        """
        known = self._states.get(state.zone)
        latest = known.precedence() if known is not None else self._full_read
        if state.precedence() <= latest:
            return False
        was_evacuated = known is not None and known.is_evacuated
        self._states[state.zone] = state
        if state.is_evacuated:
            self._ended_at.pop(state.zone, None)
        elif was_evacuated or known is None:
            self._ended_at[state.zone] = self._clock.monotonic() - age_s
        return True

    def apply_full_read(
        self, zones: Collection[str], era: int, revision: int
    ) -> list[EvacuationState]:
        """Apply a read of all evacuated zones; return the states that changed.

        Parameters
        ----------
        zones : collection of str
            Names of the zones that were evacuated at the time of the read.
        era, revision : int
            Era and revision of the store as of the read.
        """
        if (era, revision) < self._full_read:
            return []
        changed = []
        for zone in sorted(self._states.keys() | set(zones)):
            was_evacuated = self.is_evacuated(zone)
            state = EvacuationState(zone, zone in zones, era, revision)
            if self.apply(state) and was_evacuated != state.is_evacuated:
                changed.append(state)
        self._full_read = (era, revision)
        return changed

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no request may be sent to endpoints in `zone`."""
        state = self._states.get(zone)
        return state is not None and state.is_evacuated

    def evacuated(self) -> list[str]:
        """Return the names of the evacuated zones, sorted."""
        return sorted(s.zone for s in self._states.values() if s.is_evacuated)

    def ended_at(self, zone: str) -> float | None:
        """Return the monotonic time at which the last evacuation of `zone` ended.

        None if the zone is evacuated, or no evacuation of it is known.
        """
        return self._ended_at.get(zone)

    def states(self) -> list[EvacuationState]:
        """Return the latest state of each zone that was ever evacuated."""
        return list(self._states.values())
