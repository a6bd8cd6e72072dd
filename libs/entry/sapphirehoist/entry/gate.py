"""Whether this node takes requests now, and how many are under way."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sapphirehoist.clock import Clock

_IDLE_POLL_INTERVAL_S = 0.05


class RequestGate:
    """Counts requests under way and refuses new ones while the node may not serve.

    Parameters
    ----------
    may_serve : callable
        Whether the node is counted in acceptance of configuration.
    clock : Clock
        Paces the wait for the last request.
    """

    __slots__ = ("_clock", "_is_closed", "_may_serve", "in_flight_requests")

    def __init__(self, may_serve: Callable[[], bool], clock: Clock) -> None:
        self._may_serve = may_serve
        self._clock = clock
        self._is_closed = False
        self.in_flight_requests = 0

    def is_open(self) -> bool:
        """Return whether a new request may start."""
        return not self._is_closed and self._may_serve()

    def is_closed(self) -> bool:
        """Return whether the node has stopped taking requests for good."""
        return self._is_closed

    def close(self) -> None:
        """Take no more requests."""
        self._is_closed = True

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as under way."""
        self.in_flight_requests += 1
        try:
            yield
        finally:
            self.in_flight_requests -= 1

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is under way; return whether that was in time."""
        deadline = self._clock.monotonic() + timeout_s
        while self.in_flight_requests and self._clock.monotonic() < deadline:
            self._clock.sleep(_IDLE_POLL_INTERVAL_S)
        return self.in_flight_requests == 0
