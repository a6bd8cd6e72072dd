"""urllib3 connection pools that accept only responses whose head is whole.

`http.client` takes the end of a connection for the end of a head. A response that is
cut within its head then looks like a whole one without further headers and body.

Bodies are read in parts, within a limit of bytes and of time. The timeouts of urllib3
hold for each receive, so that a body whose bytes keep coming never meets them.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from http.client import BadStatusLine, HTTPException, HTTPResponse
from typing import Any

import gevent
import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool
from urllib3.exceptions import HTTPError

_STATUS_SWITCHING_PROTOCOLS = 101
# Longer than any response of the platform's services and of endpoints.
MAX_BODY_BYTES = 16 * 2**20
_BLOCK_BYTES = 65_536
# Chunks may have one byte each, and arrive faster than they are read.
_BLOCKS_PER_YIELD = 32
_LINES_PER_YIELD = 64
_MAX_LINE_BYTES = 65_536
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


class _BodyFile:
    """File of a body, of which the lines between chunks are limited."""

    __slots__ = ("_file", "_line_count")

    def __init__(self, file: Any) -> None:
        self._file = file
        self._line_count = 0

    def readline(self, limit: int = -1) -> bytes:
        line: bytes = self._file.readline(_MAX_LINE_BYTES)
        if len(line) == _MAX_LINE_BYTES:
            raise HTTPException("a line without end")
        self._line_count += 1
        if self._line_count % _LINES_PER_YIELD == 0:
            # Trailers may come without end, and faster than they are read.
            gevent.sleep(0)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


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
                self.fp = _BodyFile(file)


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


class EndlessBody(HTTPError):
    """The body of a response is too long, or takes too long."""


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """A response whose body has been read.

    Attributes
    ----------
    status : int
        Status code.
    headers : mapping of str to str
        Headers, by name in any case.
    data : bytes
        The body.
    is_framed : bool
        As `is_framed`.
    """

    status: int
    headers: Mapping[str, str]
    data: bytes
    is_framed: bool


def read_whole(
    resp: urllib3.BaseHTTPResponse,
    timeout_s: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> WholeResponse:
    """Read the body of a response, and release its connection.

    Parameters
    ----------
    resp : urllib3.BaseHTTPResponse
        Response whose body has not been read.
    timeout_s : float
        Longest time to read the body, in seconds.
    max_bytes : int, optional
        Longest body.

    Raises
    ------
    EndlessBody
        If the body is longer, or has not ended in time.
    urllib3.exceptions.HTTPError
        If the body cannot be read.
    """
    body = bytearray()
    has_end = is_framed(resp)
    timeout = gevent.Timeout(timeout_s)
    is_whole = False
    try:
        with timeout:
            for count, block in enumerate(resp.stream(_BLOCK_BYTES)):
                body += block
                if len(body) > max_bytes:
                    raise EndlessBody(f"a body of over {max_bytes} B")
                if count % _BLOCKS_PER_YIELD == 0:
                    # Also lets the timeout expire while bytes keep coming.
                    gevent.sleep(0)
        is_whole = True
    except gevent.Timeout as exc:
        if exc is not timeout:
            raise
        raise EndlessBody(f"a body without end after {timeout_s:.1f} s") from exc
    finally:
        if not is_whole:
            resp.close()
    resp.release_conn()
    return WholeResponse(resp.status, resp.headers, bytes(body), has_end)


def is_framed(resp: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a body that was cut would not look complete.

    Without a length or chunks, a body ends with its connection.
    """
    return bool(resp.chunked) or resp.length_remaining is not None
