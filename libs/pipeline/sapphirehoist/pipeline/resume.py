"""Signed tokens by which a caller resumes its stream at any entry VM."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from hashlib import sha256

import msgspec

from sapphirehoist.messages import Malformed, decode_msgpack, encode_msgpack

_SIGNATURE_BYTES = 32


class ResumeToken(msgspec.Struct, frozen=True, array_like=True):
    """Names a stream of one team.

    Attributes
    ----------
    team, request_id, class_name : str
        Whose stream it is.
    endpoint, stream_id : str
        The engine and its id of the stream.
    offset : int
        First byte of text that the token covers.
    vm : str
        Entry VM that opened the stream.
    deadline_ms : int
        Wall time of the request's deadline, in ms since the Unix epoch.
    """

    team: str
    request_id: str
    class_name: str
    endpoint: str
    stream_id: str
    offset: int
    vm: str
    deadline_ms: int


class ResumeSigner:
    """Signs and checks resume tokens with the fleet's secret.

    Parameters
    ----------
    secret : str
        The same on every entry VM.

    Examples
    --------
    >>> signer = ResumeSigner("x" * 32)
    >>> token = ResumeToken("a", "r", "quick", "engine-1", "s", 0, "vm-1", 0)
    >>> signer.check(signer.sign(token)) == token
    True
    >>> signer.check("forged").detail
    'resume_token: the signature does not match'
    """

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = secret.encode()

    def sign(self, token: ResumeToken) -> str:
        """Return `token` with its signature, safe in a URL."""
        body = encode_msgpack(token)
        return urlsafe_b64encode(self._compute_signature(body) + body).decode()

    def check(self, signed_token: str) -> ResumeToken | Malformed:
        """Return the token if its signature matches."""
        try:
            data = urlsafe_b64decode(signed_token.encode())
        except (Base64Error, ValueError):
            data = b""
        signature, body = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._compute_signature(body)):
            return Malformed("resume_token: the signature does not match")
        return decode_msgpack(body, ResumeToken)

    def _compute_signature(self, body: bytes) -> bytes:
        return hmac.new(self._key, body, sha256).digest()
