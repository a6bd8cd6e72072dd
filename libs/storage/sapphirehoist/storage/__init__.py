"""Interfaces to the platform's table service, object store and VM list."""

from __future__ import annotations

from sapphirehoist.storage.era import (
    StoreEra,
    compose_revision,
    revision_era,
    revision_version,
)
from sapphirehoist.storage.http import (
    ERA_HEADER,
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
from sapphirehoist.storage.restore_guard import RestoreGuard

__all__ = [
    "ERA_HEADER",
    "Committed",
    "Condition",
    "Conflict",
    "HttpObjectStore",
    "HttpTableService",
    "HttpVmList",
    "MemoryObjectStore",
    "MemoryTableService",
    "ObjectStore",
    "RestoreGuard",
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
    "compose_revision",
    "revision_era",
    "revision_version",
]
