"""Forwards the complete events of a stream that may continue at another endpoint."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.decisions import AdmittedEvents, StreamContinuity
from sapphirehoist.http1 import Exchange, ResponseHead

# A block of 64 KB may hold thousands of events, each of which is parsed.
_PART_BYTES = 2_048


class EventRelay:
    """Forwards the events of one stream to its caller.

    Only complete events are forwarded, so that the stream can be resumed at another
    endpoint after the last one, and only those that `StreamContinuity` admits.

    Parameters
    ----------
    exchange : Exchange
        Sends the response to the caller.
    last_event_id : str
        Id of the last event that the caller has already received; empty for none.
    """

    __slots__ = ("_continuity", "_exchange", "_received_bytes", "_sent_bytes")

    def __init__(self, exchange: Exchange, last_event_id: str) -> None:
        self._exchange = exchange
        self._continuity = StreamContinuity(last_event_id)
        self._received_bytes = 0
        self._sent_bytes = 0

    @property
    def is_started(self) -> bool:
        """Return whether the response to the caller has started."""
        return self._exchange.has_begun

    @property
    def may_go_on(self) -> bool:
        """Return whether another endpoint may continue the stream."""
        return self._continuity.may_go_on

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that the caller has; empty for none."""
        return self._continuity.last_event_id

    @property
    def event_count(self) -> int:
        """Return the number of events that were forwarded."""
        return self._continuity.event_count

    @property
    def unforwarded_bytes(self) -> int:
        """Return the number of bytes that were received and not forwarded."""
        return self._received_bytes - self._sent_bytes

    def begin_answer(self, head: ResponseHead) -> str:
        """Begin to read an endpoint's answer.

        Parameters
        ----------
        head : ResponseHead
            Head of the answer as the endpoint sent it.

        Returns
        -------
        str
            Why the answer cannot continue the stream; empty if it may.
        """
        return self._continuity.begin_answer(head.headers.get("content-type"))

    def forward(
        self, head: ResponseHead, chunk: bytes, take_turn: Callable[[], None]
    ) -> AdmittedEvents:
        """Forward the events that `chunk` completes, if they continue the stream.

        Comments are forwarded too, but are not counted as events.

        Parameters
        ----------
        head : ResponseHead
            Head of the response; sent with the first event.
        chunk : bytes
            Bytes of the stream from an endpoint.
        take_turn : callable
            Lets other tasks run; called between parts of a chunk.
        """
        self._received_bytes += len(chunk)
        data, event_count, refusal = bytearray(), 0, ""
        for start in range(0, len(chunk), _PART_BYTES):
            if start:
                take_turn()
            part = self._continuity.admit(chunk[start : start + _PART_BYTES])
            data += part.data
            event_count += part.event_count
            refusal = part.refusal
            if refusal:
                break
        # The caller gets as many blocks as the endpoint has sent.
        self._send(head, bytes(data))
        return AdmittedEvents(bytes(data), event_count, refusal)

    def end_answer(self, head: ResponseHead) -> str:
        """Forward the rest of an answer; return why it is not whole, if it is not."""
        rest = self._continuity.end_answer()
        self._send(head, rest.data)
        return rest.refusal

    def finish(self, head: ResponseHead) -> None:
        """Complete the response; send its head first if no event was forwarded."""
        if not self._exchange.has_begun:
            self._exchange.begin(head, None)
        self._exchange.finish()

    def _send(self, head: ResponseHead, data: bytes) -> None:
        if not data:
            return
        self._sent_bytes += len(data)
        if self._exchange.has_begun:
            self._exchange.send(data)
        else:
            self._exchange.begin(head, None, data)
