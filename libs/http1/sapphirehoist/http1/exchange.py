"""Responses of one connection to its caller."""

from __future__ import annotations

from typing import Protocol

from sapphirehoist.http1.messages import ResponseHead

# A body of this size is sent in one block with its head.
_MAX_JOINED_BYTES = 65_536


class ResponseConnection(Protocol):
    """Encodes and sends the responses of one connection."""

    def encode_head(self, head: ResponseHead, length: int | None) -> bytes:
        """Return the head of the response."""

    def encode_data(self, data: bytes) -> bytes:
        """Return a part of the body with its framing."""

    def encode_end(self) -> bytes:
        """Return the end of the body."""

    def write(self, data: bytes) -> None:
        """Write `data`, unless the caller does not read for too long."""

    def write_now(self, data: bytes) -> int:
        """Write what the socket accepts at once and return the number of bytes."""

    def write_some(self, data: bytes | memoryview) -> int:
        """Wait until the socket accepts a part of `data` and return its length."""

    def allow_pauses(self) -> None:
        """Let the caller pause reading."""

    def begin_delivery(self) -> None:
        """Record that only the caller's reading is waited for."""

    def abort(self) -> None:
        """Reset the connection."""


class ResponseWriter(Protocol):
    """Writes the bytes of one response to its caller, in their order."""

    def write(self, data: bytes) -> None:
        """Write `data`, now or later."""

    def flush(self) -> None:
        """Wait until everything is written."""

    def close(self) -> None:
        """Discard what is not written yet."""


class Exchange:
    """Sends the response to one request.

    Attributes
    ----------
    has_begun : bool
        Whether sending of the response has begun.
    is_done : bool
        Whether the response is complete or aborted.
    """

    __slots__ = ("_conn", "_writer", "has_begun", "is_done")

    def __init__(self, conn: ResponseConnection) -> None:
        self._conn = conn
        self._writer: ResponseWriter | None = None
        self.has_begun = False
        self.is_done = False

    def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a complete response."""
        self.begin(head, len(body), body)
        self.finish()

    def begin(
        self, head: ResponseHead, length: int | None, first_bytes: bytes = b""
    ) -> None:
        """Send the head and the first bytes; without a length, the body is chunked."""
        self.has_begun = True
        data = self._conn.encode_head(head, length)
        body_data = self._conn.encode_data(first_bytes) if first_bytes else b""
        if len(body_data) <= _MAX_JOINED_BYTES:
            self._write(data + body_data)
        else:
            # A large body is not copied.
            self._write(data)
            self._write(body_data)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(self._conn.encode_data(data))

    def finish(self) -> None:
        """Send the end of the body."""
        self._write(self._conn.encode_end())
        self._conn.begin_delivery()
        if self._writer is not None:
            self._writer.flush()
        self.is_done = True

    def abort(self) -> None:
        """Reset the connection, so that the response is visibly truncated."""
        if self._writer is not None:
            self._writer.close()
        self._conn.abort()
        self.is_done = True

    def write_through(self, writer: ResponseWriter) -> None:
        """Pass the bytes of the response to `writer` instead of the socket."""
        self._writer = writer
        self._conn.allow_pauses()

    def write_now(self, data: bytes) -> int:
        """Write what the socket accepts at once and return the number of bytes."""
        return self._conn.write_now(data)

    def write_some(self, data: bytes | memoryview) -> int:
        """Wait until the socket accepts a part of `data` and return its length."""
        return self._conn.write_some(data)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        if self._writer is None:
            self._conn.write(data)
        else:
            self._writer.write(data)
