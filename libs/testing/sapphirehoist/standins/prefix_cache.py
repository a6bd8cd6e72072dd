"""Prompt prefix cache of an engine, with delayed and incomplete change events."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import sha256

import gevent
import msgspec

_PREFIX_BYTES = 256


class CacheEvent(msgspec.Struct, frozen=True):
    """Insertion or eviction of a prefix; a gap in `number` is a lost event."""

    number: int
    kind: str
    prefix: str


class PrefixCache:
    """LRU cache of prompt prefixes.

    Parameters
    ----------
    capacity : int
        Maximum number of prefixes.

    Attributes
    ----------
    publish_delay_s : float
        Delay until an event is published, in seconds.
    lost_event_interval : int
        Every n-th event is never published; 0 publishes all events.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._published: list[CacheEvent] = []
        self._last_number = 0
        self.publish_delay_s = 0.0
        self.lost_event_interval = 0

    def access(self, body: bytes) -> bool:
        """Insert or refresh the prefix of `body`; return whether it was cached."""
        prefix = sha256(body[:_PREFIX_BYTES]).hexdigest()[:16]
        is_hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not is_hit:
            self._publish("stored", prefix)
        if len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish("evicted", evicted)
        return is_hit

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the published events with a number greater than `number`."""
        return [event for event in self._published if event.number > number]

    def _publish(self, kind: str, prefix: str) -> None:
        self._last_number += 1
        if (
            self.lost_event_interval
            and self._last_number % self.lost_event_interval == 0
        ):
            return
        event = CacheEvent(self._last_number, kind, prefix)
        if self.publish_delay_s:
            gevent.spawn_later(self.publish_delay_s, self._published.append, event)
        else:
            self._published.append(event)
