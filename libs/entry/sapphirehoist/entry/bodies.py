"""Reading of HTTP requests: size, token and typed body."""

from __future__ import annotations

from hashlib import sha256
from typing import TypeVar

from bottle import request

from sapphirehoist.messages import Malformed, decode_json
from sapphirehoist.outcomes import NotRun, Reason

_SCHEME = "Bearer "

T = TypeVar("T")


def read_body(kind: type[T], max_bytes: int) -> T | NotRun:
    """Return the decoded body of the current request."""
    if (request.content_length or 0) > max_bytes:
        detail = f"body: {request.content_length} bytes; allowed: {max_bytes}"
        return NotRun(Reason.INVALID, detail)
    data = request.body.read(max_bytes + 1)
    if len(data) > max_bytes:
        return NotRun(Reason.INVALID, f"body: more than the allowed {max_bytes} bytes")
    message = decode_json(data, kind)
    if isinstance(message, Malformed):
        return NotRun(Reason.INVALID, f"body: {message.detail}")
    return message


def read_token_sha256() -> str:
    """Return the hash of the bearer token, empty where there is none."""
    header = request.get_header("Authorization", "")
    if not header.startswith(_SCHEME):
        return ""
    return sha256(header.removeprefix(_SCHEME).encode()).hexdigest()
