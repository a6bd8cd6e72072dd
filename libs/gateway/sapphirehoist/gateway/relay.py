"""Passes a stream's whole events on, across the endpoints that produce it."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.http1 import Exchange, ResponseHead

_EVENT_SEPARATOR = b"\n\n"


class EventRelay:
    """One caller's stream.

    Only whole events reach the caller, so that a stream can go on at another endpoint
    after its last one.

    Parameters
    ----------
    exchange : Exchange
        Answers the caller.
    event_id : callable
        Returns the id of an event.
    last_event : str
        Id of the last event that the caller has already.
    """

    __slots__ = (
        "_read_event_id",
        "_exchange",
        "_partial",
        "event_count",
        "last_event_id",
    )

    def __init__(
        self,
        exchange: Exchange,
        read_event_id: Callable[[bytes], str],
        last_event_id: str,
    ) -> None:
        self._exchange = exchange
        self._read_event_id = read_event_id
        self._partial = b""
        self.last_event_id = last_event_id
        self.event_count = 0

    @property
    def is_started(self) -> bool:
        """Return whether the caller has a part of the answer."""
        return self._exchange.is_begun

    @property
    def has_partial(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._partial)

    def discard_partial(self) -> None:
        """Drop the part of an event whose endpoint broke off."""
        self._partial = b""

    def forward(self, head: ResponseHead, chunk: bytes) -> int:
        """Take bytes from an endpoint; return the number of events passed on."""
        data = self._partial + chunk
        end = data.rfind(_EVENT_SEPARATOR) + len(_EVENT_SEPARATOR)
        if end < len(_EVENT_SEPARATOR):
            self._partial = data
            return 0
        whole_events, self._partial = data[:end], data[end:]
        events = whole_events.count(_EVENT_SEPARATOR)
        previous_end = whole_events[:-2].rfind(_EVENT_SEPARATOR)
        newest_event = (
            whole_events[previous_end + len(_EVENT_SEPARATOR) :]
            if previous_end >= 0
            else whole_events
        )
        self.last_event_id = self._read_event_id(newest_event) or self.last_event_id
        self.event_count += events
        if self._exchange.is_begun:
            self._exchange.send(whole_events)
        else:
            self._exchange.begin(head, None, whole_events)
        return events

    def finish(self, head: ResponseHead) -> None:
        """Say that the stream is complete."""
        if not self._exchange.is_begun:
            self._exchange.begin(head, None)
        self._exchange.finish()
