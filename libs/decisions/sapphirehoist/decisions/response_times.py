"""Time that endpoints take for whole responses, to tell what a planned stop would cut.

It is designed for a process that ends at a known time while others serve: a request
that is refused at once is served elsewhere after a round trip, and one that is cut off
may have run.
"""

from __future__ import annotations

from collections import deque
from math import inf

_WINDOW_RESPONSES = 256
# With fewer responses, their longest duration is no bound for the next one.
_MIN_RESPONSES = 8
# Responses whose size differs by no more than this factor take similar times.
_SIMILAR_SIZE_FACTOR = 1.25
# Time to connect to the endpoint and to write the response to the caller.
_MARGIN_S = 0.1


class ResponseTimes:
    """Durations of the recent responses of each route and service.

    The longest duration is used, not an average: a request that is refused without need
    costs a round trip, and one that is cut off costs its response.

    Examples
    --------
    >>> times = ResponseTimes()
    >>> for _ in range(8):
    ...     times.record("book", "seats", 2.0)
    >>> times.is_in_time("book", "seats", 3.0)
    True
    >>> times.is_in_time("book", "seats", 1.0)
    False
    >>> times.is_in_time("new", "seats", 1.0)
    False
    >>> times.is_in_time("new", "seats", 1.0, is_repeatable=True)
    True
    """

    __slots__ = ("_responses",)

    def __init__(self) -> None:
        self._responses: dict[tuple[str, str], deque[tuple[int, float]]] = {}

    def record(
        self, route: str, service: str, duration_s: float, size: int = 0
    ) -> None:
        """Record the time from sending a request to the last byte of its response.

        Parameters
        ----------
        route, service : str
            Names of the route and of the service whose endpoint responded.
        duration_s : float
            Duration in seconds.
        size : int, optional
            Stated size of the response, such as its tokens; 0 if it is not known.
        """
        window = self._responses.setdefault(
            (route, service), deque(maxlen=_WINDOW_RESPONSES)
        )
        window.append((size, duration_s))

    def expected_s(
        self, route: str, service: str, size: int = 0, is_repeatable: bool = False
    ) -> float:
        """Return a time within which a response is expected to be complete.

        With too few responses it is infinite, unless the request may be repeated: the
        few that there are decide then, and it is 0 without any.
        """
        window = self._responses.get((route, service), ())
        similar_s = [
            duration_s
            for other_size, duration_s in window
            if size <= _SIMILAR_SIZE_FACTOR * other_size
            and other_size <= _SIMILAR_SIZE_FACTOR * size
        ]
        if len(similar_s) < _MIN_RESPONSES:
            if len(window) < _MIN_RESPONSES and not is_repeatable:
                return inf
            similar_s = [duration_s for _, duration_s in window]
        return max(similar_s) + _MARGIN_S if similar_s else 0.0

    def is_in_time(
        self,
        route: str,
        service: str,
        left_s: float,
        size: int = 0,
        is_repeatable: bool = False,
    ) -> bool:
        """Return whether a request can be begun `left_s` before the process ends.

        Parameters
        ----------
        route, service : str
            Names of the route and the service of the request.
        left_s : float
            Time until the end of the process, in seconds.
        size : int, optional
            Stated size of the response; 0 if it is not known.
        is_repeatable : bool, optional
            Whether the request may run more than once. Others are refused where it is
            not known how long they take.
        """
        return self.expected_s(route, service, size, is_repeatable) <= left_s
