"""Which members a node talks to: a logarithmic number, so that cost stays flat."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sapphirehoist.membership.member import Member


def ring_position(vm: str) -> bytes:
    """Return the position of a VM on the hash ring."""
    return blake2b(vm.encode(), digest_size=8).digest()


def finger_neighbours(self_vm: str, members: Iterable[Member]) -> list[Member]:
    """Return the members at distances 1, 2, 4, ... on the ring of all members.

    Each node has about ``log2(n)`` neighbours and is the neighbour of as many; every
    member is at most ``log2(n)`` hops away.

    Parameters
    ----------
    self_vm : str
        This VM.
    members : iterable of Member
        The other members.

    Examples
    --------
    >>> fleet = [Member(f"vm-{i}", 1, "vest", "a", "", "") for i in range(370)]
    >>> len(finger_neighbours("vm-0", fleet[1:]))
    9
    """
    others = sorted(members, key=lambda member: ring_position(member.vm))
    start = ring_position(self_vm)
    after = [m for m in others if ring_position(m.vm) > start]
    ring = after + [m for m in others if ring_position(m.vm) < start]
    fingers = []
    distance = 1
    while distance <= len(ring):
        fingers.append(ring[distance - 1])
        distance *= 2
    return fingers
