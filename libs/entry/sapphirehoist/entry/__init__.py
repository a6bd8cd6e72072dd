"""HTTP interfaces for callers and operators."""

from __future__ import annotations

from sapphirehoist.entry.caller_api import CallerApi
from sapphirehoist.entry.entry_directory import EntriesResponse, EntryDirectory
from sapphirehoist.entry.operator_api import OperatorApi, OperatorDependencies
from sapphirehoist.entry.request_gate import RequestGate
from sapphirehoist.entry.server import HttpServer

__all__ = [
    "CallerApi",
    "EntriesResponse",
    "EntryDirectory",
    "HttpServer",
    "OperatorApi",
    "OperatorDependencies",
    "RequestGate",
]
