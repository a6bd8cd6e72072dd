"""Deterministic subsetting of a pool's endpoints by rendezvous hashing.

Each node uses a bounded number of endpoints. The number of connections would otherwise
grow with the product of nodes and endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

SUBSET_SIZE = 16


def rendezvous_score(key: str, name: str) -> bytes:
    """Return the rendezvous hash of `name` for `key`; the highest is chosen."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def endpoint_subset(vm: str, endpoints: Iterable[str], size: int) -> list[str]:
    """Return at most `size` of `endpoints`, the ones that `vm` uses.

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
