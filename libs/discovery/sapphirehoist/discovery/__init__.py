"""Directory of endpoints, and a follower of the platform's tables."""

from __future__ import annotations

from sapphirehoist.discovery.directory import Departure, EndpointDirectory
from sapphirehoist.discovery.follower import (
    HistoryExpired,
    ReadFailed,
    ReadOutcome,
    TableFollower,
    TableListener,
    TableRow,
    TableRows,
    TableSource,
)
from sapphirehoist.discovery.records import EndpointPhase, EndpointRecord

__all__ = [
    "Departure",
    "EndpointDirectory",
    "EndpointPhase",
    "EndpointRecord",
    "HistoryExpired",
    "ReadFailed",
    "ReadOutcome",
    "TableFollower",
    "TableListener",
    "TableRow",
    "TableRows",
    "TableSource",
]
