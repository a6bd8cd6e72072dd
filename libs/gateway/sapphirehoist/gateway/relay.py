"""Passes a stream's whole events on, across the endpoints that produce it."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.http1 import Exchange, ResponseHead

_EVENT_END = b"\n\n"


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

    __slots__ = ("_event_id", "_exchange", "_partial", "events", "last_event")

    def __init__(
        self, exchange: Exchange, event_id: Callable[[bytes], str], last_event: str
    ) -> None:
        self._exchange = exchange
        self._event_id = event_id
        self._partial = b""
        self.last_event = last_event
        self.events = 0

    @property
    def is_begun(self) -> bool:
        """Return whether the caller has a part of the answer."""
        return self._exchange.is_begun

    @property
    def has_partial(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._partial)

    def forget_partial(self) -> None:
        """Drop the part of an event whose endpoint broke off."""
        self._partial = b""

    def pass_on(self, head: ResponseHead, block: bytes) -> int:
        """Take bytes from an endpoint; return the number of events passed on."""
        data = self._partial + block
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._partial = data
            return 0
        whole, self._partial = data[:end], data[end:]
        events = whole.count(_EVENT_END)
        last = whole[:-2].rfind(_EVENT_END)
        newest = whole[last + len(_EVENT_END) :] if last >= 0 else whole
        self.last_event = self._event_id(newest) or self.last_event
        self.events += events
        if self._exchange.is_begun:
            self._exchange.send(whole)
        else:
            self._exchange.begin(head, None, whole)
        return events

    def finish(self, head: ResponseHead) -> None:
        """Say that the stream is complete."""
        if not self._exchange.is_begun:
            self._exchange.begin(head, None)
        self._exchange.finish()
