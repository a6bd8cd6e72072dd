"""Whether an endpoint has failed, or only the path of one VM to it.

It is designed for networks in which some VMs, also most VMs of an availability zone,
lose their paths to all or some endpoints for seconds while the endpoints serve others.
What a single VM sees from its place does not decide between the two.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum


class PathObservation(Enum):
    """What one VM saw when it tried to connect to an endpoint.

    Attributes
    ----------
    REACHED
        The endpoint accepted a connection.
    UNREACHED
        It did not, while another endpoint accepted one, or all others are known to have
        failed.
    NO_PATH
        Neither it nor any other endpoint that was tried accepted a connection.
    """

    REACHED = "reached"
    UNREACHED = "unreached"
    NO_PATH = "no_path"


class PathVerdict(Enum):
    """What the observations of several VMs show about an endpoint."""

    ENDPOINT_UP = "endpoint_up"
    ENDPOINT_DOWN = "endpoint_down"
    UNDECIDED = "undecided"


def judge_endpoint(
    own: PathObservation, others: Collection[PathObservation], is_alone: bool
) -> PathVerdict:
    """Return what is known about an endpoint.

    Parameters
    ----------
    own : PathObservation
        What this VM saw.
    others : collection of PathObservation
        What other VMs saw; those that did not reply are not included.
    is_alone : bool
        Whether there is no other VM that could be asked.

    Examples
    --------
    >>> own, other = PathObservation.UNREACHED, PathObservation.REACHED
    >>> judge_endpoint(own, [other], is_alone=False).value
    'endpoint_up'
    >>> judge_endpoint(own, [PathObservation.NO_PATH], is_alone=False).value
    'undecided'
    >>> judge_endpoint(own, [], is_alone=True).value
    'endpoint_down'
    """
    if PathObservation.REACHED in (own, *others):
        return PathVerdict.ENDPOINT_UP
    if PathObservation.UNREACHED in others or is_alone:
        return PathVerdict.ENDPOINT_DOWN
    return PathVerdict.UNDECIDED
