"""Reads the typed body and the bearer token of the current HTTP request."""

from __future__ import annotations

from hashlib import sha256
from typing import TypeVar

from bottle import request

from sapphirehoist.messages import MalformedMessage, decode_json
from sapphirehoist.outcomes import NotRun, Reason

_BEARER_PREFIX = "Bearer "

T = TypeVar("T")


def read_body(message_type: type[T], max_bytes: int) -> T | NotRun:
    """Decode the JSON body of the current request.

    Parameters
    ----------
    message_type : type
        Type that the body is decoded to.
    max_bytes : int
        Size limit of the body.

    Returns
    -------
    message_type or NotRun
        `NotRun` with `Reason.INVALID` if the body is too large or malformed.
    """
    if (request.content_length or 0) > max_bytes:
        detail = f"body: {request.content_length} bytes; allowed: {max_bytes}"
        return NotRun(Reason.INVALID, detail)
    data = request.body.read(max_bytes + 1)
    if len(data) > max_bytes:
        return NotRun(Reason.INVALID, f"body: more than the allowed {max_bytes} bytes")
    message = decode_json(data, message_type)
    if isinstance(message, MalformedMessage):
        return NotRun(Reason.INVALID, f"body: {message.detail}")
    return message


def hash_bearer_token() -> str:
    """Return the SHA-256 of the bearer token in hexadecimal; empty without a token."""
    header = request.get_header("Authorization", "")
    if not header.startswith(_BEARER_PREFIX):
        return ""
    return sha256(header.removeprefix(_BEARER_PREFIX).encode()).hexdigest()
