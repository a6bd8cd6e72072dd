"""Tracks requests in flight and tells whether new ones are accepted."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sapphirehoist.clock import Clock

_IDLE_POLL_INTERVAL_S = 0.05


class RequestGate:
    """Counter of requests in flight that closes for a graceful shutdown.

    Parameters
    ----------
    may_serve : callable
        Returns whether this node may serve, which requires that acceptance of a
        configuration change waits for it.
    clock : Clock
        Clock of the timeout and the polling in `wait_idle`.

    Attributes
    ----------
    in_flight_requests : int
        Number of requests in flight.
    """

    __slots__ = ("_clock", "_is_closed", "_may_serve", "in_flight_requests")

    def __init__(self, may_serve: Callable[[], bool], clock: Clock) -> None:
        self._may_serve = may_serve
        self._clock = clock
        self._is_closed = False
        self.in_flight_requests = 0

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted."""
        return not self._is_closed and self._may_serve()

    def is_closed(self) -> bool:
        """Return whether `close` was called."""
        return self._is_closed

    def close(self) -> None:
        """Accept no more requests, permanently."""
        self._is_closed = True

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight within the context."""
        self.in_flight_requests += 1
        try:
            yield
        finally:
            self.in_flight_requests -= 1

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` for requests in flight; return whether all ended."""
        deadline = self._clock.monotonic() + timeout_s
        while self.in_flight_requests and self._clock.monotonic() < deadline:
            self._clock.sleep(_IDLE_POLL_INTERVAL_S)
        return self.in_flight_requests == 0
