"""Turns a class's end-to-end target into budgets, by slow bounded feedback."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

_WINDOW = 200
_MIN_SAMPLES = 20
_STEP = 0.02
_LOWEST_MARGIN = 0.6
_HIGHEST_MARGIN = 0.95
_HYSTERESIS = 0.02
_ADJUST_EVERY = 10
_UNITS_SMOOTHING = 0.05


@dataclass(slots=True)
class _ClassState:
    results: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    margin: float = _HIGHEST_MARGIN
    since_adjusted: int = 0


class ClassTargets:
    """Observed attainment of each class and the margin that it leads to.

    The margin is the part of a target that a predicted time may fill when a request is
    admitted. It falls while a class misses its target and recovers once the class is
    above it by a hysteresis, which keeps the margin from moving on every request.

    Examples
    --------
    >>> targets = ClassTargets()
    >>> targets.margin("quick")
    0.95
    """

    __slots__ = ("_states", "_units")

    def __init__(self) -> None:
        self._states: dict[str, _ClassState] = {}
        self._units: dict[tuple[str, str], float] = {}

    def observe(self, class_name: str, is_met: bool, goal: float) -> None:
        """Take the end of a request that was admitted."""
        state = self._state(class_name)
        state.results.append(is_met)
        state.since_adjusted += 1
        if state.since_adjusted >= _ADJUST_EVERY and len(state.results) >= _MIN_SAMPLES:
            state.since_adjusted = 0
            self._adjust(state, goal)

    def attainment(self, class_name: str) -> float:
        """Return the share of the last requests that met their target."""
        results = self._state(class_name).results
        return sum(results) / len(results) if results else 1.0

    def margin(self, class_name: str) -> float:
        """Return the part of the target that a predicted time may fill."""
        return self._state(class_name).margin

    def observe_units(self, class_name: str, stage: str, units: float) -> None:
        """Learn how much work a stage of this class is."""
        key = (class_name, stage)
        known = self._units.get(key)
        if known is None:
            self._units[key] = units
        else:
            self._units[key] = known + _UNITS_SMOOTHING * (units - known)

    def expected_units(self, class_name: str, stage: str) -> float:
        """Return the expected work of a stage; 1 where nothing is known."""
        return self._units.get((class_name, stage), 1.0)

    def _state(self, class_name: str) -> _ClassState:
        state = self._states.get(class_name)
        if state is None:
            state = self._states[class_name] = _ClassState()
        return state

    def _adjust(self, state: _ClassState, goal: float) -> None:
        attained = sum(state.results) / len(state.results)
        if attained < goal:
            state.margin = max(_LOWEST_MARGIN, state.margin - _STEP)
        elif attained > goal + _HYSTERESIS:
            state.margin = min(_HIGHEST_MARGIN, state.margin + _STEP)
