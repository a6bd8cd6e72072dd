"""A bounded ring of typed events, stamped so that processes can be merged."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from sapphirehoist.clock import HybridClock, Timestamp

_MAX_EVENTS = 4096


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change of state in one process.

    Attributes
    ----------
    at : Timestamp
        Hybrid logical timestamp.
    vm : str
        VM that the event happened on.
    kind : str
        What changed, such as ``config_in_force``.
    subject : str
        What it changed for: a request, a member, an endpoint.
    detail : str
        Further facts for a reader.
    """

    at: Timestamp
    vm: str
    kind: str
    subject: str = ""
    detail: str = ""


class Timeline:
    """The last events of one process.

    Parameters
    ----------
    vm : str
        Name of this VM.
    hybrid : HybridClock
        Clock whose timestamps travel in peer messages.
    """

    __slots__ = ("_events", "_hybrid_clock", "_vm")

    def __init__(self, vm: str, hybrid_clock: HybridClock) -> None:
        self._vm = vm
        self._hybrid_clock = hybrid_clock
        self._events: deque[Event] = deque(maxlen=_MAX_EVENTS)

    def record(self, kind: str, subject: str = "", detail: str = "") -> None:
        """Append an event; the oldest one is dropped when the ring is full."""
        self._events.append(
            Event(self._hybrid_clock.tick(), self._vm, kind, subject, detail)
        )

    def events(self) -> list[Event]:
        """Return the events that are held, oldest first."""
        return list(self._events)


def merge_events(timelines: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge events of many processes into one causal order."""
    merged = [event for events in timelines for event in events]
    merged.sort(key=lambda event: (event.at, event.vm))
    return merged
