"""Interfaces to the platform's table service, object store and VM list."""

from __future__ import annotations

from sapphirehoist.storage.era import StoreEra
from sapphirehoist.storage.http import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
)
from sapphirehoist.storage.interface import (
    Committed,
    Condition,
    Conflict,
    ObjectStore,
    Row,
    Rows,
    TableService,
    TransactOutcome,
    Unavailable,
    Undecided,
    VmList,
    VmState,
    VmStates,
    Write,
)
from sapphirehoist.storage.memory import MemoryObjectStore, MemoryTableService

__all__ = [
    "Committed",
    "Condition",
    "Conflict",
    "HttpObjectStore",
    "HttpTableService",
    "HttpVmList",
    "MemoryObjectStore",
    "MemoryTableService",
    "ObjectStore",
    "Row",
    "Rows",
    "StoreEra",
    "TableService",
    "TransactOutcome",
    "Unavailable",
    "Undecided",
    "VmList",
    "VmState",
    "VmStates",
    "Write",
]
