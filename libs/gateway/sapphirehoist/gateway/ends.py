"""How an attempt at an endpoint ended, and what may follow: one closed table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class End(Enum):
    """How an attempt ended.

    Attributes
    ----------
    ANSWERED : a success, whole and vouched for
    ENDPOINT_FAILED : the endpoint's own failure, whole; it may have run
    NOT_SENT : no byte left this node
    NOT_RUN : the endpoint states that it did not run the request
    INPUTS_GONE : like `NOT_RUN`, as a result of a stage no longer exists
    LOST : sent, and no usable answer; it may have run
    BROKEN : the answer ended early after a part of it reached the caller
    """

    ANSWERED = "answered"
    ENDPOINT_FAILED = "endpoint_failed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    INPUTS_GONE = "inputs_gone"
    LOST = "lost"
    BROKEN = "broken"


class Next(Enum):
    """What follows an end."""

    DELIVER = "deliver"
    ELSEWHERE = "elsewhere"
    REBUILD = "rebuild"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class Rule:
    """What follows an end, for requests that may and that may not run twice."""

    repeatable: Next
    single: Next
    may_have_run: bool


RULES = {
    End.ANSWERED: Rule(Next.DELIVER, Next.DELIVER, may_have_run=True),
    End.ENDPOINT_FAILED: Rule(Next.ELSEWHERE, Next.DELIVER, may_have_run=True),
    End.NOT_SENT: Rule(Next.ELSEWHERE, Next.ELSEWHERE, may_have_run=False),
    End.NOT_RUN: Rule(Next.ELSEWHERE, Next.ELSEWHERE, may_have_run=False),
    End.INPUTS_GONE: Rule(Next.REBUILD, Next.REBUILD, may_have_run=False),
    End.LOST: Rule(Next.ELSEWHERE, Next.GIVE_UP, may_have_run=True),
    End.BROKEN: Rule(Next.ELSEWHERE, Next.GIVE_UP, may_have_run=True),
}


def what_follows(end: End, is_repeatable: bool) -> Next:
    """Return what follows `end`.

    Examples
    --------
    >>> what_follows(End.LOST, is_repeatable=False).value
    'give_up'
    >>> what_follows(End.NOT_RUN, is_repeatable=False).value
    'elsewhere'
    """
    rule = RULES[end]
    return rule.repeatable if is_repeatable else rule.single
