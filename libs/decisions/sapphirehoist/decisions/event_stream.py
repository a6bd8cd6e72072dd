"""Splits the bytes of an event stream into blocks, without changing them.

The format is that of server-sent events (HTML standard, section 9.2): lines end with
LF, CR LF or CR, and an empty line ends a block.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_BLOCK_END = re.compile(_LINE_END + _LINE_END)
_LINE = re.compile(rb"[^\r\n]+")
# Such a line states a number beside an event, for example the version of its weights.
_NUMBER_LINE = re.compile(rb"[a-z][a-z0-9-]*: ?[0-9]+")
_BLANK_BYTES = b"\r\n"
_MEDIA_TYPE = "text/event-stream"
# Longer than any event; bytes without an empty line may come without end.
_MAX_PARTIAL_BYTES = 2**20


def is_event_stream(content_type: str) -> bool:
    """Return whether a Content-Type is that of an event stream.

    Examples
    --------
    >>> is_event_stream("Text/Event-Stream; charset=utf-8")
    True
    >>> is_event_stream("text/plain")
    False
    """
    return content_type.partition(";")[0].strip().lower() == _MEDIA_TYPE


@dataclass(frozen=True, slots=True)
class EventBlock:
    """Consecutive lines of an event stream, up to and with an empty one.

    Attributes
    ----------
    data : bytes
        The bytes as received.
    ids : tuple of str
        Values of the id fields; the last one is the id of the event.
    name : bytes
        Value of the event field; empty if it has none.
    is_event : bool
        Whether the block has an id or data.
    has_text : bool
        Whether the block has a line that is neither a field of an event stream nor a
        name with a number.
    """

    data: bytes
    ids: tuple[str, ...] = ()
    name: bytes = b""
    is_event: bool = False
    has_text: bool = False

    @classmethod
    def parse(cls, data: bytes) -> EventBlock:
        """Return the block that consists of the bytes `data`.

        Examples
        --------
        >>> EventBlock.parse(b"id: 4\\ndata: a\\n\\n").ids
        ('4',)
        >>> EventBlock.parse(b": comment\\n\\n").is_event
        False
        >>> EventBlock.parse(b"Bad Gateway\\n\\n").has_text
        True
        """
        ids: list[str] = []
        name = b""
        is_event, has_text = False, False
        for line in _LINE.findall(data):
            field, _, value = line.partition(b":")
            if field == b"id":
                ids.append(value.strip().decode("latin-1"))
                is_event = True
            elif field == b"data":
                is_event = True
            elif field == b"event":
                name = value.strip()
            elif field not in (b"", b"retry") and not _NUMBER_LINE.fullmatch(line):
                has_text = True
        return cls(data, tuple(ids), name, is_event, has_text)


class EventSplitter:
    """Collects bytes of one event stream until they form whole blocks."""

    __slots__ = ("_partial",)

    def __init__(self) -> None:
        # Many small chunks may form one event, so that none may cost a copy of it.
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """Return the bytes that no empty line has followed yet."""
        return bytes(self._partial)

    @property
    def is_within_block(self) -> bool:
        """Return whether a block has begun and not ended."""
        return bool(self._partial.strip(_BLANK_BYTES))

    @property
    def is_oversized(self) -> bool:
        """Return whether the block that has begun is too long to be an event."""
        return len(self._partial) > _MAX_PARTIAL_BYTES

    def feed(self, chunk: bytes) -> list[EventBlock]:
        """Return the blocks that `chunk` completes.

        Examples
        --------
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\\ndata: a\\n")
        []
        >>> [block.data for block in splitter.feed(b"\\nid: 2")]
        [b'id: 1\\ndata: a\\n\\n']
        >>> splitter.partial
        b'id: 2'
        """
        # An empty line may have begun with the last bytes before `chunk`.
        search_start = max(0, len(self._partial) - 3)
        data = self._partial
        data += chunk
        ends = [match.end() for match in _BLOCK_END.finditer(data, search_start)]
        starts = [0, *ends[:-1]]
        blocks = [
            EventBlock.parse(bytes(data[start:end]))
            for start, end in zip(starts, ends, strict=False)
        ]
        if ends:
            del data[: ends[-1]]
        return blocks
