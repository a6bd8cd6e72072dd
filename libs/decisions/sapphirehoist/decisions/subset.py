"""Which endpoints of a pool a node uses, so that links do not grow with both sizes."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

SUBSET_SIZE = 16


def rendezvous_score(key: str, name: str) -> bytes:
    """Return the score of `name` for `key`; the highest score wins."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def endpoint_subset(vm: str, endpoints: Iterable[str], size: int) -> list[str]:
    """Return the `size` endpoints that `vm` uses.

    Examples
    --------
    >>> len(endpoint_subset("vm-1", [f"engine-{i}" for i in range(184)], 16))
    16
    """
    names = list(endpoints)
    if len(names) <= size:
        return names
    names.sort(key=lambda name: rendezvous_score(vm, name), reverse=True)
    return names[:size]
