"""Fingerprints by which nodes recognise the copies of a request."""

from __future__ import annotations

from hashlib import blake2b

_DIGEST_BYTES = 8
_LENGTH_BYTES = 8


def request_fingerprint(
    method: str, host: str, target: str, team: str, body: bytes
) -> str:
    """Return a text that is the same for all copies of a request.

    Copies differ in their ids, deadlines and other headers.

    Parameters
    ----------
    method, host, target : str
        What is asked of whom; `target` is the path with its query.
    team : str
        Team that owns the caller's key; empty on public routes.
    body : bytes
        Body without its framing.

    Examples
    --------
    >>> request_fingerprint("GET", "h.example", "/slots/7", "studio", b"")
    '9b531f386e42856a'
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for field in (method.encode(), host.encode(), target.encode(), team.encode(), body):
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
