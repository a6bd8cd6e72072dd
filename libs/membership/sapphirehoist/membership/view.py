"""One node's view of the fleet, merged from membership updates."""

from __future__ import annotations

from zlib import crc32

from sapphirehoist.membership.member import Member, MemberUpdate, Status
from sapphirehoist.messages import element_digest, encode_msgpack

BUCKET_COUNT = 32


class MemberView:
    """The newest update of each member.

    The update of a member that is gone is retained for a while, so that an older update
    cannot add the same incarnation again. Digests leave it out, so that nodes may drop
    it at different times.

    Attributes
    ----------
    revision : int
        Number of changes so far; values derived from the view may be cached by it.

    Examples
    --------
    >>> view = MemberView()
    >>> member = Member("vm-1", 1, "vest", "vest-a", "tcp://a:1", "http://a:2")
    >>> view.merge(MemberUpdate("vm-1", 1, 0, Status.ALIVE, member=member))
    True
    >>> view.merge(MemberUpdate("vm-1", 1, 0, Status.DEAD))
    True
    >>> view.merge(MemberUpdate("vm-1", 1, 0, Status.ALIVE))
    False
    """

    __slots__ = ("_bucket_digests", "_members_by_statuses", "_updates", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._updates: dict[str, MemberUpdate] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self._members_by_statuses: dict[tuple[Status, ...], list[Member]] = {}

    def merge(self, update: MemberUpdate) -> bool:
        """Apply `update` if it overrides the known one; return whether it did.

        An update without `member` is ignored if its incarnation is unknown.
        """
        known = self._updates.get(update.vm)
        if known is not None and update.precedence() <= known.precedence():
            return False
        member = update.member
        if member is None:
            if known is None or known.incarnation != update.incarnation:
                return False
            member = known.member
        merged = MemberUpdate(
            update.vm,
            update.incarnation,
            update.sequence,
            update.status,
            update.is_leaving,
            member,
            update.is_starting,
        )
        self._toggle_digest(known)
        self._updates[update.vm] = merged
        self._toggle_digest(merged)
        self._record_change()
        return True

    def get(self, vm: str) -> MemberUpdate | None:
        """Return the newest update of `vm`."""
        return self._updates.get(vm)

    def all_updates(self) -> list[MemberUpdate]:
        """Return the newest update of every member, including those that are gone."""
        return list(self._updates.values())

    def members(self, *statuses: Status) -> list[Member]:
        """Return the members whose status is one of `statuses`, ordered by VM."""
        members = self._members_by_statuses.get(statuses)
        if members is None:
            matching = [
                u for u in self._updates.values() if u.status in statuses and u.member
            ]
            matching.sort(key=lambda u: u.vm)
            members = [u.member for u in matching if u.member]
            self._members_by_statuses[statuses] = members
        return members.copy()

    def remove_gone(self, vm: str) -> None:
        """Remove `vm` from the view if it is gone; otherwise do nothing."""
        known = self._updates.get(vm)
        if known is not None and known.status is Status.GONE:
            del self._updates[vm]
            self._record_change()

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of members, by bucket index."""
        return list(self._bucket_digests)

    def digest(self) -> int:
        """Return one digest of the whole view."""
        return crc32(encode_msgpack(self._bucket_digests))

    def updates_in_buckets(self, bucket_indexes: set[int]) -> list[MemberUpdate]:
        """Return the updates of the members in the buckets `bucket_indexes`."""
        return [
            u for u in self._updates.values() if _bucket_index(u.vm) in bucket_indexes
        ]

    def _record_change(self) -> None:
        self.revision += 1
        self._members_by_statuses.clear()

    def _toggle_digest(self, update: MemberUpdate | None) -> None:
        """Add `update` to the digest of its bucket, or remove it, by exclusive or."""
        if update is not None and update.status is not Status.GONE:
            # Nodes compare digests, so this text, including the names in `Status`, has
            # to be the same on every node.
            state = f"{update.vm} {update.precedence()}"
            self._bucket_digests[_bucket_index(update.vm)] ^= element_digest(state)


def _bucket_index(vm: str) -> int:
    return crc32(vm.encode()) % BUCKET_COUNT
