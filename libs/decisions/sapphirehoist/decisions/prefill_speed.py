"""Speed at which the engines of a pool process prompts, learnt from first events.

It is designed for nodes that send few requests, to pools whose speed differs from one
deployment to the next by a factor of two.
"""

from __future__ import annotations

from collections import deque
from statistics import median

# Prompt tokens that a model engine processes per second, until the pool is known.
DEFAULT_PREFILL_TOKENS_PER_S = 93_000.0
# Time from the scheduling of the first token to the first event.
FIRST_EVENT_DELAY_S = 0.1
# With fewer tokens, the prefill is short beside the delay of the first event.
_MIN_TOKENS = 2_000
_MIN_TOKENS_PER_S = 20_000.0
_MAX_TOKENS_PER_S = 300_000.0
_MAX_SAMPLES = 63
# The default counts as this many samples, so that one odd sample changes little.
_PRIOR_SAMPLES = 4


class PrefillSpeed:
    """Estimates the prefill speed of each pool of engines.

    The estimate is the median of recent samples over all engines of the pool. Wrong
    assumptions about cached prompt parts make single samples far too fast or too slow.

    Examples
    --------
    >>> speed = PrefillSpeed()
    >>> for _ in range(9):
    ...     speed.record("chat", 12_000, FIRST_EVENT_DELAY_S + 0.2)
    >>> round(speed.tokens_per_s("chat"))
    60000
    >>> speed.tokens_per_s("other")
    93000.0
    """

    __slots__ = ("_estimates", "_samples")

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}
        self._estimates: dict[str, float] = {}

    def tokens_per_s(self, pool: str) -> float:
        """Return the estimated prefill speed of an engine of `pool`."""
        return self._estimates.get(pool, DEFAULT_PREFILL_TOKENS_PER_S)

    def expected_s(self, pool: str, uncached_tokens: float) -> float:
        """Return the expected time to the first event on an idle engine."""
        return uncached_tokens / self.tokens_per_s(pool) + FIRST_EVENT_DELAY_S

    def record(self, pool: str, uncached_tokens: int, first_event_s: float) -> None:
        """Record the time to the first event of a request.

        Parameters
        ----------
        pool : str
            Service of the engine.
        uncached_tokens : int
            Tokens of the prompt that the engine had not cached, as far as known.
        first_event_s : float
            Time to the first event without queueing, without the time on the network,
            and divided by the slowdown that the engine stated.
        """
        if uncached_tokens < _MIN_TOKENS:
            return
        prefill_s = first_event_s - FIRST_EVENT_DELAY_S
        tokens_per_s = _MAX_TOKENS_PER_S
        if prefill_s > 0:
            tokens_per_s = min(
                max(uncached_tokens / prefill_s, _MIN_TOKENS_PER_S), _MAX_TOKENS_PER_S
            )
        samples = self._samples.setdefault(pool, deque(maxlen=_MAX_SAMPLES))
        samples.append(tokens_per_s)
        prior = [DEFAULT_PREFILL_TOKENS_PER_S] * _PRIOR_SAMPLES
        self._estimates[pool] = median([*samples, *prior])
