"""Endpoints that asked this node to pause its requests.

It is designed for endpoints that shed load: an overloaded endpoint turns a request away
and states for how long it wants no other from the same node. Each node observes the
pauses that it was asked for itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.clock import Clock

# Bounds the time for which an endpoint that states a wrong time is not used.
MAX_BACKOFF_S = 300.0


@dataclass(frozen=True, slots=True)
class _Backoff:
    """Monotonic time until which one incarnation of an endpoint wants no requests."""

    incarnation: int
    until: float


class EndpointBackoff:
    """Tracks until when each endpoint wants no requests from this node.

    A pause concerns one incarnation: an endpoint that has restarted is not bound by
    what its predecessor asked for.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> backoff = EndpointBackoff(clock)
    >>> backoff.record_refusal("e", 1, 2.0)
    >>> clock.advance(0.5)
    >>> backoff.remaining_s("e", 1), backoff.remaining_s("e", 2)
    (1.5, 0.0)
    """

    __slots__ = ("_backoffs", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}

    def record_refusal(
        self, endpoint: str, incarnation: int, retry_after_s: float
    ) -> None:
        """Record that `endpoint` wants no requests for `retry_after_s`.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint that turned a request away.
        incarnation : int
            Incarnation of the endpoint; refusals by an earlier one are ignored.
        retry_after_s : float
            Requested pause in seconds, limited to `MAX_BACKOFF_S`. A shorter pause does
            not cancel the rest of a longer one.
        """
        until = self._clock.monotonic() + min(max(retry_after_s, 0.0), MAX_BACKOFF_S)
        known = self._backoffs.get(endpoint)
        if known is not None:
            if known.incarnation > incarnation:
                return
            if known.incarnation == incarnation:
                until = max(until, known.until)
        self._backoffs[endpoint] = _Backoff(incarnation, until)

    def remaining_s(self, endpoint: str, incarnation: int) -> float:
        """Return for how long `endpoint` still wants no requests, in seconds."""
        known = self._backoffs.get(endpoint)
        if known is None or known.incarnation != incarnation:
            return 0.0
        return max(0.0, known.until - self._clock.monotonic())

    def discard(self, endpoint: str) -> None:
        """Discard the state of an endpoint that is gone."""
        self._backoffs.pop(endpoint, None)
