"""Counters, latency histograms, timelines of events and logging set-up."""

from __future__ import annotations

from sapphirehoist.observability.log_handler import (
    BoundedLogHandler,
    configure_bounded_logging,
)
from sapphirehoist.observability.logs import configure_logging
from sapphirehoist.observability.metrics import Metrics
from sapphirehoist.observability.timeline import Timeline, TimelineEvent, merge_events

__all__ = [
    "BoundedLogHandler",
    "Metrics",
    "Timeline",
    "TimelineEvent",
    "configure_bounded_logging",
    "configure_logging",
    "merge_events",
]
