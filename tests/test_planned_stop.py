"""Graceful shutdown and replacement of VMs interrupt no request."""

from __future__ import annotations

import gevent
import pytest
from fleets import STUDIO_TOKEN, compute_expected_text, make_caller, start_fleet

from sapphirehoist.testing import (
    Caller,
    Deployment,
    Response,
    StreamedResponse,
    post_control,
    read_json,
    wait_until,
)

STOP_TIMEOUT_S = 30
LONG_PROMPT = "summarise the session tokens=400"


@pytest.fixture(autouse=True)
def fleet(deployment: Deployment) -> None:
    start_fleet(deployment)


def read_roster(deployment: Deployment) -> set[str]:
    rows = read_json(deployment.platform_url, "/dump?prefix=roster/")
    return {key.removeprefix("roster/") for key in rows}


def test_stream_in_flight_completes(deployment: Deployment) -> None:
    progress: list[StreamedResponse] = []
    caller = make_caller(deployment, "entry-1")
    task = gevent.spawn(caller.stream, "quick", LONG_PROMPT, on_text=progress.append)
    wait_until(lambda: progress and progress[-1].text, "the stream has begun")
    process = deployment.daemons["entry-1"].process
    process.terminate()
    response = task.get()
    assert isinstance(response, StreamedResponse)
    assert response.is_done
    assert response.text == compute_expected_text(LONG_PROMPT)
    assert process.wait(STOP_TIMEOUT_S) == 0
    assert read_roster(deployment) == {"entry-2", "entry-3"}


def test_callers_are_redirected_to_other_entries(deployment: Deployment) -> None:
    daemon = deployment.daemons["entry-1"]
    task = gevent.spawn(make_caller(deployment, "entry-1").stream, "quick", LONG_PROMPT)
    wait_until(
        lambda: deployment.call_operator_api(daemon, "GET", "/v1/status")["under_way"],
        "the stream has begun",
    )
    daemon.process.terminate()
    other = make_caller(deployment, "entry-2")
    wait_until(
        lambda: daemon.caller_url not in other.fetch_entries(),
        "entry-1 is absent from the entries",
    )
    # A caller with a cached entry list is served at first, then referred to others.
    responses: list[Response] = []

    def is_refused() -> bool:
        responses.append(make_caller(deployment, "entry-1").submit("quick", "x"))
        return responses[-1].status != 200

    wait_until(is_refused, "entry-1 refuses requests")
    assert all(r.body == compute_expected_text("x") for r in responses[:-1])
    assert responses[-1].reason == "stopping"
    assert b"entries" in responses[-1].body
    response = task.get()
    assert isinstance(response, StreamedResponse) and response.is_done


def test_table_is_down_during_the_shutdown(deployment: Deployment) -> None:
    caller = make_caller(deployment, "entry-1")
    task = gevent.spawn(caller.stream, "quick", LONG_PROMPT)
    gevent.sleep(0.3)
    post_control(deployment.platform_url, down=True)
    process = deployment.daemons["entry-1"].process
    process.terminate()
    response = task.get()
    assert isinstance(response, StreamedResponse) and response.is_done
    assert process.wait(STOP_TIMEOUT_S) == 0
    post_control(deployment.platform_url, down=False)
    # entry-1 could not delete its roster entry; the platform's VM list shows it gone.
    assert "entry-1" in read_roster(deployment)
    deployment.publish_vm_list(absent=["entry-1"])
    wait_until(
        lambda: "entry-1" not in read_roster(deployment),
        "entry-1 is removed from the roster",
    )


def test_reservation_in_flight_completes_and_is_stored(
    deployment: Deployment,
) -> None:
    service = deployment.endpoints["reservations-1"].url
    post_control(service, delay_s=1.5)
    caller = make_caller(deployment, "entry-1")
    task = gevent.spawn(caller.submit, "reserve", "booth 7", key="k")
    wait_until(
        lambda: read_json(deployment.platform_url, "/dump?prefix=claim/"),
        "the claim is in the table",
    )
    process = deployment.daemons["entry-1"].process
    process.terminate()
    first = task.get()
    assert first.outcome == "done"
    assert process.wait(STOP_TIMEOUT_S) == 0
    repeated = make_caller(deployment, "entry-2").submit("reserve", "booth 7", key="k")
    assert (repeated.outcome, repeated.body) == ("done", first.body)
    assert len(read_json(service, "/record")) == 1


def test_rolling_replacement_of_all_vms_under_load(deployment: Deployment) -> None:
    load = CheckedLoad(deployment)
    tasks = [gevent.spawn(load.run, number) for number in range(6)]
    for number in (1, 2, 3):
        old = deployment.daemons.pop(f"entry-{number}")
        new = deployment.start_daemon(f"entry-{number + 3}", "vest")
        deployment.publish_vm_list()
        deployment.wait_serving(len(deployment.daemons))
        load.url = new.caller_url
        old.process.terminate()
        assert old.process.wait(STOP_TIMEOUT_S) == 0
    load.is_stopped = True
    gevent.joinall(tasks)
    assert load.wrong_responses == []
    assert load.response_count > 20
    assert read_roster(deployment) == {"entry-4", "entry-5", "entry-6"}


class CheckedLoad:
    """Load generator that discovers its entry VM and checks every response."""

    def __init__(self, deployment: Deployment) -> None:
        self.url = deployment.daemons["entry-1"].caller_url
        self.is_stopped = False
        self.response_count = 0
        self.wrong_responses: list[object] = []

    def run(self, number: int) -> None:
        """Send streaming requests one after another until `is_stopped` is set."""
        sequence = 0
        while not self.is_stopped:
            sequence += 1
            entry = Caller(self.url, STUDIO_TOKEN).fetch_entries()[0]
            text = f"question {number} {sequence} tokens=60"
            response = Caller(entry, STUDIO_TOKEN).stream("quick", text)
            is_complete = isinstance(response, StreamedResponse) and response.is_done
            if is_complete and response.text == compute_expected_text(text):  # type: ignore[union-attr]
                self.response_count += 1
            else:
                self.wrong_responses.append(response)
