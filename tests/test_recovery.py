"""Simultaneous failures of VMs, table and endpoints, as callers see them."""

from __future__ import annotations

import pytest
from fleets import STUDIO_TOKEN, compute_expected_text, make_caller, start_fleet

from sapphirehoist.testing import (
    Caller,
    Deployment,
    post_control,
    read_json,
    wait_until,
)


@pytest.fixture(autouse=True)
def fleet(deployment: Deployment) -> None:
    start_fleet(deployment, daemons=4)


def fetch_entries(deployment: Deployment, vm: str) -> set[str]:
    return set(make_caller(deployment, vm).fetch_entries())


def get_caller_urls(deployment: Deployment, *vms: str) -> set[str]:
    return {deployment.daemons[vm].caller_url for vm in vms}


def test_half_of_the_vms_are_killed(deployment: Deployment) -> None:
    for vm in ("entry-1", "entry-2"):
        deployment.daemons[vm].process.kill()
    remaining_urls = get_caller_urls(deployment, "entry-3", "entry-4")
    wait_until(
        lambda: fetch_entries(deployment, "entry-3") == remaining_urls,
        "the killed VMs are no longer entries",
    )
    for number in range(10):
        text = f"question {number}"
        response = make_caller(deployment, f"entry-{3 + number % 2}").submit(
            "quick", text
        )
        assert response.body == compute_expected_text(text)
    for vm in ("entry-1", "entry-2"):
        deployment.restart_daemon(vm)
    deployment.wait_serving(4)
    assert len(fetch_entries(deployment, "entry-1")) == 4


def test_half_of_the_vms_are_killed_while_the_table_is_down(
    deployment: Deployment,
) -> None:
    post_control(deployment.platform_url, down=True)
    for vm in ("entry-1", "entry-2"):
        deployment.daemons[vm].process.kill()
    response = make_caller(deployment, "entry-3").submit("quick", "x")
    assert response.body == compute_expected_text("x")
    refused = make_caller(deployment, "entry-3").submit("reserve", "booth 7", key="k")
    assert (refused.outcome, refused.reason) == ("not_run", "store_unavailable")
    for vm in ("entry-1", "entry-2"):
        deployment.restart_daemon(vm)
    deployment.wait_serving(4)
    post_control(deployment.platform_url, down=False)
    done = make_caller(deployment, "entry-1").submit("reserve", "booth 7", key="k")
    assert done.outcome == "done"
    record = read_json(deployment.endpoints["reservations-1"].url, "/record")
    assert len(record) == 1


def test_engine_is_killed(deployment: Deployment) -> None:
    deployment.stand_ins["engine-1"].kill()
    for number in range(20):
        text = f"question {number}"
        response = make_caller(deployment, f"entry-{1 + number % 4}").submit(
            "quick", text
        )
        assert response.body == compute_expected_text(text)


def test_suspended_vm_rejoins(deployment: Deployment) -> None:
    process = deployment.daemons["entry-1"].process
    process.suspend()
    other_urls = get_caller_urls(deployment, "entry-2", "entry-3", "entry-4")
    wait_until(
        lambda: fetch_entries(deployment, "entry-2") == other_urls,
        "the suspended VM is no longer an entry",
    )
    process.resume()
    all_urls = other_urls | get_caller_urls(deployment, "entry-1")
    wait_until(
        lambda: fetch_entries(deployment, "entry-2") == all_urls,
        "the resumed VM is an entry again",
    )
    assert Caller(deployment.daemons["entry-1"].caller_url, STUDIO_TOKEN).submit(
        "quick", "x"
    ).body == compute_expected_text("x")


def test_leaving_endpoint_is_avoided_by_all_nodes(deployment: Deployment) -> None:
    """One refusal makes every node avoid the endpoint, and no request fails."""
    url = deployment.endpoints["engine-1"].url
    post_control(url, leaving=True)
    for number in range(8):
        response = make_caller(deployment, "entry-1").submit(
            "quick", f"question {number}"
        )
        assert response.status == 200
    for vm, daemon in deployment.daemons.items():
        wait_until(
            lambda d=daemon: (
                "engine-1"
                in deployment.call_operator_api(d, "GET", "/v1/status")[
                    "leaving_endpoints"
                ]
            ),
            f"{vm} knows that engine-1 is leaving",
        )
    # From here on, a call to engine-1 would be recorded as an execution.
    post_control(url, leaving=False)
    executions_before = len(read_json(url, "/record"))
    for number in range(8):
        vm = f"entry-{1 + number % 4}"
        assert (
            make_caller(deployment, vm).submit("quick", f"later {number}").status == 200
        )
    assert len(read_json(url, "/record")) == executions_before
