"""Division of a VM's memory among responses to slow callers, and requests.

It responds to callers that read slowly or stop reading while their response goes on,
and to endpoints that accept large requests slowly. The largest response is shed first:
it frees the most memory for one caller, and callers that read at a normal pace have
hardly anything buffered.
"""

from __future__ import annotations

from collections.abc import Hashable

# Memory in bytes that a process needs apart from what it holds for callers: 27 MB when
# idle, and the state of a fleet of 370 VMs with their connections.
_PROCESS_BYTES = 64_000_000
# Share of the remaining memory that the budget covers. Bytes exist twice while they
# are parsed, joined or copied into the kernel.
_BUDGET_SHARE = 0.5
_MIN_BUDGET_BYTES = 4_000_000
# Requests that are answered cannot be shed. What they leave free keeps large requests
# from cutting off every slow reader.
_REQUEST_SHARE = 0.75
# Connections and small requests may take more, so that large ones do not keep them out.
_SMALL_REQUEST_BYTES = 65_536
_SMALL_REQUEST_SHARE = 0.85
# What responses leave free keeps slow readers from turning new requests away.
_RESPONSE_SHARE = 0.9


def budget_bytes(memory_mb: float) -> int:
    """Return the budget in bytes of a VM with `memory_mb` megabytes.

    Examples
    --------
    >>> budget_bytes(160)
    48000000
    >>> budget_bytes(32)
    4000000
    """
    free_bytes = memory_mb * 1_000_000 - _PROCESS_BYTES
    return max(_MIN_BUDGET_BYTES, int(free_bytes * _BUDGET_SHARE))


class MemoryBudget:
    """Counts the bytes that are held for callers, and names what to shed.

    Parameters
    ----------
    capacity_bytes : int
        Largest number of bytes held at one time.

    Attributes
    ----------
    used_bytes : int
        Bytes held now.
    request_bytes : int
        Bytes of requests among them.
    connection_bytes : int
        Bytes that open connections take, whether they carry a request or not; they
        are not part of `used_bytes`.
    leaving_bytes : int
        Bytes of responses that were shed and whose handlers still hold them; they are
        not part of `used_bytes` either.

    Examples
    --------
    >>> budget = MemoryBudget(100)
    >>> budget.reserve("a", 60), budget.reserve("b", 30), budget.reserve("b", 20)
    (True, True, False)
    >>> budget.largest("b", 20)
    'a'
    >>> budget.release("a", 60)
    >>> budget.reserve("b", 20)
    True
    """

    __slots__ = (
        "_held_bytes",
        "capacity_bytes",
        "connection_bytes",
        "leaving_bytes",
        "request_bytes",
        "used_bytes",
    )

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.request_bytes = 0
        self.connection_bytes = 0
        self.leaving_bytes = 0
        self._held_bytes: dict[Hashable, int] = {}

    def reserve_connection(self, byte_count: int) -> bool:
        """Reserve memory for a connection, if it fits."""
        if not self._fits_incoming(byte_count, _SMALL_REQUEST_SHARE):
            return False
        self.connection_bytes += byte_count
        return True

    def release_connection(self, byte_count: int) -> None:
        """Release the memory of a connection."""
        assert 0 <= byte_count <= self.connection_bytes
        self.connection_bytes -= byte_count

    def may_fit_request(self, byte_count: int) -> bool:
        """Return whether a request of this size fits while nothing else is held."""
        return byte_count <= self.capacity_bytes * _share(byte_count)

    def reserve_request(self, byte_count: int, held_bytes: int = 0) -> bool:
        """Reserve memory for a part of a request, if it fits.

        Parameters
        ----------
        byte_count : int
            Bytes of the part.
        held_bytes : int
            Bytes that the request holds already.
        """
        if not self._fits_incoming(byte_count, _share(held_bytes + byte_count)):
            return False
        self.request_bytes += byte_count
        self.used_bytes += byte_count
        return True

    def _fits_incoming(self, byte_count: int, share: float) -> bool:
        """Return whether a part fits into `share` of the budget, and into what is free.

        The share is what connections and requests may take together.
        """
        incoming_bytes = self.request_bytes + self.connection_bytes + byte_count
        return incoming_bytes <= self.capacity_bytes * share and self._fits(byte_count)

    def _fits(self, byte_count: int) -> bool:
        used_bytes = self.used_bytes + self.connection_bytes + self.leaving_bytes
        return used_bytes + byte_count <= self.capacity_bytes

    def release_request(self, byte_count: int) -> None:
        """Release memory of a request."""
        assert 0 <= byte_count <= self.request_bytes
        self.request_bytes -= byte_count
        self.used_bytes -= byte_count

    def reserve(self, response: Hashable, byte_count: int) -> bool:
        """Reserve memory for a part of a response, if it fits."""
        response_bytes = self.used_bytes - self.request_bytes + self.leaving_bytes
        if (
            response_bytes + byte_count > self.capacity_bytes * _RESPONSE_SHARE
            or not self._fits(byte_count)
        ):
            return False
        self.used_bytes += byte_count
        self._held_bytes[response] = self._held_bytes.get(response, 0) + byte_count
        return True

    def release(self, response: Hashable, byte_count: int) -> None:
        """Release the memory of a part of a response."""
        held_bytes = self._held_bytes.get(response, 0) - byte_count
        assert held_bytes >= 0
        self.used_bytes -= byte_count
        if held_bytes:
            self._held_bytes[response] = held_bytes
        else:
            self._held_bytes.pop(response, None)

    def begin_leaving(self, response: Hashable) -> int:
        """Record that a response was shed; return the bytes that it still takes."""
        held_bytes = self.held_bytes(response)
        self.release(response, held_bytes)
        self.leaving_bytes += held_bytes
        return held_bytes

    def end_leaving(self, byte_count: int) -> None:
        """Release bytes of a response that was shed."""
        assert 0 <= byte_count <= self.leaving_bytes
        self.leaving_bytes -= byte_count

    def held_bytes(self, response: Hashable) -> int:
        """Return the number of bytes that are held for a response."""
        return self._held_bytes.get(response, 0)

    def largest(self, response: Hashable, byte_count: int) -> Hashable:
        """Return the response to shed so that `response` may get `byte_count` more.

        That is `response` itself if it would become the largest.
        """
        largest, largest_bytes = response, self.held_bytes(response) + byte_count
        for other, held_bytes in self._held_bytes.items():
            if held_bytes > largest_bytes:
                largest, largest_bytes = other, held_bytes
        return largest


def _share(request_bytes: int) -> float:
    """Return the share of the budget that requests of this size may fill."""
    is_small = request_bytes <= _SMALL_REQUEST_BYTES
    return _SMALL_REQUEST_SHARE if is_small else _REQUEST_SHARE


class SelfSheddingBudget(MemoryBudget):
    """Baseline that sheds whichever response needs memory when there is none."""

    __slots__ = ()

    def largest(self, response: Hashable, byte_count: int) -> Hashable:
        """Return `response`."""
        return response
