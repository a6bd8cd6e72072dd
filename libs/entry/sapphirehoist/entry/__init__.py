"""HTTP interfaces for callers and operators."""

from __future__ import annotations

from sapphirehoist.entry.callers import CallerApi
from sapphirehoist.entry.directory import EntriesResponse, EntryDirectory
from sapphirehoist.entry.gate import RequestGate
from sapphirehoist.entry.operators import OperatorApi, OperatorDependencies
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
