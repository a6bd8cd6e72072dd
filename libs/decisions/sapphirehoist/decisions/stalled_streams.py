"""Time after which a silent stream is taken as stalled.

It is designed for engines that stop in the middle of a stream without an error, beside
slow but sound ones: moving a sound stream to another engine repeats its prefill.
"""

from __future__ import annotations

# The other part of the caller's timeout is left for the engine that continues.
_CALLER_TIMEOUT_FRACTION = 0.5
_REMAINING_TIME_FRACTION = 0.45
# Near the deadline, a stream is still given this many of its target gaps.
_MIN_GAP_TARGETS = 2.0


def stall_timeout_s(
    caller_timeout_s: float, gap_target_s: float, remaining_s: float
) -> float:
    """Return the time without an event after which a stream should be moved.

    Parameters
    ----------
    caller_timeout_s : float
        Time without an event after which the caller gives up, in seconds.
    gap_target_s : float
        Latency target for the gap between two events, in seconds.
    remaining_s : float
        Time until the deadline of the request, in seconds.

    Examples
    --------
    >>> stall_timeout_s(8.0, 0.4, 20.0)
    4.0
    >>> stall_timeout_s(8.0, 0.4, 2.0)
    0.9
    >>> stall_timeout_s(8.0, 0.4, 0.1)
    0.8
    """
    return max(
        _MIN_GAP_TARGETS * gap_target_s,
        min(
            _CALLER_TIMEOUT_FRACTION * caller_timeout_s,
            _REMAINING_TIME_FRACTION * remaining_s,
        ),
    )
