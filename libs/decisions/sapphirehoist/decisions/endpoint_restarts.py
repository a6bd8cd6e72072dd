"""Which endpoints may have started again since their entries were read.

It is designed for a load in which engines crash while streams go on. An engine may
start again under its name with another software version, before its entry is read.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sapphirehoist.clock import Clock

# An engine that crashed is back within this time, or under another name.
_SUSPICION_S = 30.0
# An engine that crashed is back after some seconds, not earlier than this.
_MIN_RESTART_S = 1.0
# An engine that starts accepts connections and writes its entry within this time.
_ENTRY_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class _Loss:
    """The last attempt that was lost at an endpoint.

    Attributes
    ----------
    at : float
        Monotonic time.
    may_follow_restart : bool
        Whether the endpoint may have started again before.
    """

    at: float
    may_follow_restart: bool


class EndpointRestarts:
    """Endpoints that attempts have been lost at.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    An engine whose connections are reset, and that accepts others at once, goes on:

    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> restarts = EndpointRestarts(clock)
    >>> restarts.record_loss("e-1", is_absent=False)
    >>> restarts.record_loss("e-2", is_absent=False)
    >>> clock.advance(2.0)
    >>> restarts.may_have_restarted("e-1", [0.1], entries_read_at=0.0)
    False

    One that is reached after a while may be another process, until its entry is read:

    >>> restarts.may_have_restarted("e-2", [1.5], entries_read_at=1.6)
    True
    >>> restarts.may_have_restarted("e-2", [1.5], entries_read_at=1.9)
    False
    """

    __slots__ = ("_clock", "_losses")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The oldest first.
        self._losses: dict[str, _Loss] = {}

    def record_loss(self, endpoint: str, is_absent: bool) -> None:
        """Record a lost attempt; `is_absent` if the endpoint accepted no connection."""
        known = self._find(endpoint)
        now = self._clock.monotonic()
        may_follow_restart = is_absent or (
            known is not None
            and (known.may_follow_restart or now > known.at + _MIN_RESTART_S)
        )
        self._losses.pop(endpoint, None)
        self._losses[endpoint] = _Loss(now, may_follow_restart)
        while self._find(oldest := next(iter(self._losses))) is None:
            del self._losses[oldest]

    def lost_at(self, endpoint: str) -> float | None:
        """Return when an attempt was last lost at `endpoint`; None if not lately."""
        loss = self._find(endpoint)
        return None if loss is None else loss.at

    def may_have_restarted(
        self,
        endpoint: str,
        connected_at: Iterable[float],
        entries_read_at: float | None,
    ) -> bool:
        """Return whether `endpoint` may be another process than its entry states.

        A connection ends with its process. The entries that were read after it was
        opened are therefore those of the process at its other end. A loss is forgotten
        once the connections prove that there was no restart since.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        connected_at : iterable of float
            Monotonic times at which the open connections to it were opened.
        entries_read_at : float or None
            Monotonic time at which the entries were last read.
        """
        loss = self._find(endpoint)
        if loss is None:
            return False
        proven_until = loss.at if loss.may_follow_restart else loss.at + _MIN_RESTART_S
        if entries_read_at is not None:
            proven_until = max(proven_until, entries_read_at - _ENTRY_DELAY_S)
        # A connection from before the loss may be open at this end only.
        if any(loss.at < at <= proven_until for at in connected_at):
            del self._losses[endpoint]
            return False
        is_early = self._clock.monotonic() <= loss.at + _MIN_RESTART_S
        return loss.may_follow_restart or not is_early

    def _find(self, endpoint: str) -> _Loss | None:
        loss = self._losses.get(endpoint)
        if loss is None or self._clock.monotonic() - loss.at >= _SUSPICION_S:
            return None
        return loss
