"""Outcomes of an attempt at an endpoint, and the action that follows each of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptOutcome(Enum):
    """Outcome of an attempt.

    Attributes
    ----------
    ANSWERED
        Complete success response that carries the endpoint's seal.
    ENDPOINT_FAILED
        Complete error response of the endpoint; the request may have run.
    NOT_SENT
        No byte left this node.
    NOT_RUN
        The endpoint states that it did not run the request.
    INPUTS_GONE
        Like `NOT_RUN`, because a stage result no longer exists.
    LOST
        Sent, but no usable response was received; the request may have run.
    BROKEN
        The response ended early after a part of it had reached the caller.
    """

    ANSWERED = "answered"
    ENDPOINT_FAILED = "endpoint_failed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    INPUTS_GONE = "inputs_gone"
    LOST = "lost"
    BROKEN = "broken"


class NextAction(Enum):
    """Action that follows an attempt.

    Attributes
    ----------
    DELIVER
        Deliver the endpoint's response to the caller.
    ELSEWHERE
        Retry at another endpoint.
    REBUILD
        Run the stages again, then retry.
    GIVE_UP
        Make no further attempt.
    """

    DELIVER = "deliver"
    ELSEWHERE = "elsewhere"
    REBUILD = "rebuild"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class OutcomeRule:
    """Actions that follow an outcome.

    Attributes
    ----------
    idempotent, non_idempotent : NextAction
        Action for a request that may run more than once, and for one that may not.
    may_have_run : bool
        Whether the endpoint may have run the request.
    """

    idempotent: NextAction
    non_idempotent: NextAction
    may_have_run: bool


OUTCOME_RULES = {
    AttemptOutcome.ANSWERED: OutcomeRule(
        NextAction.DELIVER, NextAction.DELIVER, may_have_run=True
    ),
    AttemptOutcome.ENDPOINT_FAILED: OutcomeRule(
        NextAction.ELSEWHERE, NextAction.DELIVER, may_have_run=True
    ),
    AttemptOutcome.NOT_SENT: OutcomeRule(
        NextAction.ELSEWHERE, NextAction.ELSEWHERE, may_have_run=False
    ),
    AttemptOutcome.NOT_RUN: OutcomeRule(
        NextAction.ELSEWHERE, NextAction.ELSEWHERE, may_have_run=False
    ),
    AttemptOutcome.INPUTS_GONE: OutcomeRule(
        NextAction.REBUILD, NextAction.REBUILD, may_have_run=False
    ),
    AttemptOutcome.LOST: OutcomeRule(
        NextAction.ELSEWHERE, NextAction.GIVE_UP, may_have_run=True
    ),
    AttemptOutcome.BROKEN: OutcomeRule(
        NextAction.ELSEWHERE, NextAction.GIVE_UP, may_have_run=True
    ),
}


def next_action(outcome: AttemptOutcome, is_idempotent: bool) -> NextAction:
    """Return the action that follows `outcome`.

    Examples
    --------
    >>> next_action(AttemptOutcome.LOST, is_idempotent=False).value
    'give_up'
    >>> next_action(AttemptOutcome.NOT_RUN, is_idempotent=False).value
    'elsewhere'
    """
    rule = OUTCOME_RULES[outcome]
    return rule.idempotent if is_idempotent else rule.non_idempotent
