"""Feedback from observed latency on the admission margin of each class of work."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

_WINDOW_REQUESTS = 200
_MIN_WINDOW_REQUESTS = 20
_MARGIN_STEP = 0.02
_MIN_MARGIN = 0.6
_MAX_MARGIN = 0.95
_ATTAINMENT_HYSTERESIS = 0.02
_ADJUSTMENT_INTERVAL_REQUESTS = 10
_UNITS_SMOOTHING = 0.05


@dataclass(slots=True)
class _ClassState:
    target_met_results: deque[bool] = field(
        default_factory=lambda: deque(maxlen=_WINDOW_REQUESTS)
    )
    margin: float = _MAX_MARGIN
    requests_since_adjustment: int = 0


class ClassStatistics:
    """Attainment, admission margin and expected work of each class of work.

    Attainment is the fraction of recent requests that met the latency target of their
    class. The margin is the fraction of the latency target that the predicted time of
    an admitted request may use. It decreases while attainment is below its goal and
    increases once attainment exceeds the goal by a hysteresis, which prevents a change
    of the margin on every request. Both steps are small and the margin is bounded.

    Examples
    --------
    >>> statistics = ClassStatistics()
    >>> statistics.margin("quick")
    0.95
    """

    __slots__ = ("_expected_units", "_states")

    def __init__(self) -> None:
        self._states: dict[str, _ClassState] = {}
        self._expected_units: dict[tuple[str, str], float] = {}

    def record_result(
        self, class_name: str, is_target_met: bool, attainment_goal: float
    ) -> None:
        """Record the result of an admitted request and adjust the margin.

        Parameters
        ----------
        class_name : str
            Class of work of the request.
        is_target_met : bool
            Whether the request met its latency target.
        attainment_goal : float
            Fraction of requests that should meet the target, in 0 to 1.
        """
        state = self._state(class_name)
        state.target_met_results.append(is_target_met)
        state.requests_since_adjustment += 1
        if (
            state.requests_since_adjustment >= _ADJUSTMENT_INTERVAL_REQUESTS
            and len(state.target_met_results) >= _MIN_WINDOW_REQUESTS
        ):
            state.requests_since_adjustment = 0
            self._adjust_margin(state, attainment_goal)

    def attainment(self, class_name: str) -> float:
        """Return the fraction of recent requests that met their target; 1 if none."""
        target_met_results = self._state(class_name).target_met_results
        return (
            sum(target_met_results) / len(target_met_results)
            if target_met_results
            else 1.0
        )

    def margin(self, class_name: str) -> float:
        """Return the fraction of the target that a predicted time may use."""
        return self._state(class_name).margin

    def record_units(self, class_name: str, stage: str, units: float) -> None:
        """Update the expected work of a stage from `units`, the work of one request."""
        key = (class_name, stage)
        previous = self._expected_units.get(key)
        if previous is None:
            self._expected_units[key] = units
        else:
            self._expected_units[key] = previous + _UNITS_SMOOTHING * (units - previous)

    def expected_units(self, class_name: str, stage: str) -> float:
        """Return the expected work of a stage in work units; 1 if unknown."""
        return self._expected_units.get((class_name, stage), 1.0)

    def _state(self, class_name: str) -> _ClassState:
        state = self._states.get(class_name)
        if state is None:
            state = self._states[class_name] = _ClassState()
        return state

    def _adjust_margin(self, state: _ClassState, attainment_goal: float) -> None:
        attainment = sum(state.target_met_results) / len(state.target_met_results)
        if attainment < attainment_goal:
            state.margin = max(_MIN_MARGIN, state.margin - _MARGIN_STEP)
        elif attainment > attainment_goal + _ATTAINMENT_HYSTERESIS:
            state.margin = min(_MAX_MARGIN, state.margin + _MARGIN_STEP)
