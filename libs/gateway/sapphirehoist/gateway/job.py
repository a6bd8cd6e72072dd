"""One request on its way: what it is, how far it has come, how it ended."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.gateway.dialect import Call
from sapphirehoist.gateway.refusals import Refusal
from sapphirehoist.gateway.relay import EventRelay
from sapphirehoist.http1 import CallerRequest, ResponseHead
from sapphirehoist.routes import Route, Service


@dataclass(frozen=True, slots=True)
class Job:
    """A request that was let in.

    Attributes
    ----------
    request, call : CallerRequest, Call
        What the caller sent, and what it means.
    route, service : Route, Service
        Where it goes.
    team : str
        Owner of the caller's key.
    priority : int
        Its rank; 0 is the most urgent.
    limit_at, deadline_at, target_at : float
        Monotonic times: final answer, end of the caller's patience, target.
    begin_by : float
        Monotonic time after which the first bytes of the answer find no caller.
    """

    request: CallerRequest
    call: Call
    route: Route
    service: Service
    team: str
    priority: int
    limit_at: float
    deadline_at: float
    target_at: float
    begin_by: float


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has its whole answer."""

    status: int


@dataclass(frozen=True, slots=True)
class CutOff:
    """The caller has a part of the answer, and the rest cannot be had."""

    detail: str


@dataclass(frozen=True, slots=True)
class RebuildInputs:
    """Results of stages are gone; the request has not run."""


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """The endpoint's own failure, whole, to be delivered as it is."""

    head: ResponseHead
    body: bytes


DispatchOutcome: TypeAlias = (
    Delivered | EndpointFailure | CutOff | Refusal | RebuildInputs
)


class StageInputs(ABC):
    """Results of the stages before, which take up space until they are released."""

    @property
    @abstractmethod
    def handles(self) -> tuple[str, ...]:
        """Return the handles that the request is sent with."""

    @abstractmethod
    def bytes_by_zone(self) -> dict[str, int]:
        """Return the size of the results by the availability zone they are in."""

    @property
    @abstractmethod
    def is_released(self) -> bool:
        """Return whether the results were given up."""

    @abstractmethod
    def release(self) -> None:
        """Give up the results; an engine has read them, or nobody will."""


class Progress:
    """State of one request over all its attempts.

    Parameters
    ----------
    relay : EventRelay
        What the caller has of a stream.

    Attributes
    ----------
    tried : set of str
        Endpoints that were asked.
    sends : int
        Attempts of which something left this node.
    may_have_run : bool
        Whether an endpoint may have run the request.
    is_under_way : bool
        Whether an attempt has not ended.
    first_head : ResponseHead or None
        Head of the answer that the caller has a part of.
    unread_tokens : int
        Tokens of the prompt that the engine asked last has still to read.
    """

    __slots__ = (
        "first_head",
        "is_under_way",
        "may_have_run",
        "relay",
        "sends",
        "tried",
        "unread_tokens",
    )

    def __init__(self, relay: EventRelay) -> None:
        self.relay = relay
        self.tried: set[str] = set()
        self.sends = 0
        self.may_have_run = False
        self.is_under_way = False
        self.first_head: ResponseHead | None = None
        self.unread_tokens = 0
