"""Decides what may be forwarded as one event stream that several answers make up.

It is designed for streams that break off and go on at another endpoint or connection.
An endpoint may answer the request to go on with an error text, with nothing, or with a
stream that begins elsewhere; joined to what the caller has, each of these is a wrong
stream that looks right. What cannot be verified is not joined.
"""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.decisions.event_stream import (
    EventBlock,
    EventSplitter,
    is_event_stream,
)

# Bounds the cost of a comparison; ids of 64 bits have up to 20 digits.
_MAX_ID_DIGITS = 40
# So many ids, each one more than the one before, show that ids count events.
_MIN_CONSECUTIVE_IDS = 2
# Comments of an answer whose first event has not arrived.
_MAX_HELD_BYTES = 2**20
_MAX_LOGGED_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class AdmittedEvents:
    """Bytes of an answer that belong to the stream.

    Attributes
    ----------
    data : bytes
        Whole blocks, to be forwarded unchanged.
    event_count : int
        Number of events in `data`.
    refusal : str
        Why the bytes behind `data` do not belong to the stream; empty if all do. The
        answer must not be read on then.
    """

    data: bytes = b""
    event_count: int = 0
    refusal: str = ""


class StreamContinuity:
    """Follows one stream over all answers that make it up.

    The first answer is forwarded as it is, unless the caller already has a part of the
    stream. Every later one has to be an event stream with at least one event, whose ids
    are numbers that increase and follow the last one that was forwarded.

    Parameters
    ----------
    last_event_id : str
        Id of the last event that the caller has received before; empty for none.
    final_event : str, optional
        Name of the event that ends a stream and needs no id.
    are_ids_offsets : bool, optional
        Whether ids are offsets in a text, so that they may jump, and stay where they
        are within an answer. By default, a continuation may not leave out ids where all
        before were consecutive.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that the caller has, here or before; empty for none.
    event_count : int
        Number of admitted events, without the final one.
    has_ended : bool
        Whether the final event was admitted.
    """

    __slots__ = (
        "_answer_event_count",
        "_are_ids_offsets",
        "_consecutive_id_count",
        "_final_event",
        "_has_admitted_bytes",
        "_held",
        "_has_known_order",
        "_is_continuation",
        "_is_event_stream",
        "_is_last_event_identified",
        "_splitter",
        "event_count",
        "has_ended",
        "last_event_id",
    )

    def __init__(
        self, last_event_id: str, final_event: str = "", are_ids_offsets: bool = False
    ) -> None:
        self._final_event = final_event.encode()
        self._are_ids_offsets = are_ids_offsets
        self._splitter = EventSplitter()
        self._held = b""
        self._answer_event_count = 0
        self._has_admitted_bytes = False
        self._is_continuation = bool(last_event_id)
        self._is_event_stream = True
        # Whether the ids so far were rising numbers, of nothing but events.
        self._has_known_order = not last_event_id or parse_event_id(last_event_id) >= 0
        self._is_last_event_identified = True
        # -1 once an id was not one more than the one before.
        self._consecutive_id_count = 0
        self.event_count = 0
        self.has_ended = False
        self.last_event_id = last_event_id

    @property
    def may_go_on(self) -> bool:
        """Return whether another answer can be verified to continue the stream.

        It cannot behind an event without an id or a text, or where ids are no rising
        numbers.
        """
        return self._has_known_order and self._is_last_event_identified

    def begin_answer(self, content_type: str) -> str:
        """Begin to read another answer and discard what is left of the last one.

        Parameters
        ----------
        content_type : str
            Content-Type of the answer; empty if it states none.

        Returns
        -------
        str
            Why the answer cannot continue the stream; empty if it may.
        """
        self.discard_unadmitted()
        self._answer_event_count = 0
        self._is_continuation = bool(self.last_event_id) or self._has_admitted_bytes
        self._is_event_stream = not content_type or is_event_stream(content_type)
        if not self._is_continuation:
            return ""
        if not self.may_go_on:
            return "the stream has no known position"
        if not self._is_event_stream:
            return f"not an event stream but {content_type[:_MAX_LOGGED_CHARACTERS]}"
        return ""

    def admit(self, chunk: bytes) -> AdmittedEvents:
        """Return the whole blocks that `chunk` completes and that may be forwarded."""
        admitted, event_count = bytearray(), 0
        for block in self._splitter.feed(chunk):
            refusal = self._check(block) if self._is_continuation else ""
            if refusal:
                return AdmittedEvents(bytes(admitted), event_count, refusal)
            if block.is_event or self._is_final(block):
                event_count += 1
                self._answer_event_count += 1
                self._record_event(block)
            elif self._is_continuation and not self._answer_event_count:
                # Nothing of an answer is forwarded before its first event is verified.
                self._held += block.data
                continue
            self._has_known_order &= self._is_event_stream and not block.has_text
            admitted += self._held + block.data
            self._held = b""
            self._has_admitted_bytes = True
            if self.has_ended:
                break
        is_endless = self._splitter.is_oversized or len(self._held) > _MAX_HELD_BYTES
        refusal = "an event without end" if is_endless else ""
        return AdmittedEvents(bytes(admitted), event_count, refusal)

    def end_answer(self) -> AdmittedEvents:
        """Return the rest of an answer that has ended, or why it is not whole."""
        if self._splitter.is_within_block:
            return AdmittedEvents(refusal="the stream ended in the middle of an event")
        if self._is_continuation and not self._answer_event_count:
            return AdmittedEvents(refusal="no event follows the last one")
        rest = self._splitter.partial
        self.discard_unadmitted()
        return AdmittedEvents(rest)

    def discard_unadmitted(self) -> None:
        """Discard what was read of the present answer and not admitted."""
        self._splitter = EventSplitter()
        self._held = b""

    def _check(self, block: EventBlock) -> str:
        """Return why `block` cannot continue the stream; empty if it does."""
        if block.has_text:
            return "text that is no event"
        if not block.is_event or self._is_final(block):
            return ""
        if not block.ids:
            return "an event without an id"
        previous = parse_event_id(self.last_event_id)
        is_first = not self._answer_event_count
        # Offsets stay where they are at an event without text.
        may_repeat = self._are_ids_offsets and not is_first
        are_ids_counts = self._consecutive_id_count >= _MIN_CONSECUTIVE_IDS
        for event_id in block.ids:
            number = parse_event_id(event_id)
            is_gap = is_first and are_ids_counts and number > previous + 1
            is_behind = number < previous or (number == previous and not may_repeat)
            if number < 0 or is_behind or (is_gap and not self._are_ids_offsets):
                text = event_id[:_MAX_LOGGED_CHARACTERS]
                return f"event {text!r} after {self.last_event_id!r}"
            previous, is_first = number, False
        return ""

    def _is_final(self, block: EventBlock) -> bool:
        return bool(self._final_event) and block.name == self._final_event

    def _record_event(self, block: EventBlock) -> None:
        """Record the position of the stream behind an admitted event."""
        if self._is_final(block):
            self.has_ended = True
            return
        self.event_count += 1
        self._is_last_event_identified = bool(block.ids)
        for event_id in block.ids:
            number = parse_event_id(event_id)
            previous = parse_event_id(self.last_event_id)
            is_repeated = self._are_ids_offsets and number == previous >= 0
            self._has_known_order &= number > previous or is_repeated
            if number != previous + 1 and self.last_event_id:
                self._consecutive_id_count = -1
            elif self._consecutive_id_count >= 0 and self.last_event_id:
                self._consecutive_id_count += 1
            self.last_event_id = event_id


def parse_event_id(text: str) -> int:
    """Return the number that an event id states; -1 for another text.

    Examples
    --------
    >>> parse_event_id("12"), parse_event_id("next")
    (12, -1)
    """
    is_number = text.isascii() and text.isdecimal() and len(text) <= _MAX_ID_DIGITS
    return int(text) if is_number else -1
