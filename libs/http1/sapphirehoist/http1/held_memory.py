"""Memory that connections reserve from what all of them share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from sapphirehoist.decisions import MemoryBudget
from sapphirehoist.http1.messages import RequestHead, ResponseHead


class RequestMemory(Protocol):
    """Memory for connections, and for requests until their response is complete."""

    def may_fit(self, byte_count: int) -> bool:
        """Return whether a request of this size fits while nothing else is held."""

    def reserve_connection(self, byte_count: int) -> bool:
        """Reserve memory for a connection, if it fits."""

    def release_connection(self, byte_count: int) -> None:
        """Release the memory of a connection."""

    def reserve(self, byte_count: int, held_bytes: int) -> bool:
        """Reserve memory for a request that holds `held_bytes`, if it fits."""

    def release(self, byte_count: int) -> None:
        """Release the memory of a request."""

    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a request that does not fit."""


class BudgetedRequestMemory(ABC):
    """Memory of a budget, which it may share with responses.

    Parameters
    ----------
    budget : MemoryBudget
        Memory to reserve.
    """

    __slots__ = ("_budget",)

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget

    def may_fit(self, byte_count: int) -> bool:
        """Return whether a request of this size fits while nothing else is held."""
        return self._budget.may_fit_request(byte_count)

    def reserve_connection(self, byte_count: int) -> bool:
        """Reserve memory for a connection, if it fits."""
        return self._budget.reserve_connection(byte_count)

    def release_connection(self, byte_count: int) -> None:
        """Release the memory of a connection."""
        self._budget.release_connection(byte_count)

    def reserve(self, byte_count: int, held_bytes: int) -> bool:
        """Reserve memory for a request that holds `held_bytes`, if it fits."""
        return self._budget.reserve_request(byte_count, held_bytes)

    def release(self, byte_count: int) -> None:
        """Release the memory of a request."""
        self._budget.release_request(byte_count)

    @abstractmethod
    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a request that does not fit."""


class HeldMemory:
    """What one connection has reserved, for itself and for its request.

    Parameters
    ----------
    memory : RequestMemory or None
        Memory that all connections share; None if it is not limited.
    connection_bytes : int
        Bytes that the connection itself takes.
    make_room : callable
        Takes memory from another connection; returns whether there was one.
    """

    __slots__ = (
        "_connection_bytes",
        "_is_connection_reserved",
        "_make_room",
        "_memory",
        "_request_bytes",
    )

    def __init__(
        self,
        memory: RequestMemory | None,
        connection_bytes: int,
        make_room: Callable[[], bool],
    ) -> None:
        self._memory = memory
        self._connection_bytes = connection_bytes
        self._make_room = make_room
        self._is_connection_reserved = False
        self._request_bytes = 0

    def reserve_connection(self) -> bool:
        """Reserve memory for the connection, from other ones if needed."""
        if self._memory is None:
            return True
        while not self._memory.reserve_connection(self._connection_bytes):
            if not self._make_room():
                return False
        self._is_connection_reserved = True
        return True

    def reserve_request(self, byte_count: int) -> bool:
        """Reserve memory for a request of `byte_count` bytes in all.

        It is taken from other connections if needed, but not in vain.
        """
        missing_bytes = byte_count - self._request_bytes
        if self._memory is None or missing_bytes <= 0:
            return True
        if not self._memory.may_fit(byte_count):
            return False
        while not self._memory.reserve(missing_bytes, self._request_bytes):
            if not self._make_room():
                return False
        self._request_bytes = byte_count
        return True

    def release_request(self) -> None:
        """Release the memory of the request."""
        if self._memory is not None and self._request_bytes:
            self._memory.release(self._request_bytes)
        self._request_bytes = 0

    def release_all(self) -> None:
        """Release the memory of the request and of the connection."""
        self.release_request()
        if self._memory is not None and self._is_connection_reserved:
            self._memory.release_connection(self._connection_bytes)
            self._is_connection_reserved = False
