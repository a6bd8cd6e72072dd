"""What a node knows of each endpoint's load, speed and health.

A load report counts the calls of all nodes but is old when it arrives. What it says of
other nodes' calls is smoothed, fades with age, and is added to this node's own count.
The speed of an endpoint is learned from calls that were expected to run at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from statistics import median

from sapphirehoist.clock import Clock

_SMOOTHING = 0.2
_REPORT_SMOOTHING_S = 0.5
_REPORT_HALF_LIFE_S = 5.0
_FAILURES_TO_EJECT = 3
_EJECTION_FIRST_S = 2.0
_EJECTION_LONGEST_S = 30.0
_SLOW_FACTOR = 3.0
_SLOW_MIN_SAMPLES = 8
_MAX_EJECTED_SHARE = 0.5


@dataclass(slots=True)
class EndpointLoad:
    """State of one endpoint as this node knows it.

    Attributes
    ----------
    in_flight : int
        This node's own calls under way.
    reported : float
        Smoothed calls of the other nodes.
    reported_at : float
        Monotonic time of the last report.
    seconds_per_unit : float
        Smoothed time for one unit of work without queueing.
    samples : int
        Answers that `seconds_per_unit` was learned from.
    failures : int
        Failures in a row.
    ejections : int
        Ejections in a row.
    ejected_until : float
        Monotonic time until which the endpoint gets no work.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = 0.0
    seconds_per_unit: float = 0.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class LoadBook:
    """Loads of all endpoints that this node calls.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    __slots__ = ("_clock", "_loads")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, EndpointLoad] = {}

    def get(self, endpoint: str) -> EndpointLoad:
        """Return the state of `endpoint`, new where it is not known."""
        load = self._loads.get(endpoint)
        if load is None:
            load = self._loads[endpoint] = EndpointLoad()
        return load

    def keep_only(self, endpoints: set[str]) -> None:
        """Forget endpoints that are no longer configured."""
        self._loads = {n: load for n, load in self._loads.items() if n in endpoints}

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone, unless calls to it are under way."""
        load = self._loads.get(endpoint)
        if load is not None and load.in_flight == 0:
            del self._loads[endpoint]

    def estimated_load(self, endpoint: str) -> float:
        """Return the calls that `endpoint` runs or queues, from all nodes."""
        load = self.get(endpoint)
        age_s = self._clock.monotonic() - load.reported_at
        weight = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        return load.in_flight + load.reported * weight

    def last_known_load(self, endpoint: str) -> float:
        """Return the load as last reported, however old, with own calls since."""
        load = self.get(endpoint)
        return load.in_flight + load.reported

    def begin(self, endpoint: str) -> None:
        """Count a call that leaves for `endpoint`."""
        self.get(endpoint).in_flight += 1

    def end(self, endpoint: str) -> None:
        """Count the end of a call."""
        self.get(endpoint).in_flight -= 1

    def report(self, endpoint: str, total: int) -> None:
        """Take a report of the calls that all nodes have at `endpoint`."""
        load = self.get(endpoint)
        others = max(0.0, total - load.in_flight)
        now = self._clock.monotonic()
        weight = 1.0 - exp(-(now - load.reported_at) / _REPORT_SMOOTHING_S)
        load.reported += weight * (others - load.reported)
        load.reported_at = now

    def succeed(
        self, endpoint: str, seconds: float, units: float, had_room: bool = True
    ) -> None:
        """Learn from an answer.

        Parameters
        ----------
        endpoint : str
            Who answered.
        seconds : float
            Time from the call to the answer.
        units : float
            Work of the call.
        had_room : bool
            Whether the call was expected to run at once. One that queued says nothing
            of the endpoint's speed, unless it was faster than what is known.
        """
        load = self.get(endpoint)
        load.failures = 0
        rate = seconds / max(units, 1.0)
        if load.samples and not had_room:
            rate = min(rate, load.seconds_per_unit)
        if load.samples == 0:
            load.seconds_per_unit = rate
        else:
            load.seconds_per_unit += _SMOOTHING * (rate - load.seconds_per_unit)
        load.samples += 1
        if load.ejections and not self.is_ejected(endpoint):
            load.ejections = 0

    def fail(self, endpoint: str, pool: list[str]) -> bool:
        """Count a failure; return whether it ejects the endpoint from `pool`."""
        load = self.get(endpoint)
        load.failures += 1
        if load.failures < _FAILURES_TO_EJECT:
            return False
        return self._eject(endpoint, pool)

    def eject_if_slow(self, endpoint: str, pool: list[str]) -> bool:
        """Eject `endpoint` if it is far slower than the median of its pool."""
        load = self.get(endpoint)
        if load.samples < _SLOW_MIN_SAMPLES:
            return False
        known = [self.get(name) for name in pool]
        rates = [k.seconds_per_unit for k in known if k.samples >= _SLOW_MIN_SAMPLES]
        if len(rates) < 3 or load.seconds_per_unit < _SLOW_FACTOR * median(rates):
            return False
        is_ejected = self._eject(endpoint, pool)
        if is_ejected:
            # It is judged afresh when it is probed.
            load.samples = 0
        return is_ejected

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether `endpoint` gets no work now."""
        load = self._loads.get(endpoint)
        return load is not None and self._clock.monotonic() < load.ejected_until

    def ejected_for_s(self, endpoint: str) -> float:
        """Return the seconds until `endpoint` gets work again."""
        load = self._loads.get(endpoint)
        if load is None:
            return 0.0
        return max(0.0, load.ejected_until - self._clock.monotonic())

    def is_probing(self, endpoint: str) -> bool:
        """Return whether `endpoint` is back after an ejection but has not succeeded."""
        load = self._loads.get(endpoint)
        if load is None or not load.ejections:
            return False
        return not self.is_ejected(endpoint)

    def _eject(self, endpoint: str, pool: list[str]) -> bool:
        if self.is_ejected(endpoint):
            return False
        ejected = sum(1 for name in pool if self.is_ejected(name))
        if ejected + 1 > _MAX_EJECTED_SHARE * len(pool):
            return False
        load = self.get(endpoint)
        period_s = min(_EJECTION_FIRST_S * 2**load.ejections, _EJECTION_LONGEST_S)
        load.ejections += 1
        load.failures = 0
        load.ejected_until = self._clock.monotonic() + period_s
        return True
