"""HTTP for callers and operators."""

from __future__ import annotations

from sapphirehoist.entry.callers import CallerApi
from sapphirehoist.entry.directory import EntryAnswer, EntryDirectory
from sapphirehoist.entry.gate import Gate
from sapphirehoist.entry.operators import OperatorApi, OperatorParts
from sapphirehoist.entry.server import HttpServer

__all__ = [
    "CallerApi",
    "EntryAnswer",
    "EntryDirectory",
    "Gate",
    "HttpServer",
    "OperatorApi",
    "OperatorParts",
]
