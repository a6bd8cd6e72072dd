"""Which endpoints this VM does not reach although other VMs do.

It is designed for networks in which a VM loses its paths to all or some endpoints for
seconds: connections hang, are reset or are refused, or live on while new ones are
refused. Each further attempt to connect would take the time of its timeout.
"""

from __future__ import annotations

from collections.abc import Collection

# Lost paths to so many endpoints, none reached since, are taken for the loss of all.
_LOST_PATHS_WITHOUT_ANY = 2


class EndpointPaths:
    """Paths from this VM to endpoints, by address.

    A path is lost once another VM has connected to an endpoint that this VM does not
    reach, and restored once this VM connects to it.

    Examples
    --------
    >>> paths = EndpointPaths()
    >>> paths.record_lost("10.0.0.1:80")
    >>> paths.is_lost("10.0.0.1:80"), paths.is_lost("10.0.0.3:80")
    (True, False)
    >>> paths.record_lost("10.0.0.2:80")
    >>> paths.is_lost("10.0.0.3:80")
    True
    >>> paths.record_reached("10.0.0.1:80")
    >>> paths.is_lost("10.0.0.2:80"), paths.is_lost("10.0.0.3:80")
    (True, False)
    """

    __slots__ = ("_lost", "_lost_since_reached")

    def __init__(self) -> None:
        # Ordered by the time of the last attempt, the earliest first.
        self._lost: dict[str, None] = {}
        self._lost_since_reached: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM seems to reach no endpoint at all."""
        return len(self._lost_since_reached) >= _LOST_PATHS_WITHOUT_ANY

    def is_lost(self, address: str) -> bool:
        """Return whether this VM has no path to the endpoint at `address`."""
        return address in self._lost or self.is_cut_off

    def record_reached(self, address: str) -> None:
        """Record that the endpoint at `address` accepted a connection of this VM."""
        self._lost.pop(address, None)
        self._lost_since_reached.clear()

    def record_lost(self, address: str) -> None:
        """Record that another VM reaches the endpoint at `address` and this one not."""
        self._lost.setdefault(address)
        self._lost_since_reached.add(address)

    def next_probe(self, known_addresses: Collection[str]) -> str | None:
        """Return the address to try next, in turn; None if no path is lost.

        Lost paths to addresses other than `known_addresses` are discarded.
        """
        for address in self._lost.keys() - set(known_addresses):
            del self._lost[address]
            self._lost_since_reached.discard(address)
        for address in self._lost:
            del self._lost[address]
            self._lost[address] = None
            return address
        return None
