"""What follows a failed attempt: a closed table, under one budget.

The table from kinds of failure to actions, with no other control flow, follows the
sequence verb of the llm_policy design (POLICY_DESIGN.md, section 5.4).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

_BUDGET_SHARE = 0.1
_BUDGET_FLOOR = 3.0
_BUDGET_CEILING = 50.0


class Failure(Enum):
    """Kinds of failure of one attempt."""

    NOT_SENT = "not_sent"
    BUSY = "busy"
    REJECTED = "rejected"
    LOST = "lost"
    TIMED_OUT = "timed_out"


class Action(Enum):
    """What follows."""

    RETRY_ELSEWHERE = "retry_elsewhere"
    GIVE_UP = "give_up"


_TABLE = {
    Failure.NOT_SENT: Action.RETRY_ELSEWHERE,
    Failure.BUSY: Action.RETRY_ELSEWHERE,
    Failure.REJECTED: Action.GIVE_UP,
    Failure.LOST: Action.RETRY_ELSEWHERE,
    Failure.TIMED_OUT: Action.GIVE_UP,
}


class RetryPolicy(ABC):
    """Decides what follows a failed attempt of a call that may be repeated."""

    @abstractmethod
    def count_success(self) -> None:
        """Count an attempt that succeeded."""

    @abstractmethod
    def decide(self, failure: Failure, attempt: int) -> Action:
        """Return what follows attempt number `attempt`, which ended in `failure`."""


class UnlimitedRetry(RetryPolicy):
    """Baseline: every failure that another endpoint may mend is retried."""

    __slots__ = ()

    def count_success(self) -> None:
        """Do nothing."""

    def decide(self, failure: Failure, attempt: int) -> Action:
        """Retry elsewhere unless the call itself is at fault."""
        return _TABLE[failure]


class BudgetedRetry(RetryPolicy):
    """Retries by the table, at most a share of the successes.

    Examples
    --------
    >>> retry = BudgetedRetry()
    >>> [retry.decide(Failure.LOST, 1).value for _ in range(4)][-2:]
    ['retry_elsewhere', 'give_up']
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _BUDGET_FLOOR

    def count_success(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(self._tokens + _BUDGET_SHARE, _BUDGET_CEILING)

    def decide(self, failure: Failure, attempt: int) -> Action:
        """Follow the table while the budget lasts."""
        action = _TABLE[failure]
        if action is Action.RETRY_ELSEWHERE:
            if self._tokens < 1.0:
                return Action.GIVE_UP
            self._tokens -= 1.0
        return action
