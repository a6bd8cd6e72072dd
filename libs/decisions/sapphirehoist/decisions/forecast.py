"""Correction of latency forecasts, and detection of retrying callers.

Both are designed for bursts, in which requests that are in transit to a pool do not yet
appear in its queue.
"""

from __future__ import annotations

_FACTOR_SMOOTHING = 0.1
_MIN_FACTOR = 1.0
_MAX_FACTOR = 3.0
# Deadlines vary by the transit time; only a larger gap indicates a retry of the caller.
_MIN_RETRY_GAP_S = 0.15


class ForecastCorrection:
    """Smoothed ratio of actual to forecast times, for each route.

    Examples
    --------
    >>> correction = ForecastCorrection()
    >>> correction.factor("r")
    1.0
    >>> for _ in range(50):
    ...     correction.record_times("r", 1.0, 1.5)
    >>> round(correction.factor("r"), 1)
    1.5
    """

    __slots__ = ("_factors",)

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, route: str) -> float:
        """Return the factor by which to multiply a forecast for `route`."""
        return self._factors.get(route, _MIN_FACTOR)

    def record_times(self, route: str, forecast_s: float, actual_s: float) -> None:
        """Update the factor of `route` from the times of a finished request."""
        ratio = actual_s / max(forecast_s, 1e-3)
        ratio = min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)
        previous = self.factor(route)
        self._factors[route] = previous + _FACTOR_SMOOTHING * (ratio - previous)


class CallerTimeouts:
    """Estimates how long callers have been retrying, from the deadlines that they send.

    A caller that retries after a refusal sends its remaining time as the deadline. The
    difference to the longest deadline of the route is the time since its first attempt.

    Examples
    --------
    >>> timeouts = CallerTimeouts()
    >>> timeouts.elapsed_s("r", 10.0)
    0.0
    >>> timeouts.elapsed_s("r", 7.0)
    3.0
    """

    __slots__ = ("_longest_deadline_s",)

    def __init__(self) -> None:
        self._longest_deadline_s: dict[str, float] = {}

    def elapsed_s(self, route: str, deadline_s: float) -> float:
        """Return the time since the first attempt of a caller, in seconds.

        Also updates the longest deadline of `route`, which is `deadline_s` if it is the
        longest so far.
        """
        longest_s = max(self._longest_deadline_s.get(route, deadline_s), deadline_s)
        self._longest_deadline_s[route] = longest_s
        gap_s = longest_s - deadline_s
        return gap_s if gap_s > _MIN_RETRY_GAP_S else 0.0
