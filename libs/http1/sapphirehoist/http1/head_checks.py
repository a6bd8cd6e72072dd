"""Checks of received request heads that the parser does not make."""

from __future__ import annotations

import h11

from sapphirehoist.http1.caller_request import InvalidRequest, ReadLimits
from sapphirehoist.http1.messages import Headers, RequestHead

_STATUS_BAD_REQUEST = 400
_STATUS_HEAD_TOO_LARGE = 431


def check_head(event: h11.Request, limits: ReadLimits) -> InvalidRequest | None:
    """Return why a head is refused; None if it is not."""
    return _check_framing(event) or _check_head_size(event, limits)


def to_request_head(event: h11.Request) -> RequestHead:
    """Decode a head."""
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    ]
    return RequestHead(
        event.method.decode("ascii"),
        event.target.decode("latin-1"),
        Headers(headers),
    )


def _check_framing(event: h11.Request) -> InvalidRequest | None:
    """Refuse framing that allows request smuggling, and targets without a path."""
    names = [name for name, _ in event.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return InvalidRequest(_STATUS_BAD_REQUEST, "both a length and chunks")
    if names.count(b"host") > 1:
        return InvalidRequest(_STATUS_BAD_REQUEST, "more than one Host")
    if not event.target.startswith(b"/"):
        return InvalidRequest(_STATUS_BAD_REQUEST, "the target must begin with a slash")
    return None


def _check_head_size(event: h11.Request, limits: ReadLimits) -> InvalidRequest | None:
    """Refuse a head over the limit that arrived in one block with its end.

    The parser itself checks the size of heads that are not complete.
    """
    size = len(event.method) + len(event.target)
    size += sum(len(name) + len(value) for name, value in event.headers)
    if size > limits.max_header_bytes:
        return InvalidRequest(_STATUS_HEAD_TOO_LARGE, "head over the limit")
    return None
