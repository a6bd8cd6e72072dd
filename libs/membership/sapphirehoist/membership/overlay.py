"""Selects the neighbours of a node in the overlay network.

A node has a logarithmic number of neighbours, which keeps its traffic small in a large
fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sapphirehoist.membership.member import Member


def ring_position(vm: str) -> bytes:
    """Return the position of `vm` on the hash ring, as 8 bytes."""
    return blake2b(vm.encode(), digest_size=8).digest()


def finger_neighbours(self_vm: str, members: Iterable[Member]) -> list[Member]:
    """Return the members at distances 1, 2, 4, ... on the ring of all members.

    These are the fingers of Chord [1]_. Each node has about ``log2(n)`` neighbours and
    is the neighbour of as many; every member is at most ``log2(n)`` hops away.

    Parameters
    ----------
    self_vm : str
        Name of this VM.
    members : iterable of Member
        The other members.

    Returns
    -------
    list of Member
        The neighbours, by increasing distance.

    References
    ----------
    .. [1] I. Stoica et al., "Chord: A Scalable Peer-to-peer Lookup Service for Internet
       Applications", SIGCOMM 2001.

    Examples
    --------
    >>> fleet = [Member(f"vm-{i}", 1, "vest", "a", "", "") for i in range(370)]
    >>> len(finger_neighbours("vm-0", fleet[1:]))
    9
    """
    sorted_members = sorted(members, key=lambda member: ring_position(member.vm))
    self_position = ring_position(self_vm)
    successors = [m for m in sorted_members if ring_position(m.vm) > self_position]
    ring = successors + [
        m for m in sorted_members if ring_position(m.vm) < self_position
    ]
    fingers = []
    distance = 1
    while distance <= len(ring):
        fingers.append(ring[distance - 1])
        distance *= 2
    return fingers
