"""Times at which refused callers are to return, and recognition of those who do.

It is designed for bursts in which many callers are refused within a second: if all
returned at once, they would meet a full endpoint again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sapphirehoist.clock import Clock

# A caller counts as returning as told if it is earlier by at most this time, or later
# by at most the second one. Headers state two decimals of a second.
_EARLY_TOLERANCE_S = 0.02
_LATE_TOLERANCE_S = 1.5


class Arrival(Enum):
    """How a request stands to an earlier refusal."""

    RETURNED_AS_TOLD = "as_told"
    NEW = "new"
    RETURNED_EARLY = "early"


@dataclass(slots=True)
class _ToldReturn:
    """A refused request and when its caller is to return.

    `taken_by` is the id of the request with which the caller returned, once it has.
    """

    fingerprint: str
    request_id: str
    endpoint: str
    priority: int
    due_at: float
    work_s: float
    taken_by: str = ""


class ReturnOrder:
    """Gives refused callers times to return at which there is time for their work.

    A caller gets the first gap among the times given to equally and more urgent ones at
    an endpoint. Callers are recognised at all endpoints of one owner.

    Parameters
    ----------
    clock : Clock
        Monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> order = ReturnOrder(clock)
    >>> times = {"earliest_s": 0.5, "work_s": 0.1, "limit_s": 2.0}
    >>> order.schedule("a", "request-1", "endpoint", 1, **times)
    0.5
    >>> order.schedule("b", "request-2", "endpoint", 1, **times)
    0.6
    >>> order.schedule("c", "request-3", "endpoint", 0, **times)
    0.5
    >>> order.recognise("a", "request-4", has_returned=True).value
    'early'
    >>> clock.advance(0.5)
    >>> order.recognise("a", "request-5", has_returned=True).value
    'as_told'
    """

    __slots__ = ("_clock", "_told")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: list[_ToldReturn] = []

    def schedule(
        self,
        fingerprint: str,
        request_id: str,
        endpoint: str,
        priority: int,
        earliest_s: float,
        work_s: float,
        limit_s: float,
    ) -> float:
        """Return after which delay a refused caller should return.

        Parameters
        ----------
        fingerprint : str
            Identifies the request; the same when the caller returns.
        request_id : str
            Id of the request that is refused.
        endpoint : str
            Endpoint that has no place for it.
        priority : int
            Priority of the request; 0 is the most urgent.
        earliest_s : float
            Time after which the endpoint is expected to have capacity.
        work_s : float
            Time of the endpoint that the request takes.
        limit_s : float
            Longest delay; callers do not wait longer.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        due_at = now + earliest_s
        for other in sorted(self._told, key=lambda told: told.due_at):
            is_ahead = other.endpoint == endpoint and other.priority <= priority
            if not is_ahead or other.due_at + other.work_s <= due_at:
                continue
            if other.due_at >= due_at + work_s:
                break
            due_at = other.due_at + other.work_s
        due_at = min(due_at, now + limit_s)
        self._told.append(
            _ToldReturn(fingerprint, request_id, endpoint, priority, due_at, work_s)
        )
        return due_at - now

    def recognise(
        self, fingerprint: str, request_id: str, has_returned: bool
    ) -> Arrival:
        """Return how a request stands to an earlier refusal.

        Parameters
        ----------
        fingerprint : str
            Identifies the request; the same when the caller returns.
        request_id : str
            Id of this request.
        has_returned : bool
            Whether the caller has sent the request before.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        own = [
            told
            for told in self._told
            if told.fingerprint == fingerprint
            and told.request_id != request_id
            and told.taken_by in ("", request_id)
        ]
        for told in sorted(own, key=lambda told: told.due_at):
            if told.due_at <= now + _EARLY_TOLERANCE_S:
                told.taken_by, told.work_s = request_id, 0.0
                return Arrival.RETURNED_AS_TOLD
        return Arrival.RETURNED_EARLY if own and has_returned else Arrival.NEW

    def forget(self, request_id: str) -> None:
        """Forget the refusals of a request that has a place elsewhere."""
        self._told = [told for told in self._told if told.request_id != request_id]

    def _remove_expired(self, now: float) -> None:
        self._told = [
            told for told in self._told if told.due_at + _LATE_TOLERANCE_S > now
        ]
