"""Forwards the complete events of a stream that may continue at another endpoint."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.http1 import Exchange, ResponseHead

_EVENT_SEPARATOR = b"\n\n"
_COMMENT_START = b":"
# Longer than any event; bytes without an event separator may come without end.
_MAX_PARTIAL_BYTES = 2**20


class EventRelay:
    """Forwards the events of one stream to its caller.

    Only complete events are forwarded, so that the stream can be resumed at another
    endpoint after the last one.

    Parameters
    ----------
    exchange : Exchange
        Sends the response to the caller.
    decode_event_id : callable
        Returns the id of an event; empty where it has none.
    last_event_id : str
        Id of the last event that the caller has already received; empty for none.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that was forwarded, or that the caller had received before
        this request.
    event_count : int
        Number of events that were forwarded.
    """

    __slots__ = (
        "_decode_event_id",
        "_discarded_bytes",
        "_exchange",
        "_partial",
        "event_count",
        "last_event_id",
    )

    def __init__(
        self,
        exchange: Exchange,
        decode_event_id: Callable[[bytes], str],
        last_event_id: str,
    ) -> None:
        self._exchange = exchange
        self._decode_event_id = decode_event_id
        self._partial = b""
        self.last_event_id = last_event_id
        self.event_count = 0
        self._discarded_bytes = 0

    @property
    def is_started(self) -> bool:
        """Return whether the response to the caller has started."""
        return self._exchange.has_begun

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def unforwarded_bytes(self) -> int:
        """Return the number of bytes that were received and not forwarded."""
        return self._discarded_bytes + len(self._partial)

    @property
    def has_oversized_partial(self) -> bool:
        """Return whether the incomplete event is too long to be one."""
        return len(self._partial) > _MAX_PARTIAL_BYTES

    def discard_partial(self) -> None:
        """Discard the buffered part of an event whose endpoint failed."""
        self._discarded_bytes += len(self._partial)
        self._partial = b""

    def forward(self, head: ResponseHead, chunk: bytes) -> int:
        """Forward the events that `chunk` completes and return their number.

        Comments are forwarded too, but are not counted as events.

        Parameters
        ----------
        head : ResponseHead
            Head of the response; sent with the first event.
        chunk : bytes
            Bytes of the stream from an endpoint.
        """
        data = self._partial + chunk
        completed_end = data.rfind(_EVENT_SEPARATOR) + len(_EVENT_SEPARATOR)
        if completed_end < len(_EVENT_SEPARATOR):
            self._partial = data
            return 0
        whole_events, self._partial = data[:completed_end], data[completed_end:]
        completed_count = sum(
            not block.startswith(_COMMENT_START)
            for block in whole_events.split(_EVENT_SEPARATOR)[:-1]
        )
        previous_separator = whole_events[:-2].rfind(_EVENT_SEPARATOR)
        last_event = (
            whole_events[previous_separator + len(_EVENT_SEPARATOR) :]
            if previous_separator >= 0
            else whole_events
        )
        self.last_event_id = self._decode_event_id(last_event) or self.last_event_id
        self.event_count += completed_count
        if self._exchange.has_begun:
            self._exchange.send(whole_events)
        else:
            self._exchange.begin(head, None, whole_events)
        return completed_count

    def finish(self, head: ResponseHead) -> None:
        """Complete the response; send its head first if no event was forwarded."""
        if not self._exchange.has_begun:
            self._exchange.begin(head, None)
        self._exchange.finish()
