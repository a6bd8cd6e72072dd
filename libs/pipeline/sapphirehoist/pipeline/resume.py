"""Signed tokens with which a caller resumes a stream on any entry VM."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from hashlib import sha256

import msgspec

from sapphirehoist.messages import MalformedMessage, decode_msgpack, encode_msgpack

_SIGNATURE_BYTES = 32


class ResumeToken(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a stream and the request that it belongs to.

    Attributes
    ----------
    team, request_id, class_of_work : str
        Team, id and class of work of the request.
    endpoint, stream_id : str
        Name of the engine, and the engine's id of the stream.
    offset : int
        Lowest offset that the token can resume from, in bytes of text.
    vm : str
        Entry VM that issued the token.
    deadline_ms : int
        Wall time of the request's deadline, in ms since the Unix epoch.
    """

    team: str
    request_id: str
    class_of_work: str
    endpoint: str
    stream_id: str
    offset: int
    vm: str
    deadline_ms: int


class ResumeSigner:
    """Signs and verifies resume tokens with HMAC-SHA256.

    Parameters
    ----------
    secret : str
        Secret shared by all entry VMs.

    Examples
    --------
    >>> signer = ResumeSigner("x" * 32)
    >>> token = ResumeToken("a", "r", "quick", "engine-1", "s", 0, "vm-1", 0)
    >>> signer.verify(signer.sign(token)) == token
    True
    >>> signer.verify("forged").detail
    'resume_token: the signature does not match'
    """

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = secret.encode()

    def sign(self, token: ResumeToken) -> str:
        """Return `token` with its signature, encoded as URL-safe base64."""
        body = encode_msgpack(token)
        return urlsafe_b64encode(self._compute_signature(body) + body).decode()

    def verify(self, signed_token: str) -> ResumeToken | MalformedMessage:
        """Verify and decode a signed token; an invalid one is `MalformedMessage`."""
        try:
            data = urlsafe_b64decode(signed_token.encode())
        except (Base64Error, ValueError):
            data = b""
        signature, body = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._compute_signature(body)):
            return MalformedMessage("resume_token: the signature does not match")
        return decode_msgpack(body, ResumeToken)

    def _compute_signature(self, body: bytes) -> bytes:
        return hmac.new(self._key, body, sha256).digest()
