"""Sharing of reads among nodes, so that not every node has to read the store.

It is designed for fleets of hundreds of nodes that follow the same tables: calls of the
store cost money, and each node would read the same changes.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sapphirehoist.discovery.table import TableRow


@dataclass(frozen=True, slots=True)
class SharedRead:
    """What one read of a table has changed, for nodes that do not read themselves.

    Attributes
    ----------
    era, base_revision, revision : int
        The rows hold all changes after `base_revision` up to `revision` in `era`.
    rows : tuple of TableRow
        Changed rows, without those whose change is of no use to other nodes.
    is_after_outage : bool
        As for `TableListener`.
    duration_s : float
        Time since the call began that the store has answered.
    """

    era: int
    base_revision: int
    revision: int
    rows: tuple[TableRow, ...]
    is_after_outage: bool
    duration_s: float


class ReadSharing(ABC):
    """Decides which node reads a table, and passes reads on to other nodes."""

    @abstractmethod
    def is_reader(self) -> bool:
        """Return whether this node reads the table for others."""

    @abstractmethod
    def has_other_nodes(self) -> bool:
        """Return whether other nodes share their reads with this one."""

    @abstractmethod
    def publish(self, read: SharedRead) -> None:
        """Pass a successful read on to the other nodes."""

    @abstractmethod
    def report_failure(self) -> None:
        """Record that this node cannot read the table now."""


class ReadAlone(ReadSharing):
    """Baseline: every node reads the table itself."""

    __slots__ = ()

    def is_reader(self) -> bool:
        """Return False: no other node relies on the reads of this one."""
        return False

    def has_other_nodes(self) -> bool:
        """Return False."""
        return False

    def publish(self, read: SharedRead) -> None:
        """Do nothing."""

    def report_failure(self) -> None:
        """Do nothing."""
