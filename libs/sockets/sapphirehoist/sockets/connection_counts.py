"""Division of a process's descriptors among its listeners."""

from __future__ import annotations

import resource
from dataclasses import dataclass

_MAX_CALLER_CONNECTIONS, _CALLER_SHARE = 1_280, 1 / 4
_MAX_PEER_CONNECTIONS, _PEER_SHARE = 1_024, 1 / 8
_MAX_STATUS_CONNECTIONS, _STATUS_SHARE = 128, 1 / 32


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Largest number of connections of each listener of a process.

    Attributes
    ----------
    callers : int
        At the address for callers' requests. Each of them may need a further connection
        to an endpoint.
    peers : int
        At the address for other VMs.
    status : int
        At each other address.

    Examples
    --------
    >>> ConnectionCounts.from_descriptor_limit(512)
    ConnectionCounts(callers=128, peers=64, status=16)
    """

    callers: int
    peers: int
    status: int

    @classmethod
    def from_descriptor_limit(cls, max_descriptors: int) -> ConnectionCounts:
        """Divide the descriptors of a process, up to a fixed number each."""
        return cls(
            min(_MAX_CALLER_CONNECTIONS, int(max_descriptors * _CALLER_SHARE)),
            min(_MAX_PEER_CONNECTIONS, int(max_descriptors * _PEER_SHARE)),
            min(_MAX_STATUS_CONNECTIONS, int(max_descriptors * _STATUS_SHARE)),
        )

    @classmethod
    def from_process(cls) -> ConnectionCounts:
        """Divide the descriptors that this process may open."""
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit == resource.RLIM_INFINITY:
            soft_limit = 2**31
        return cls.from_descriptor_limit(soft_limit)
