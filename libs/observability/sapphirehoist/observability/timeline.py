"""Typed events with timestamps that order them across processes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from sapphirehoist.clock import HybridClock, Timestamp

_MAX_EVENTS = 4096


class TimelineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One state change in one process.

    Attributes
    ----------
    at : Timestamp
        Hybrid logical timestamp.
    vm : str
        VM of the process.
    kind : str
        Type of the event, such as ``config_in_force``.
    subject : str
        Request, member, endpoint or other object that the event is about.
    detail : str
        Description for a human reader.
    """

    at: Timestamp
    vm: str
    kind: str
    subject: str = ""
    detail: str = ""


class Timeline:
    """Ring buffer of the latest events of one process.

    Parameters
    ----------
    vm : str
        Name of this VM.
    hybrid_clock : HybridClock
        Clock that observes the timestamps of peer messages.
    """

    __slots__ = ("_events", "_hybrid_clock", "_vm")

    def __init__(self, vm: str, hybrid_clock: HybridClock) -> None:
        self._vm = vm
        self._hybrid_clock = hybrid_clock
        self._events: deque[TimelineEvent] = deque(maxlen=_MAX_EVENTS)

    def record(self, kind: str, subject: str = "", detail: str = "") -> None:
        """Append an event; a full buffer discards its oldest event."""
        self._events.append(
            TimelineEvent(self._hybrid_clock.tick(), self._vm, kind, subject, detail)
        )

    def events(self) -> list[TimelineEvent]:
        """Return the buffered events, oldest first."""
        return list(self._events)


def merge_events(timelines: Iterable[Iterable[TimelineEvent]]) -> list[TimelineEvent]:
    """Merge the events of several processes in causal order."""
    merged = [event for events in timelines for event in events]
    merged.sort(key=lambda event: (event.at, event.vm))
    return merged
