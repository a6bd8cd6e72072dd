"""urllib3 connection pools that accept only responses whose head is whole.

`http.client` takes the end of a connection for the end of a head. A response that is
cut within its head then looks like a whole one without further headers and body.
"""

from __future__ import annotations

import re
from http.client import BadStatusLine, HTTPException, HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool

_STATUS_SWITCHING_PROTOCOLS = 101
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}([ \r\n]|$)")
# Of informational heads and the final one, of which `http.client` allows 100 each.
_MAX_HEAD_LINES = 200


class _InvalidHead(HTTPException):
    """The head of a response is cut or does not end."""


class _HeadFile:
    """File of the head of a response, whose lines have to be whole and are limited."""

    __slots__ = ("_file", "_line_count", "last_line")

    def __init__(self, file: Any) -> None:
        self._file = file
        self._line_count = 0
        self.last_line = b""

    def readline(self, limit: int) -> bytes:
        line: bytes = self._file.readline(limit)
        # A line of `limit` bytes is refused by `http.client` as too long.
        if not line.endswith(b"\n") and len(line) < limit:
            raise _InvalidHead("the connection ended within the head of a response")
        self._line_count += 1
        if self._line_count > _MAX_HEAD_LINES:
            raise _InvalidHead("a head without end")
        self.last_line = line
        return line

    def close(self) -> None:
        self._file.close()


class _WholeHeadResponse(HTTPResponse):
    """Response whose first final head has to be whole."""

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; `http.client` accepts what `int` takes for a number."""
        version, status, reason = super()._read_status()  # type: ignore[misc]
        file: Any = self.fp
        if not _STATUS_LINE.match(file.last_line):
            raise BadStatusLine(repr(file.last_line))
        return version, status, reason

    def begin(self) -> None:
        if self.headers is not None:
            return
        file: Any = self.fp
        self.fp: Any = _HeadFile(file)
        try:
            super().begin()
            # Except for 100, `http.client` takes informational heads as final.
            while self.status < 200 and self.status != _STATUS_SWITCHING_PROTOCOLS:
                self.headers = None
                super().begin()
        finally:
            # None where the connection was closed meanwhile.
            if self.fp is not None:
                self.fp = file


class WholeHeadConnection(HTTPConnection):
    """Connection that accepts only responses whose head is whole."""

    response_class = _WholeHeadResponse


class WholeHeadTlsConnection(HTTPSConnection):
    """Connection over TLS that accepts only responses whose head is whole."""

    response_class = _WholeHeadResponse


class _WholeHeadConnectionPool(HTTPConnectionPool):
    ConnectionCls = WholeHeadConnection


class _WholeHeadTlsConnectionPool(HTTPSConnectionPool):
    ConnectionCls = WholeHeadTlsConnection


class WholeHeadPoolManager(urllib3.PoolManager):
    """Pool manager without retries that accepts only responses whose head is whole.

    A truncated head raises `urllib3.exceptions.ProtocolError`, like a lost response.

    Parameters
    ----------
    http_pool, https_pool : type, optional
        Connection pools by scheme.
    **options
        Options of `urllib3.PoolManager`.
    """

    def __init__(
        self,
        http_pool: type[HTTPConnectionPool] = _WholeHeadConnectionPool,
        https_pool: type[HTTPSConnectionPool] = _WholeHeadTlsConnectionPool,
        **options: Any,
    ) -> None:
        super().__init__(retries=False, **options)
        self.pool_classes_by_scheme = {"http": http_pool, "https": https_pool}


def is_framed(resp: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a body that was cut would not look complete.

    Without a length or chunks, a body ends with its connection.
    """
    return bool(resp.chunked) or resp.length_remaining is not None
