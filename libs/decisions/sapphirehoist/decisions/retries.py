"""Retry policies: a fixed mapping from failures to actions, limited by a budget.

A fixed mapping without further control flow follows the design of another system,
llm_policy (POLICY_DESIGN.md, section 5.4), where a "sequence" lists the actions that
follow each kind of failure.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

_TOKENS_PER_SUCCESS = 0.1
_INITIAL_TOKENS = 3.0
_MAX_TOKENS = 50.0


class AttemptFailure(Enum):
    """Ways in which an attempt can fail."""

    NOT_SENT = "not_sent"
    BUSY = "busy"
    REJECTED = "rejected"
    LOST = "lost"
    TIMED_OUT = "timed_out"


class RetryAction(Enum):
    """Reaction to a failed attempt."""

    RETRY_ELSEWHERE = "retry_elsewhere"
    GIVE_UP = "give_up"


_ACTIONS = {
    AttemptFailure.NOT_SENT: RetryAction.RETRY_ELSEWHERE,
    AttemptFailure.BUSY: RetryAction.RETRY_ELSEWHERE,
    AttemptFailure.REJECTED: RetryAction.GIVE_UP,
    AttemptFailure.LOST: RetryAction.RETRY_ELSEWHERE,
    AttemptFailure.TIMED_OUT: RetryAction.GIVE_UP,
}


class RetryPolicy(ABC):
    """Decides whether to retry a failed attempt of an idempotent call."""

    @abstractmethod
    def record_success(self) -> None:
        """Record a successful attempt."""

    @abstractmethod
    def decide(self, failure: AttemptFailure, attempt: int) -> RetryAction:
        """Return the action after attempt number `attempt` ended in `failure`."""


class UnlimitedRetry(RetryPolicy):
    """Baseline: retries every failure that may not recur on another endpoint."""

    __slots__ = ()

    def record_success(self) -> None:
        """Do nothing."""

    def decide(self, failure: AttemptFailure, attempt: int) -> RetryAction:
        """Return the action for the kind of failure."""
        return _ACTIONS[failure]


class BudgetedRetry(RetryPolicy):
    """Limits retries to a fraction of the successful attempts by a token bucket.

    Each success adds a fraction of a token, and each retry consumes one token.

    Examples
    --------
    >>> retry = BudgetedRetry()
    >>> [retry.decide(AttemptFailure.LOST, 1).value for _ in range(4)][-2:]
    ['retry_elsewhere', 'give_up']
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _INITIAL_TOKENS

    def record_success(self) -> None:
        """Add a fraction of a token to the bucket."""
        self._tokens = min(self._tokens + _TOKENS_PER_SUCCESS, _MAX_TOKENS)

    def decide(self, failure: AttemptFailure, attempt: int) -> RetryAction:
        """Return the action for the kind of failure, or give up if no token is left."""
        action = _ACTIONS[failure]
        if action is RetryAction.RETRY_ELSEWHERE:
            if self._tokens < 1.0:
                return RetryAction.GIVE_UP
            self._tokens -= 1.0
        return action
