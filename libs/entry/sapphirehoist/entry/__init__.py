"""HTTP interfaces for callers and operators."""

from __future__ import annotations

from sapphirehoist.entry.caller_api import CallerApi
from sapphirehoist.entry.entry_directory import EntriesResponse, EntryDirectory
from sapphirehoist.entry.operator_api import (
    OPERATOR_BODY_BYTES,
    OperatorApi,
    OperatorDependencies,
)
from sapphirehoist.entry.request_gate import RequestGate
from sapphirehoist.entry.request_memory import EntryRequestMemory
from sapphirehoist.entry.server import HttpServer

__all__ = [
    "OPERATOR_BODY_BYTES",
    "CallerApi",
    "EntriesResponse",
    "EntryDirectory",
    "EntryRequestMemory",
    "HttpServer",
    "OperatorApi",
    "OperatorDependencies",
    "RequestGate",
]
