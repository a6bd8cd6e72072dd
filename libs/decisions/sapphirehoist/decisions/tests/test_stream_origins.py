"""Which origins of streams are known, and for how long."""

from __future__ import annotations

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    StreamOrigin,
    StreamOrigins,
    TrackedStream,
    infer_origin,
    stream_holders,
)

OLD, NEW = StreamOrigin("model", "v1"), StreamOrigin("model", "v2")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def origins(clock: ManualClock) -> StreamOrigins:
    return StreamOrigins(clock)


class TestStreamOrigins:
    def test_first_origin_of_a_stream_holds(self, origins: StreamOrigins) -> None:
        origins.record(TrackedStream("r", OLD, 8.0))
        origins.record(TrackedStream("r", NEW, 8.0))
        assert origins.get("r") == OLD

    def test_expired_origin_is_replaced(
        self, origins: StreamOrigins, clock: ManualClock
    ) -> None:
        origins.record(TrackedStream("r", OLD, 8.0))
        clock.advance(8.0)
        assert origins.get("r") is None
        origins.record(TrackedStream("r", NEW, 8.0))
        assert origins.get("r") == NEW

    def test_later_deadline_holds(
        self, origins: StreamOrigins, clock: ManualClock
    ) -> None:
        origins.record(TrackedStream("r", OLD, 8.0))
        origins.record(TrackedStream("r", OLD, 2.0))
        clock.advance(7.0)
        origins.remove_expired()
        assert origins.get("r") == OLD

    def test_streams_of_a_service(
        self, origins: StreamOrigins, clock: ManualClock
    ) -> None:
        origins.record(TrackedStream("r-1", OLD, 8.0))
        origins.record(TrackedStream("r-2", OLD, 2.0))
        origins.record(TrackedStream("r-3", StreamOrigin("other", "v1"), 8.0))
        clock.advance(3.0)
        assert origins.streams_of("model") == [TrackedStream("r-1", OLD, 5.0)]


def test_no_origin_is_inferred_without_a_version() -> None:
    assert infer_origin("model", set()) is None


def test_two_of_three_holders_stay_when_a_node_leaves() -> None:
    vms = [f"vm-{i}" for i in range(8)]
    for number in range(100):
        before = stream_holders(f"r-{number}", vms, 3)
        after = stream_holders(f"r-{number}", [v for v in vms if v != before[0]], 3)
        assert after[:2] == before[1:]


def load_share_that_goes_on(is_origin_known: bool) -> tuple[float, int]:
    """Return the share of taken-up streams that go on, and those at another version.

    Six nodes serve two versions; each stream breaks, and a third of the nodes has ended
    when its caller takes it up at another node. Without origins, the version that most
    engines have is taken.
    """
    clock = ManualClock()
    vms = [f"vm-{i}" for i in range(6)]
    nodes = {vm: StreamOrigins(clock) for vm in vms}
    gone_on = wrong = 0
    for number in range(300):
        request_id = f"r-{number}"
        origin = (OLD, NEW)[number % 2]
        relaying = vms[number % 6]
        others = [vm for vm in vms if vm != relaying]
        stream = TrackedStream(request_id, origin, 8.0)
        nodes[relaying].record(stream)
        for vm in stream_holders(request_id, others, 3):
            nodes[vm].record(stream)
        ended = {relaying, vms[(number * 5 + 2) % 6]}
        present = [vm for vm in vms if vm not in ended]
        found = [nodes[vm].get(request_id) for vm in present]
        known = next((o for o in found if o is not None), None)
        if not is_origin_known:
            known = OLD
        gone_on += known is not None
        wrong += known is not None and known != origin
        clock.advance(0.05)
    return gone_on / 300, wrong


class TestLoadWithTwoVersionsAndEndedNodes:
    def test_streams_go_on_at_the_version_that_began_them(self) -> None:
        _, wrong_before = load_share_that_goes_on(is_origin_known=False)
        share, wrong = load_share_that_goes_on(is_origin_known=True)
        assert wrong == 0 < wrong_before
        # Half of the share of streams that begin, which is all of them.
        assert share >= 0.5
