"""Non-idempotent calls run at most once, and calls reported as not run did not run.

The service stand-in counts executions, independently of the daemons.
"""

from __future__ import annotations

import time

import gevent
import pytest
from fleets import make_caller, start_fleet

from sapphirehoist.testing import (
    Deployment,
    Response,
    post_control,
    read_json,
    wait_until,
)

SUSPENSION_S = 4.0  # exceeds the age at which a claim is too old to send


class TestReservation:
    @pytest.fixture(autouse=True)
    def fleet(self, deployment: Deployment) -> None:
        start_fleet(deployment, engines=1)
        self.deployment = deployment
        self.service = deployment.endpoints["reservations-1"].url

    def submit(
        self, vm: str, key: str, text: str = "booth 7", **fields: int
    ) -> Response:
        caller = make_caller(self.deployment, vm)
        return caller.submit("reserve", text, key=key, **fields)

    def count_executions(self, key: str) -> int:
        record = read_json(self.service, "/record")
        return sum(execution["key"] == key for execution in record)

    def read_claim_rows(self) -> dict[str, str]:
        return read_json(self.deployment.platform_url, "/dump?prefix=claim/")

    def test_entry_is_killed_during_the_call(self) -> None:
        post_control(self.service, delay_s=1.0)
        interrupted = gevent.spawn(self.submit, "entry-1", "k", deadline_ms=4000)
        wait_until(self.read_claim_rows, "the claim is in the table")
        gevent.sleep(0.3)
        self.deployment.daemons["entry-1"].process.kill()
        assert interrupted.get().status == 0
        response = self.submit("entry-2", "k", deadline_ms=3000)
        assert response.outcome == "unknown"
        assert self.count_executions("k") == 1
        assert self.submit("entry-3", "k", deadline_ms=1000).outcome == "unknown"
        assert self.count_executions("k") == 1

    def test_response_of_the_service_is_lost(self) -> None:
        post_control(self.service, drop_answers=1)
        assert self.submit("entry-1", "k").outcome == "unknown"
        assert self.submit("entry-2", "k").outcome == "unknown"
        assert self.count_executions("k") == 1

    def test_service_refuses_connections(self) -> None:
        self.deployment.stand_ins["reservations-1"].kill()
        response = self.submit("entry-1", "k")
        assert (response.outcome, response.reason) == ("not_run", "endpoint_failed")
        assert "retry-after" in response.headers
        wait_until(lambda: not self.read_claim_rows(), "the key can be used again")

    def test_responses_of_the_table_are_lost(self) -> None:
        post_control(self.deployment.platform_url, lose_answers=3)
        first = self.submit("entry-1", "k")
        assert first.outcome == "done"
        second = self.submit("entry-2", "k")
        assert (second.outcome, second.body) == ("done", first.body)
        assert self.count_executions("k") == 1

    def test_table_is_down(self) -> None:
        post_control(self.deployment.platform_url, down=True)
        response = self.submit("entry-1", "k")
        assert (response.outcome, response.reason) == ("not_run", "store_unavailable")
        assert self.count_executions("k") == 0
        post_control(self.deployment.platform_url, down=False)
        assert self.submit("entry-2", "k").outcome == "done"
        assert self.count_executions("k") == 1

    def test_entry_is_suspended_between_claim_and_call(self) -> None:
        post_control(self.deployment.platform_url, slow_s=0.8)
        delayed = gevent.spawn(self.submit, "entry-1", "k", deadline_ms=20_000)
        gevent.sleep(0.2)
        # The transaction of the claim is in flight; its response arrives during the
        # suspension.
        process = self.deployment.daemons["entry-1"].process
        process.suspend()
        wait_until(self.read_claim_rows, "the claim is in the table")
        time.sleep(SUSPENSION_S)
        post_control(self.deployment.platform_url, slow_s=0.0)
        process.resume()
        response = delayed.get()
        # Either the lost response or the age of the claim prevents the call.
        assert response.outcome == "not_run"
        assert response.reason in ("claim_expired", "store_unavailable")
        assert self.count_executions("k") == 0
        wait_until(lambda: not self.read_claim_rows(), "the key can be used again")
        assert self.submit("entry-2", "k").outcome == "done"
        assert self.count_executions("k") == 1

    def test_concurrent_submissions_of_a_key_with_lost_table_responses(self) -> None:
        post_control(self.service, delay_s=0.2)
        post_control(self.deployment.platform_url, lose_answers=4)
        vms = list(self.deployment.daemons)
        tasks = [gevent.spawn(self.submit, vm, "k") for vm in vms for _ in range(4)]
        gevent.joinall(tasks)
        outcomes = {task.value.outcome for task in tasks}
        assert outcomes <= {"done", "unknown"}
        assert self.count_executions("k") == 1

    def test_key_with_a_different_body_is_refused(self) -> None:
        assert self.submit("entry-1", "k", "booth 7").outcome == "done"
        response = self.submit("entry-2", "k", "booth 8")
        assert (response.status, response.reason) == (422, "key_reused")
        assert self.count_executions("k") == 1
