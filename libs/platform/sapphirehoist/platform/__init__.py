"""The platform's table service, object store and VM list."""

from __future__ import annotations

from sapphirehoist.platform.http import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
)
from sapphirehoist.platform.interface import (
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
from sapphirehoist.platform.memory import MemoryObjectStore, MemoryTableService

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
    "TableService",
    "TransactOutcome",
    "Unavailable",
    "Undecided",
    "VmList",
    "VmState",
    "VmStates",
    "Write",
]
