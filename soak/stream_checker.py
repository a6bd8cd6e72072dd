"""Checks what one caller receives of an event stream, over all of its responses."""

from __future__ import annotations

import re

_BLOCK_END = b"\n\n"
_COMMENT_START = b":"
_RUN = re.compile(rb"^data: (.+/\d+)-\d+$", re.MULTILINE)
_MAX_IDS_PER_EVENT = 2
_SHOWN_BYTES = 80


def make_event(run: str, first_id: int, id_count: int = 1) -> bytes:
    """Return one event of a run, with as many ids as it has lines of data.

    Examples
    --------
    >>> make_event("s-1/0", 3, 2)
    b'id: 3\\nid: 4\\ndata: s-1/0-3\\ndata: s-1/0-4\\n\\n'
    """
    ids = range(first_id, first_id + id_count)
    lines = [f"id: {n}\n" for n in ids] + [f"data: {run}-{n}\n" for n in ids]
    return ("".join(lines) + "\n").encode()


class StreamChecker:
    """Follows one stream byte by byte and records the first violation.

    Parameters
    ----------
    name : str
        Name of the stream, which the data of each of its events begin with.
    event_count : int
        Id of the last event.

    Attributes
    ----------
    last_id : int
        Id of the last whole event.
    violation : str
        What was wrong; empty for nothing.
    """

    __slots__ = ("_event_count", "_name", "_partial", "_run", "last_id", "violation")

    def __init__(self, name: str, event_count: int) -> None:
        self._name = name
        self._event_count = event_count
        self._partial = b""
        self._run = ""
        self.last_id = 0
        self.violation = ""

    @property
    def is_whole(self) -> bool:
        """Return whether the last event has arrived."""
        return self.last_id == self._event_count

    def feed(self, data: bytes) -> None:
        """Check further bytes of the present response."""
        *blocks, self._partial = (self._partial + data).split(_BLOCK_END)
        for block in blocks:
            if not self.violation and not block.startswith(_COMMENT_START):
                self._check(block + _BLOCK_END)

    def end(self, is_complete: bool) -> None:
        """Check the end of a response, which is complete or was cut off."""
        partial, self._partial = self._partial, b""
        if self.violation:
            return
        if is_complete and (partial or not self.is_whole):
            self._record(partial, "ended as complete")
        elif not self._may_begin_block(partial):
            self._record(partial, "was cut off")

    def _check(self, block: bytes) -> None:
        run = _RUN.search(block)
        if self.last_id == 0 and run is not None:
            self._run = run[1].decode()
        id_count = max(1, block.count(b"id: "))
        is_next = block == make_event(self._run, self.last_id + 1, id_count)
        is_own = self._run.startswith(f"{self._name}/")
        if is_next and is_own and self.last_id + id_count <= self._event_count:
            self.last_id += id_count
        else:
            self._record(block, "goes on")

    def _may_begin_block(self, partial: bytes) -> bool:
        """Return whether an event or a comment that follows begins with `partial`."""
        if self.last_id == 0 or partial.startswith(_COMMENT_START):
            return partial.startswith((b"id: "[: len(partial)], _COMMENT_START))
        return any(
            make_event(self._run, self.last_id + 1, id_count).startswith(partial)
            for id_count in range(1, _MAX_IDS_PER_EVENT + 1)
        )

    def _record(self, data: bytes, what: str) -> None:
        self.violation = (
            f"{what} with {data[:_SHOWN_BYTES]!r} after event {self.last_id}"
            f" of {self._event_count}"
        )
