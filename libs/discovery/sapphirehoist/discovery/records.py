"""What endpoints say of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointPhase(Enum):
    """Where an endpoint is in its life."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One endpoint.

    Attributes
    ----------
    name : str
        Its id; a restart mostly brings a new one.
    service : str
        Pool that it belongs to.
    address : str
        ``IP:PORT``; may be used by another endpoint once this one is gone.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at once.
    phase : EndpointPhase
        In service or draining.
    cold_s : float
        How much longer it is slow after its start.
    sequence : int
        Grows with each entry it writes, and begins anew with each start.
    born_ms : int
        Wall time of its start; 0 where it says none.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    phase: EndpointPhase = EndpointPhase.IN_SERVICE
    cold_s: float = 0.0
    sequence: int = 0
    born_ms: int = 0
