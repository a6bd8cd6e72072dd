"""Requests in progress, which end with a response before a planned stop."""

from __future__ import annotations

import gevent

from sapphirehoist.http1 import Exchange


class ActiveRequest:
    """One request, processed by the greenlet that creates this object.

    Parameters
    ----------
    timeout : gevent.Timeout
        Time limit of the request; the greenlet handles it while the request is active.
    exchange : Exchange
        Response to the request.
    """

    __slots__ = ("_exchange", "_greenlet", "_timeout")

    def __init__(self, timeout: gevent.Timeout, exchange: Exchange) -> None:
        self._greenlet = gevent.getcurrent()
        self._timeout = timeout
        self._exchange = exchange

    @property
    def has_response(self) -> bool:
        """Return whether the caller has got a part of the response."""
        return self._exchange.has_begun

    def expire(self) -> None:
        """Raise the timeout in the greenlet; only to be called from the hub."""
        self._greenlet.throw(self._timeout)


class ActiveRequests:
    """The requests in progress at this node.

    Attributes
    ----------
    stop_at : float or None
        Monotonic time by which all requests end; None unless this node stops.
    """

    __slots__ = ("_requests", "stop_at")

    def __init__(self) -> None:
        self._requests: set[ActiveRequest] = set()
        self.stop_at: float | None = None

    def add(self, timeout: gevent.Timeout, exchange: Exchange) -> ActiveRequest:
        """Return the request of the current greenlet, which is active from now on."""
        request = ActiveRequest(timeout, exchange)
        self._requests.add(request)
        return request

    def remove(self, request: ActiveRequest) -> None:
        """Remove a request that is not active any more."""
        self._requests.discard(request)

    def limit(self, at: float) -> float:
        """Return the monotonic time `at`, or that of the stop if it is earlier."""
        return at if self.stop_at is None else min(at, self.stop_at)

    def expire_unanswered(self) -> None:
        """End the time limit of each request that has no response yet.

        It is checked in the hub, where no request makes progress: one must not be
        interrupted while its response is sent.
        """
        run_callback = gevent.get_hub().loop.run_callback
        for request in self._requests:
            run_callback(self._expire_if_unanswered, request)

    def _expire_if_unanswered(self, request: ActiveRequest) -> None:
        if request in self._requests and not request.has_response:
            request.expire()
