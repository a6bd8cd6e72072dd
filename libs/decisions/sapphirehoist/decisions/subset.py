"""Deterministic subsetting of a pool's endpoints by rendezvous hashing.

Each node uses a bounded number of endpoints. The number of connections would otherwise
grow with the product of nodes and endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import log

SUBSET_SIZE = 16


def rendezvous_score(key: str, name: str) -> bytes:
    """Return the rendezvous hash of `name` for `key`; the highest is chosen."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def weighted_rendezvous_score(key: str, name: str, weight: float) -> float:
    """Return the score of `name`; it is highest in proportion to `weight`.

    With equal weights the order is that of `rendezvous_score`.

    Examples
    --------
    >>> def choose(key):
    ...     weights = {"a": 3.0, "b": 1.0}
    ...     return max(
    ...         weights, key=lambda n: weighted_rendezvous_score(key, n, weights[n])
    ...     )
    >>> sum(choose(str(key)) == "a" for key in range(1000)) // 100
    7
    """
    position = (int.from_bytes(rendezvous_score(key, name)) + 1) / (2**64 + 1)
    return -weight / log(position)


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
