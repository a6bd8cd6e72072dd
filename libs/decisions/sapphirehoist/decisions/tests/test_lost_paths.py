"""Decisions of VMs that have lost their paths to endpoints, under a played load."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

import pytest

from sapphirehoist.clock import ManualClock
from sapphirehoist.decisions import (
    Distance,
    EndpointPaths,
    PathObservation,
    PathVerdict,
    TunnelHelper,
    TunnelHelpers,
    judge_endpoint,
)

REACHED, UNREACHED, NO_PATH = PathObservation


class TestJudgeEndpoint:
    @pytest.mark.parametrize(
        ("own", "others", "verdict"),
        [
            (UNREACHED, [UNREACHED, REACHED, UNREACHED], PathVerdict.ENDPOINT_UP),
            (NO_PATH, [UNREACHED, NO_PATH], PathVerdict.ENDPOINT_DOWN),
            (UNREACHED, [UNREACHED], PathVerdict.ENDPOINT_DOWN),
            (UNREACHED, [NO_PATH, NO_PATH], PathVerdict.UNDECIDED),
            (UNREACHED, [], PathVerdict.UNDECIDED),
        ],
    )
    def test_evidence_of_other_vms_decides(
        self,
        own: PathObservation,
        others: list[PathObservation],
        verdict: PathVerdict,
    ) -> None:
        assert judge_endpoint(own, others, is_alone=False) is verdict


class TestEndpointPaths:
    def test_paths_are_probed_in_turn(self) -> None:
        paths = EndpointPaths()
        for address in ("a", "b", "gone"):
            paths.record_lost(address)
        probes = [paths.next_probe(["a", "b"]) for _ in range(4)]
        assert probes == ["a", "b", "a", "b"]

    def test_no_path_is_lost_once_all_are_reached(self) -> None:
        paths = EndpointPaths()
        paths.record_lost("a")
        paths.record_lost("b")
        paths.record_reached("a")
        paths.record_reached("b")
        assert paths.next_probe(["a", "b"]) is None
        assert not paths.is_lost("c")


@pytest.mark.parametrize("seed", range(3))
def test_helpers_share_the_load_of_a_zone_that_is_cut_off_but_for_one_vm(
    seed: int,
) -> None:
    """27 VMs need help with 4 tunnels a second each, of 0.5 s; 33 could help."""
    random, clock = Random(seed), ManualClock()
    zones = {f"vm-{i}": i % 2 for i in range(60)}
    cut_off = [vm for vm, zone in zones.items() if zone == 0][:-3]
    helpers_of = {vm: TunnelHelpers(clock, Random(random.random())) for vm in cut_off}
    candidates = {
        vm: [
            TunnelHelper(
                other,
                Distance.SAME_ZONE if zones[other] == zones[vm] else Distance(1),
                cores=1.0,
            )
            for other in zones
            if other not in cut_off
        ]
        for vm in cut_off
    }
    open_tunnels: Counter[str] = Counter()
    most_at_once = 0
    ends: list[tuple[float, str, str]] = []
    for _ in range(27 * 4 * 10):
        clock.advance(1 / (27 * 4))
        while ends and ends[0][0] <= clock.monotonic():
            _, ended_vm, ended_helper = heapq.heappop(ends)
            open_tunnels[ended_helper] -= 1
            helpers_of[ended_vm].end(ended_helper)
        vm = random.choice(cut_off)
        helper = helpers_of[vm].choose(candidates[vm], exclude=())
        assert helper is not None
        helpers_of[vm].begin(helper.vm)
        open_tunnels[helper.vm] += 1
        helpers_of[vm].record_report(helper.vm, open_tunnels[helper.vm])
        most_at_once = max(most_at_once, open_tunnels[helper.vm])
        heapq.heappush(ends, (clock.monotonic() + 0.5, vm, helper.vm))
    # Three VMs would have 18 each, and are passed over from 4 on. What a VM knows of
    # others is late, so that more arrive meanwhile.
    assert most_at_once <= 16
