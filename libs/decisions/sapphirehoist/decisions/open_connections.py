"""Choice of the connection to close when a listener has no place or memory left.

It responds to crowds of clients that open connections and then send nothing, stop in
the middle of a request, or read no response. Callers that behave hold a connection
without progress for a moment only, so the one that has waited longest in its phase
gives way to a new one. A request that is being answered never does.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Hashable
from enum import Enum


class ConnectionPhase(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    ANSWERING = "answering"
    DELIVERING = "delivering"


# Callers that behave have usually made progress within this time, so that those which
# compete for places or memory do not interrupt each other again and again.
_MIN_WAIT_S = 1.0
# Phases in which a connection waits for its caller, by what closing it costs: nothing,
# a retry, and a response.
_WAITING_PHASES = (
    ConnectionPhase.IDLE,
    ConnectionPhase.RECEIVING,
    ConnectionPhase.DELIVERING,
)


class OpenConnections(ABC):
    """Connections of one listener by phase, each in the order of entering it.

    Parameters
    ----------
    max_count : int
        Largest number of open connections.
    """

    __slots__ = ("_entered_at", "_phases", "max_count")

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._phases: dict[Hashable, ConnectionPhase] = {}
        self._entered_at: dict[ConnectionPhase, dict[Hashable, float]] = {
            phase: {} for phase in ConnectionPhase
        }

    def __len__(self) -> int:
        return len(self._phases)

    @property
    def is_full(self) -> bool:
        """Return whether a further connection needs the place of another one."""
        return len(self._phases) >= self.max_count

    def enter(self, conn: Hashable, phase: ConnectionPhase, now: float) -> None:
        """Record that a connection, which may be new, enters `phase`."""
        previous = self._phases.get(conn)
        if previous is not None:
            del self._entered_at[previous][conn]
        self._phases[conn] = phase
        self._entered_at[phase][conn] = now

    def remove(self, conn: Hashable) -> None:
        """Forget a connection, if it is known."""
        phase = self._phases.pop(conn, None)
        if phase is not None:
            del self._entered_at[phase][conn]

    def may_give_way(self, conn: Hashable) -> bool:
        """Return whether a connection is not being answered."""
        return self._phases.get(conn) is not ConnectionPhase.ANSWERING

    @abstractmethod
    def choose_for_place(self, now: float) -> Hashable | None:
        """Return the connection to close for a new one; None to refuse the new one."""

    @abstractmethod
    def choose_for_memory(self, claimant: Hashable, now: float) -> Hashable | None:
        """Return the connection to close for memory; None to refuse `claimant`."""


class LongestWaitingGivesWay(OpenConnections):
    """Closes what has waited longest for its caller, if possible an idle connection.

    Examples
    --------
    >>> connections = LongestWaitingGivesWay(2)
    >>> connections.enter("a", ConnectionPhase.IDLE, 0.0)
    >>> connections.enter("b", ConnectionPhase.RECEIVING, 1.0)
    >>> connections.is_full, connections.choose_for_place(1.5)
    (True, 'a')
    >>> connections.remove("a")
    >>> connections.choose_for_memory("c", 1.5), connections.choose_for_memory("c", 3.0)
    (None, 'b')
    """

    __slots__ = ()

    def choose_for_place(self, now: float) -> Hashable | None:
        """Return the longest waiting connection.

        Once connections have waited for a moment, idle ones come first, and unread
        responses last.
        """
        longest = [
            (entered_at, conn)
            for phase in _WAITING_PHASES
            for entered_at, conn in self._first(phase)
        ]
        for entered_at, conn in longest:
            if now - entered_at >= _MIN_WAIT_S:
                return conn
        return min(longest, key=lambda item: item[0])[1] if longest else None

    def choose_for_memory(self, claimant: Hashable, now: float) -> Hashable | None:
        """Return the longest idle connection, or else the oldest unfinished request.

        Neither is chosen before it has waited for a moment.
        """
        for phase in (ConnectionPhase.IDLE, ConnectionPhase.RECEIVING):
            for conn, entered_at in self._entered_at[phase].items():
                if now - entered_at < _MIN_WAIT_S:
                    break
                if conn != claimant:
                    return conn
        return None

    def _first(self, phase: ConnectionPhase) -> list[tuple[float, Hashable]]:
        """Return the connection that entered `phase` first, if there is one."""
        for conn, entered_at in self._entered_at[phase].items():
            return [(entered_at, conn)]
        return []


class NewestIsRefused(OpenConnections):
    """Baseline that closes no connection for another one."""

    __slots__ = ()

    def choose_for_place(self, now: float) -> Hashable | None:
        """Return None."""
        return None

    def choose_for_memory(self, claimant: Hashable, now: float) -> Hashable | None:
        """Return None."""
        return None
