"""One node's view of the fleet, merged from news."""

from __future__ import annotations

from zlib import crc32

from sapphirehoist.membership.member import Member, MemberNews, Status
from sapphirehoist.messages import encode_msgpack

BUCKETS = 32


class MemberView:
    """The newest news of each member.

    News of a member that is gone is kept for a while, so that older news cannot bring
    the same incarnation back; it does not count in digests, so that nodes may forget it
    at different times.

    Examples
    --------
    >>> view = MemberView()
    >>> member = Member("vm-1", 1, "vest", "vest-a", "tcp://a:1", "http://a:2")
    >>> view.merge(MemberNews("vm-1", 1, 0, Status.ALIVE, member=member))
    True
    >>> view.merge(MemberNews("vm-1", 1, 0, Status.DEAD))
    True
    >>> view.merge(MemberNews("vm-1", 1, 0, Status.ALIVE))
    False
    """

    __slots__ = ("_buckets", "_news")

    def __init__(self) -> None:
        self._news: dict[str, MemberNews] = {}
        self._buckets = [0] * BUCKETS

    def merge(self, news: MemberNews) -> bool:
        """Take `news` if it overrides what is known; return whether it did."""
        known = self._news.get(news.vm)
        if known is not None and news.precedence() <= known.precedence():
            return False
        member = news.member
        if member is None:
            if known is None or known.incarnation != news.incarnation:
                return False
            member = known.member
        merged = MemberNews(
            news.vm,
            news.incarnation,
            news.counter,
            news.status,
            news.is_leaving,
            member,
            news.is_starting,
        )
        self._toggle(known)
        self._news[news.vm] = merged
        self._toggle(merged)
        return True

    def get(self, vm: str) -> MemberNews | None:
        """Return the newest news of `vm`."""
        return self._news.get(vm)

    def all_news(self) -> list[MemberNews]:
        """Return the newest news of every member ever known."""
        return list(self._news.values())

    def members(self, *statuses: Status) -> list[Member]:
        """Return the members whose status is one of `statuses`, ordered by VM."""
        found = [n for n in self._news.values() if n.status in statuses and n.member]
        return [n.member for n in sorted(found, key=lambda n: n.vm) if n.member]

    def forget(self, vm: str) -> None:
        """Drop the news of a member that is gone."""
        known = self._news.get(vm)
        if known is not None and known.status is Status.GONE:
            del self._news[vm]

    def bucket_digests(self) -> list[int]:
        """Return one digest for each bucket of members."""
        return list(self._buckets)

    def digest(self) -> int:
        """Return one digest of the whole view."""
        return crc32(encode_msgpack(self._buckets))

    def news_in_buckets(self, buckets: set[int]) -> list[MemberNews]:
        """Return the news whose member falls into one of `buckets`."""
        return [n for n in self._news.values() if _bucket(n.vm) in buckets]

    def _toggle(self, news: MemberNews | None) -> None:
        if news is not None and news.status is not Status.GONE:
            state = f"{news.vm} {news.precedence()}".encode()
            self._buckets[_bucket(news.vm)] ^= crc32(state)


def _bucket(vm: str) -> int:
    return crc32(vm.encode()) % BUCKETS
