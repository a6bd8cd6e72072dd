"""Corrects forecasts by how earlier ones came out, and knows callers that came back.

Load it answers: bursts, in which requests that are still on their way to a pool are not
yet seen in its queue.
"""

from __future__ import annotations

_SMOOTHING = 0.1
_LEAST_FACTOR = 1.0
_LARGEST_FACTOR = 3.0
# Deadlines differ by the time on the way; only a larger gap means a second attempt.
_CAME_BACK_S = 0.15


class ForecastCorrection:
    """Ratio of times taken to times forecast, for each route.

    Examples
    --------
    >>> correction = ForecastCorrection()
    >>> correction.factor("r")
    1.0
    >>> for _ in range(50):
    ...     correction.observe("r", 1.0, 1.5)
    >>> round(correction.factor("r"), 1)
    1.5
    """

    __slots__ = ("_factors",)

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, route: str) -> float:
        """Return what a forecast for `route` is to be multiplied with."""
        return self._factors.get(route, _LEAST_FACTOR)

    def observe(self, route: str, forecast_s: float, taken_s: float) -> None:
        """Learn from a request whose time is known."""
        ratio = taken_s / max(forecast_s, 1e-3)
        ratio = min(max(ratio, _LEAST_FACTOR), _LARGEST_FACTOR)
        known = self.factor(route)
        self._factors[route] = known + _SMOOTHING * (ratio - known)


class CallerPatience:
    """How long callers of each route wait in all, from the deadlines that they send.

    A caller that was refused sends what is left of its time, so the gap to the longest
    deadline seen is the time that has passed since its first attempt.

    Examples
    --------
    >>> patience = CallerPatience()
    >>> patience.elapsed_s("r", 10.0)
    0.0
    >>> patience.elapsed_s("r", 7.0)
    3.0
    """

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def elapsed_s(self, route: str, deadline_s: float) -> float:
        """Return the time since the caller's first attempt; learn from its deadline."""
        longest = max(self._longest.get(route, deadline_s), deadline_s)
        self._longest[route] = longest
        gap_s = longest - deadline_s
        return gap_s if gap_s > _CAME_BACK_S else 0.0
