"""The platform's table is restored from an older copy while daemons run."""

from __future__ import annotations

import gevent
import pytest
from fleets import make_caller, make_configuration, start_fleet

from sapphirehoist.configuration import Team
from sapphirehoist.testing import (
    Deployment,
    Response,
    post_control,
    read_json,
    wait_until,
)


@pytest.fixture(autouse=True)
def fleet(deployment: Deployment) -> None:
    start_fleet(deployment, engines=1)


def submit(deployment: Deployment, vm: str, key: str, **fields: int) -> Response:
    return make_caller(deployment, vm).submit("reserve", "booth 7", key=key, **fields)


def count_executions(deployment: Deployment, key: str) -> int:
    record = read_json(deployment.endpoints["reservations-1"].url, "/record")
    return sum(execution["key"] == key for execution in record)


def test_reservation_of_a_lost_claim_does_not_run_again(deployment: Deployment) -> None:
    post_control(deployment.platform_url, copy=True)
    first = submit(deployment, "entry-1", "k")
    assert first.outcome == "done"
    post_control(deployment.platform_url, restore=True)
    answers = []

    def submit_until_done() -> bool:
        answers.append(submit(deployment, "entry-2", "k", deadline_ms=2000))
        return answers[-1].outcome == "done"

    # The other entry notices the restore first.
    assert submit(deployment, "entry-2", "k", deadline_ms=2000).outcome == "not_run"
    wait_until(submit_until_done, "the stored answer")
    assert {answer.outcome for answer in answers} <= {"not_run", "done"}
    assert answers[-1].body == first.body
    assert count_executions(deployment, "k") == 1


def test_reservation_under_way_during_the_restore_runs_once(
    deployment: Deployment,
) -> None:
    post_control(deployment.endpoints["reservations-1"].url, delay_s=1.0)
    post_control(deployment.platform_url, copy=True)
    under_way = gevent.spawn(submit, deployment, "entry-1", "k")
    wait_until(
        lambda: read_json(deployment.platform_url, "/dump?prefix=claim/"), "the claim"
    )
    post_control(deployment.platform_url, restore=True)
    assert under_way.get().outcome == "done"

    def repeat() -> bool:
        answer = submit(deployment, "entry-3", "k", deadline_ms=2000)
        return answer.outcome == "done"

    wait_until(repeat, "the stored answer")
    assert count_executions(deployment, "k") == 1


def test_configuration_in_force_is_committed_again(deployment: Deployment) -> None:
    post_control(deployment.platform_url, copy=True)
    team = Team("late-team", "f" * 64)
    accepted = deployment.commit_config([*make_configuration(deployment), team])
    assert accepted["state"] == "accepted"
    post_control(deployment.platform_url, restore=True)
    # A request that needs the table makes its entry notice the restore.
    submit(deployment, "entry-1", "k", deadline_ms=1000)
    wait_until(
        lambda: any(
            "late-team" in key
            for key in read_json(
                deployment.platform_url, "/dump?prefix=config/current/"
            )
        ),
        "the lost version is in the table again",
    )
