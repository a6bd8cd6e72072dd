"""Directory of endpoints, and a follower of the platform's tables."""

from __future__ import annotations

from sapphirehoist.discovery.cold_times import ColdTimes
from sapphirehoist.discovery.directory import Departure, EndpointDirectory
from sapphirehoist.discovery.follower import TableFollower
from sapphirehoist.discovery.read_sharing import ReadAlone, ReadSharing, SharedRead
from sapphirehoist.discovery.records import EndpointPhase, EndpointRecord
from sapphirehoist.discovery.row_changes import RowChanges
from sapphirehoist.discovery.table import (
    HistoryExpired,
    ReadFailed,
    ReadOutcome,
    TableListener,
    TableRow,
    TableRows,
    TableSource,
)

__all__ = [
    "ColdTimes",
    "Departure",
    "EndpointDirectory",
    "EndpointPhase",
    "EndpointRecord",
    "HistoryExpired",
    "ReadAlone",
    "ReadFailed",
    "ReadOutcome",
    "ReadSharing",
    "RowChanges",
    "SharedRead",
    "TableFollower",
    "TableListener",
    "TableRow",
    "TableRows",
    "TableSource",
]
