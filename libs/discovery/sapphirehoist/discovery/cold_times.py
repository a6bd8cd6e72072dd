"""How long endpoints are cold, by what they state and by when they started."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.discovery.records import EndpointRecord

_NEVER = float("-inf")
# An entry is written up to 1.2 s after a reply and read up to 1 s later, so that until
# then it may be older than the reply.
_ENTRY_DELAY_S = 2.5
# Statements of the same end arrive with different delays; a smaller extension is not
# a change that other nodes need.
_MIN_EXTENSION_S = 1.0


@dataclass(slots=True)
class _ColdTime:
    """What is known of one incarnation; all times are monotonic.

    Attributes
    ----------
    stated_until : float
        End of the warm-up time as last stated in an entry or a reply.
    replied_at : float
        Time of the last statement in a reply or from a peer.
    started_at : float
        Time at which the incarnation was first seen, while its entries state nothing.
    presumed_at : float
        Time from which the endpoint counts as cold whatever it states.
    """

    incarnation: int
    stated_until: float = _NEVER
    replied_at: float = _NEVER
    started_at: float = _NEVER
    presumed_at: float = _NEVER


class ColdTimes:
    """Tracks until when each endpoint is cold.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    get_cold_start_s : callable
        Returns for how long endpoints of a service are cold after a start; read when
        it is used, so that a change of the configuration applies at once.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> times = ColdTimes(clock, lambda service: 30.0)
    >>> record = EndpointRecord("e", "s", "10.0.0.1:80", "a-1", 4)
    >>> times.apply_entry(record, is_new=True)
    >>> clock.advance(10.0)
    >>> times.remaining_s(record)
    20.0
    """

    __slots__ = ("_clock", "_get_cold_start_s", "_times")

    def __init__(self, clock: Clock, get_cold_start_s: Callable[[str], float]) -> None:
        self._clock = clock
        self._get_cold_start_s = get_cold_start_s
        self._times: dict[str, _ColdTime] = {}

    def apply_entry(self, record: EndpointRecord, is_new: bool) -> None:
        """Apply what an entry states.

        `is_new` tells whether the endpoint has just started: if its entry states
        nothing, it is presumed cold.
        """
        now = self._clock.monotonic()
        time = self._get(record.name, record.born_ms)
        if not record.states_cold:
            if is_new:
                time.started_at = now
            return
        time.started_at = _NEVER
        until = now + record.cold_s
        if until >= time.stated_until or now - time.replied_at >= _ENTRY_DELAY_S:
            time.stated_until = until

    def apply_reply(
        self, record: EndpointRecord, remaining_s: float, sent_at: float
    ) -> bool:
        """Apply what a reply to a request sent at `sent_at` states.

        Return whether the endpoint is cold for longer than was known.
        """
        time = self._get(record.name, record.born_ms)
        now = self._clock.monotonic()
        is_extended = now + remaining_s >= time.stated_until + _MIN_EXTENSION_S
        is_extended = is_extended and remaining_s > 0
        # A reply without a warm-up time may have been written before one that states
        # one.
        if is_extended or sent_at >= time.replied_at:
            time.stated_until = now + remaining_s
            time.replied_at = now
            time.started_at = _NEVER
        return is_extended

    def presume_cold(self, records: Iterable[EndpointRecord]) -> None:
        """Count endpoints as cold from now on, for the time after a start."""
        for record in records:
            time = self._get(record.name, record.born_ms)
            time.presumed_at = self._clock.monotonic()

    def remaining_s(self, record: EndpointRecord) -> float:
        """Return how much longer an endpoint is cold; 0 if it is not."""
        time = self._times.get(record.name)
        if time is None or time.incarnation != record.born_ms:
            return 0.0
        start_at = max(time.started_at, time.presumed_at)
        until = max(
            time.stated_until, start_at + self._get_cold_start_s(record.service)
        )
        return max(0.0, until - self._clock.monotonic())

    def discard(self, name: str) -> None:
        """Discard what is known of an endpoint that is gone."""
        self._times.pop(name, None)

    def _get(self, name: str, incarnation: int) -> _ColdTime:
        time = self._times.get(name)
        if time is None or time.incarnation != incarnation:
            time = self._times[name] = _ColdTime(incarnation)
        return time
