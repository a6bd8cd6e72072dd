"""The records that endpoints write about themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointPhase(Enum):
    """Phase of an endpoint's life cycle."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One endpoint.

    Peers send each other records encoded with these field names.

    Attributes
    ----------
    name : str
        Identifier of the endpoint; usually changes with a restart.
    service : str
        Pool that the endpoint belongs to.
    address : str
        ``IP:PORT``; may be reused by another endpoint once this one is gone.
    zone : str
        Availability zone.
    slots : int
        Number of requests that the endpoint runs concurrently.
    phase : EndpointPhase
        `IN_SERVICE` or `DRAINING`.
    cold_s : float
        Remaining warm-up time, during which the endpoint is slower, when the entry was
        read.
    sequence : int
        Increases with each entry that the endpoint writes; reset when it restarts.
    born_ms : int
        Wall time of the endpoint's start, in milliseconds since the Unix epoch; 0 where
        unknown.
    software_version : str
        Version of the endpoint's software; empty where unknown. Versions have no order.
    states_cold : bool
        Whether the entry states the remaining warm-up time, even if it is 0.
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
    software_version: str = ""
    states_cold: bool = False
