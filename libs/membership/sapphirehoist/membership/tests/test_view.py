"""Digests by which nodes notice that their views of the fleet differ."""

from __future__ import annotations

from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirehoist.membership import Member, MemberUpdate, Status
from sapphirehoist.membership.view import MemberView

VM_COUNT = 40


def build_view(sequences: list[int]) -> MemberView:
    """Return a view in which ``vm-i`` is alive with the i-th sequence number."""
    view = MemberView()
    for number, sequence in enumerate(sequences):
        member = Member(f"vm-{number:03}", 1, "region", "zone", "peer", "caller")
        view.merge(MemberUpdate(member.vm, 1, sequence, Status.ALIVE, member=member))
    return view


class TestDigest:
    def test_the_same_change_of_any_two_members_is_noticed(self) -> None:
        """Two nodes that start serving while nobody hears them change alike.

        With a linear checksum, a node went on for ever to take both for starting if
        they shared a bucket, and chose other owners of stage endpoints than its peers.
        """
        before = build_view([0] * VM_COUNT).digest()
        for pair in combinations(range(VM_COUNT), 2):
            sequences = [int(number in pair) for number in range(VM_COUNT)]
            assert build_view(sequences).digest() != before, pair

    @settings(derandomize=True)
    @given(
        st.lists(st.integers(0, 3), min_size=8, max_size=8),
        st.lists(st.integers(0, 3), min_size=8, max_size=8),
    )
    def test_only_equal_views_have_equal_digests(
        self, first: list[int], second: list[int]
    ) -> None:
        digests = build_view(first).digest(), build_view(second).digest()
        assert (digests[0] == digests[1]) == (first == second)

    def test_digest_does_not_depend_on_the_order_of_updates(self) -> None:
        view = build_view([0, 1, 2])
        late = build_view([0, 0, 0])
        for update in reversed(view.all_updates()):
            late.merge(update)
        assert late.digest() == view.digest()
