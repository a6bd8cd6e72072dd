"""Load, speed and health of each endpoint, as estimated by this node.

A load report counts the calls of all nodes but is out of date when it arrives. The
number of calls of other nodes that it implies is smoothed, decays with age, and is
added to this node's own count. The speed of an endpoint is estimated from calls that
were expected to start without queueing. Endpoints may state by how much they are slowed
down at present, for instance by other work on their machine: that is divided out of the
speed estimate and is used by itself only while it is fresh.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import exp
from statistics import median

from sapphirehoist.clock import Clock

_UNIT_TIME_SMOOTHING = 0.2
_REPORT_TIME_CONSTANT_S = 0.5
# Machines of one pool differ from 0.6 to 1.6; a larger factor is a fault, which the
# timeout of a call has to detect.
_MIN_TIME_FACTOR = 0.5
_MAX_TIME_FACTOR = 2.0
# Network and rounding make calls up to this much faster or slower than expected.
_MIN_NOISE_FACTOR = 0.85
_MAX_NOISE_FACTOR = 1.2
_FACTOR_MIN_SAMPLES = 3
# The median of the pool counts as this many samples of each endpoint.
_FACTOR_PRIOR_SAMPLES = 1.0
# A node hears from one endpoint of a large pool every 20 to 60 s, but from one or the
# other endpoint of each group every few seconds.
_GROUP_HALF_LIFE_S = 10.0
_GROUP_PRIOR_WEIGHT = 0.5
# The traffic of a zone swings with a period of about 13 s.
_WAIT_HALF_LIFE_S = 3.0
_REPORT_HALF_LIFE_S = 5.0
# Machines are slowed down in spells of about 0.6 s. A report falls into the middle of a
# spell on average, so that half of the spells end within half of that time.
_SLOWDOWN_HALF_LIFE_S = 0.3
_FAILURES_TO_EJECT = 3
_MIN_EJECTION_S = 2.0
_MAX_EJECTION_S = 30.0
_SLOW_FACTOR = 3.0
_SLOW_MIN_SAMPLES = 8
_MAX_EJECTED_FRACTION = 0.5


@dataclass(slots=True)
class EndpointLoad:
    """Load, speed and health of one endpoint.

    Attributes
    ----------
    in_flight : int
        Calls of this node in progress.
    other_calls : float
        Smoothed number of calls of the other nodes.
    reported_at : float
        Monotonic time of the last load report, in seconds.
    reported_slowdown : float
        Slowdown stated by the last load report; 1 if it stated none.
    seconds_per_unit : float
        Smoothed time for one unit of work without queueing and slowdown, in seconds.
    sample_count : int
        Number of successful calls included in `seconds_per_unit`.
    consecutive_failures : int
        Failed calls since the last success or ejection.
    consecutive_ejections : int
        Ejections since the last success outside an ejection.
    ejected_until : float
        Monotonic time in seconds at which the last ejection ends.
    wait_s, waited_at : float
        Time that the last request waited, in seconds, and when it was observed.
    """

    in_flight: int = 0
    other_calls: float = 0.0
    reported_at: float = 0.0
    reported_slowdown: float = 1.0
    seconds_per_unit: float = 0.0
    sample_count: int = 0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    wait_s: float = 0.0
    waited_at: float = 0.0


class EndpointLoads:
    """Tracks the load, speed and health of all endpoints that this node calls.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_loads")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, EndpointLoad] = {}

    def get(self, endpoint: str) -> EndpointLoad:
        """Return the state of `endpoint`, creating it if necessary."""
        load = self._loads.get(endpoint)
        if load is None:
            load = self._loads[endpoint] = EndpointLoad()
        return load

    def retain(self, endpoints: set[str]) -> None:
        """Discard the state of endpoints that are no longer configured.

        Parameters
        ----------
        endpoints : set of str
            Names of the configured endpoints.
        """
        self._loads = {n: load for n, load in self._loads.items() if n in endpoints}

    def discard_if_idle(self, endpoint: str) -> None:
        """Discard a removed endpoint's state unless calls to it are in progress."""
        load = self._loads.get(endpoint)
        if load is not None and load.in_flight == 0:
            del self._loads[endpoint]

    def estimated_load(self, endpoint: str) -> float:
        """Return the estimated calls of all nodes that `endpoint` runs or queues."""
        load = self.get(endpoint)
        age_s = self._clock.monotonic() - load.reported_at
        weight = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        return load.in_flight + load.other_calls * weight

    def estimated_loads(self, groups: Mapping[str, str]) -> dict[str, float]:
        """Return the estimated calls at each endpoint, also of those not heard of.

        An endpoint that has not been heard of for long counts as loaded as those of
        its group on average. It would otherwise look idle to all nodes at once.

        Parameters
        ----------
        groups : mapping of str to str
            Group of each endpoint, of which callers use the members alike.
        """
        now = self._clock.monotonic()
        sums: dict[str, tuple[float, float]] = {}
        for name, group in groups.items():
            load = self.get(name)
            weight = 0.5 ** ((now - load.reported_at) / _GROUP_HALF_LIFE_S)
            total, weights = sums.get(group, (0.0, _GROUP_PRIOR_WEIGHT))
            sums[group] = (total + weight * load.other_calls, weights + weight)
        estimates = {}
        for name, group in groups.items():
            load = self.get(name)
            weight = 0.5 ** ((now - load.reported_at) / _REPORT_HALF_LIFE_S)
            total, weights = sums[group]
            others = weight * load.other_calls + (1.0 - weight) * total / weights
            estimates[name] = load.in_flight + others
        return estimates

    def record_wait(self, endpoint: str, wait_s: float) -> None:
        """Record how long a request waited at `endpoint` behind those of others."""
        load = self.get(endpoint)
        load.wait_s, load.waited_at = wait_s, self._clock.monotonic()

    def group_waits_s(self, groups: Mapping[str, str]) -> dict[str, float]:
        """Return the recent mean wait of each group of endpoints, in seconds.

        It fades to 0, so that a group is tried again once its demand may have fallen.

        Parameters
        ----------
        groups : mapping of str to str
            Group of each endpoint.
        """
        now = self._clock.monotonic()
        sums: dict[str, tuple[float, float]] = {}
        for name, group in groups.items():
            load = self.get(name)
            weight = 0.5 ** ((now - load.waited_at) / _WAIT_HALF_LIFE_S)
            total, weights = sums.get(group, (0.0, _GROUP_PRIOR_WEIGHT))
            sums[group] = (total + weight * load.wait_s, weights + weight)
        return {group: total / weights for group, (total, weights) in sums.items()}

    def relative_time_factors(self, endpoints: Collection[str]) -> dict[str, float]:
        """Return the time of a unit of work at each endpoint, relative to the median.

        Few samples count less; an endpoint without any has the factor 1.
        """
        usual_s = self.usual_unit_time_s(endpoints)
        factors = {}
        for name in endpoints:
            load = self.get(name)
            ratio = load.seconds_per_unit / usual_s if usual_s else 1.0
            samples = load.sample_count
            factor = (ratio * samples + _FACTOR_PRIOR_SAMPLES) / (
                samples + _FACTOR_PRIOR_SAMPLES
            )
            factors[name] = _bounded_factor(factor)
        return factors

    def usual_unit_time_s(self, endpoints: Collection[str]) -> float:
        """Return the median time of a unit of work at `endpoints`; 0 if unknown."""
        unit_times_s = [
            load.seconds_per_unit
            for load in map(self.get, endpoints)
            if load.sample_count
        ]
        return median(unit_times_s) if unit_times_s else 0.0

    def undecayed_load(self, endpoint: str) -> float:
        """Return own calls in progress plus smoothed calls of others, without decay."""
        load = self.get(endpoint)
        return load.in_flight + load.other_calls

    def begin_call(self, endpoint: str) -> None:
        """Count the start of a call to `endpoint`."""
        self.get(endpoint).in_flight += 1

    def end_call(self, endpoint: str) -> None:
        """Count the end of a call to `endpoint`."""
        self.get(endpoint).in_flight -= 1

    def slowdown(self, endpoint: str) -> float:
        """Return by which factor work takes longer at `endpoint` than normally.

        The last reported factor approaches 1 with its age.
        """
        load = self._loads.get(endpoint)
        if load is None:
            return 1.0
        age_s = self._clock.monotonic() - load.reported_at
        weight = 0.5 ** (age_s / _SLOWDOWN_HALF_LIFE_S)
        return 1.0 + weight * (load.reported_slowdown - 1.0)

    def work_time_factor(self, endpoint: str) -> float:
        """Return the ratio of the time of a call at `endpoint` to its expected time.

        It leaves out present slowdowns and applies to endpoints whose expected time
        counts as one unit of work. It is 1 until enough calls have been recorded, and
        near 1, where differences are noise.
        """
        load = self._loads.get(endpoint)
        if load is None or load.sample_count < _FACTOR_MIN_SAMPLES:
            return 1.0
        return _bounded_factor(load.seconds_per_unit)

    def record_report(
        self, endpoint: str, total_calls: int, slowdown: float = 1.0
    ) -> None:
        """Update the estimates from a report of `endpoint`.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        total_calls : int
            Calls of all nodes that it runs or queues.
        slowdown : float
            Factor by which work takes longer there than normally.
        """
        load = self.get(endpoint)
        other_calls = max(0.0, total_calls - load.in_flight)
        now = self._clock.monotonic()
        weight = 1.0 - exp(-(now - load.reported_at) / _REPORT_TIME_CONSTANT_S)
        load.other_calls += weight * (other_calls - load.other_calls)
        load.reported_at = now
        load.reported_slowdown = slowdown

    def record_success(
        self,
        endpoint: str,
        elapsed_s: float,
        units: float,
        had_capacity: bool = True,
        slowdown: float = 1.0,
    ) -> None:
        """Record a successful call and update the speed estimate.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint that answered.
        elapsed_s : float
            Time from the start of the call to the answer, in seconds.
        units : float
            Work of the call, in work units.
        had_capacity : bool
            Whether the call was expected to start without queueing. The time of a
            queued call lowers the estimate but never raises it, because it includes
            the time in the queue.
        slowdown : float
            Factor by which the endpoint was slowed down during the call.
        """
        load = self.get(endpoint)
        load.consecutive_failures = 0
        self.record_time(endpoint, elapsed_s, units, had_capacity, slowdown)
        if load.consecutive_ejections and not self.is_ejected(endpoint):
            load.consecutive_ejections = 0

    def record_time(
        self,
        endpoint: str,
        elapsed_s: float,
        units: float,
        had_capacity: bool,
        slowdown: float,
    ) -> None:
        """Update the speed estimate alone; see `record_success`."""
        load = self.get(endpoint)
        unit_s = elapsed_s / max(units, 1.0) / slowdown
        if load.sample_count and not had_capacity:
            unit_s = min(unit_s, load.seconds_per_unit)
        if load.sample_count == 0:
            load.seconds_per_unit = unit_s
        else:
            # The mean of the first samples: a node calls some endpoints only once in
            # a minute.
            weight = max(_UNIT_TIME_SMOOTHING, 1.0 / (load.sample_count + 1))
            load.seconds_per_unit += weight * (unit_s - load.seconds_per_unit)
        load.sample_count += 1

    def record_failure(self, endpoint: str, pool: list[str]) -> bool:
        """Record a failed call; return whether it ejects `endpoint` from `pool`."""
        load = self.get(endpoint)
        load.consecutive_failures += 1
        if load.consecutive_failures < _FAILURES_TO_EJECT:
            return False
        return self._eject(endpoint, pool)

    def forgive_failures(self, endpoint: str) -> None:
        """Discard failures of `endpoint` that were not its own, and their ejections."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.consecutive_failures = load.consecutive_ejections = 0
            load.ejected_until = 0.0

    def eject_if_slow(self, endpoint: str, pool: list[str]) -> bool:
        """Eject `endpoint` if it is much slower than the median of `pool`.

        Returns whether the endpoint was ejected.
        """
        load = self.get(endpoint)
        if load.sample_count < _SLOW_MIN_SAMPLES:
            return False
        pool_loads = [self.get(name) for name in pool]
        unit_times_s = [
            load_in_pool.seconds_per_unit
            for load_in_pool in pool_loads
            if load_in_pool.sample_count >= _SLOW_MIN_SAMPLES
        ]
        if len(unit_times_s) < 3 or load.seconds_per_unit < _SLOW_FACTOR * median(
            unit_times_s
        ):
            return False
        is_ejected = self._eject(endpoint, pool)
        if is_ejected:
            # Restart the speed estimate with the calls that probe the endpoint.
            load.sample_count = 0
        return is_ejected

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether `endpoint` is ejected; callers then prefer others."""
        load = self._loads.get(endpoint)
        return load is not None and self._clock.monotonic() < load.ejected_until

    def remaining_ejection_s(self, endpoint: str) -> float:
        """Return the remaining ejection time of `endpoint` in seconds."""
        load = self._loads.get(endpoint)
        if load is None:
            return 0.0
        return max(0.0, load.ejected_until - self._clock.monotonic())

    def is_probing(self, endpoint: str) -> bool:
        """Return whether `endpoint` has not succeeded since its last ejection ended."""
        load = self._loads.get(endpoint)
        if load is None or not load.consecutive_ejections:
            return False
        return not self.is_ejected(endpoint)

    def _eject(self, endpoint: str, pool: list[str]) -> bool:
        if self.is_ejected(endpoint):
            return False
        ejected_count = sum(1 for name in pool if self.is_ejected(name))
        if ejected_count + 1 > _MAX_EJECTED_FRACTION * len(pool):
            return False
        load = self.get(endpoint)
        ejection_s = min(
            _MIN_EJECTION_S * 2**load.consecutive_ejections, _MAX_EJECTION_S
        )
        load.consecutive_ejections += 1
        load.consecutive_failures = 0
        load.ejected_until = self._clock.monotonic() + ejection_s
        return True


def _bounded_factor(factor: float) -> float:
    """Return the ratio of two times without noise and without implausible values."""
    if _MIN_NOISE_FACTOR <= factor <= _MAX_NOISE_FACTOR:
        return 1.0
    return min(max(factor, _MIN_TIME_FACTOR), _MAX_TIME_FACTOR)
