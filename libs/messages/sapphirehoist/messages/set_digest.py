"""Digest of a set of texts, which is updated with each change of the set."""

from __future__ import annotations

from hashlib import blake2b

_DIGEST_BYTES = 4


def element_digest(text: str) -> int:
    """Return the digest of one element; a set's digest is the xor of its elements'.

    A cyclic redundancy check does not serve: it is linear, so that the same change of
    two elements, such as the increment of a counter, leaves the xor unchanged.

    Examples
    --------
    >>> before = element_digest("vm-1 0") ^ element_digest("vm-2 0")
    >>> after = element_digest("vm-1 1") ^ element_digest("vm-2 1")
    >>> before == after
    False
    """
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)
