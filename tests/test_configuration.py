"""Configuration across processes: racing operators, suspended VMs, table outages."""

from __future__ import annotations

from uuid import uuid4

import gevent
import pytest
from fleets import make_caller, start_fleet

from sapphirehoist.testing import Deployment, post_control, read_json, wait_until


@pytest.fixture(autouse=True)
def fleet(deployment: Deployment) -> None:
    start_fleet(deployment, engines=1)


def commit_target(
    deployment: Deployment, vm: str, target_ms: int, wait_s: float
) -> dict:
    """Commit a latency target of class ``quick``, based on version 1, at `vm`."""
    put = {
        "type": "class_of_work",
        "name": "quick",
        "pipeline": "answers",
        "target_ms": target_ms,
    }
    body = {"change_id": uuid4().hex, "expected_version": 1, "puts": [put]}
    path = f"/v1/config/changes?wait_s={wait_s}"
    return deployment.call_operator_api(deployment.daemons[vm], "POST", path, body)


def read_target(deployment: Deployment, vm: str) -> int:
    snapshot = deployment.call_operator_api(deployment.daemons[vm], "GET", "/v1/config")
    quick = [obj for obj in snapshot["objects"] if obj.get("name") == "quick"]
    return quick[0]["target_ms"]


def test_one_of_two_concurrent_changes_is_accepted(deployment: Deployment) -> None:
    post_control(deployment.platform_url, slow_s=0.1)
    tasks = [
        gevent.spawn(commit_target, deployment, vm, target, 10)
        for vm, target in (("entry-1", 1111), ("entry-2", 2222))
    ]
    gevent.joinall(tasks)
    states = sorted(task.value["state"] for task in tasks)
    assert states == ["accepted", "conflict"]
    winner = 1111 if tasks[0].value["state"] == "accepted" else 2222
    assert {read_target(deployment, vm) for vm in deployment.daemons} == {winner}


def test_commit_with_a_lost_response_is_accepted(deployment: Deployment) -> None:
    post_control(deployment.platform_url, lose_answers=1)
    assert commit_target(deployment, "entry-1", 1234, 10)["state"] == "accepted"
    history = deployment.call_operator_api(
        deployment.daemons["entry-2"], "GET", "/v1/config/history"
    )
    assert [entry["version"] for entry in history] == [1, 2]


def test_acceptance_waits_for_a_suspended_vm(deployment: Deployment) -> None:
    suspended_process = deployment.daemons["entry-3"].process
    suspended_process.suspend()
    result = commit_target(deployment, "entry-1", 1234, 6)
    assert (result["state"], result["missing"]) == ("committed", ["entry-3"])
    suspended_process.resume()
    path = "/v1/config/acceptance/2?wait_s=15"
    result = deployment.call_operator_api(deployment.daemons["entry-2"], "GET", path)
    assert result["state"] == "accepted"
    assert read_target(deployment, "entry-3") == 1234


def test_daemon_starts_while_the_table_is_down(deployment: Deployment) -> None:
    post_control(deployment.platform_url, down=True)
    deployment.start_daemon("entry-4", "vest")
    deployment.wait_serving(4)
    assert make_caller(deployment, "entry-4").submit("quick", "x").status == 200
    post_control(deployment.platform_url, down=False)
    dump = "/dump?prefix=roster/"
    wait_until(
        lambda: "roster/entry-4" in read_json(deployment.platform_url, dump),
        "entry-4 is on the roster",
    )
    assert commit_target(deployment, "entry-4", 1234, 10)["state"] == "accepted"
    assert read_target(deployment, "entry-1") == 1234


def test_committing_daemon_is_killed_after_the_commit(deployment: Deployment) -> None:
    deployment.daemons["entry-3"].process.suspend()
    assert commit_target(deployment, "entry-1", 1234, 0.2)["state"] == "committed"
    deployment.daemons["entry-1"].process.kill()
    deployment.daemons["entry-3"].process.resume()
    wait_until(
        lambda: read_target(deployment, "entry-3") == 1234, "the change is in force"
    )
    path = "/v1/config/acceptance/2?wait_s=2"
    second = deployment.daemons["entry-2"]
    assert deployment.call_operator_api(second, "GET", path)["missing"] == ["entry-1"]
    deployment.restart_daemon("entry-1")
    path = "/v1/config/acceptance/2?wait_s=20"
    assert deployment.call_operator_api(second, "GET", path)["state"] == "accepted"
