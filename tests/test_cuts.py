"""Network partitions between regions, and processes suspended beyond a lease."""

from __future__ import annotations

import json
from typing import Any

import gevent
from fleets import (
    STUDIO_TOKEN,
    compute_expected_text,
    make_caller,
    make_configuration,
    start_fleet,
)

from sapphirehoist.configuration import Team
from sapphirehoist.testing import (
    Caller,
    Deployment,
    EndpointSpec,
    Relay,
    StreamedResponse,
    free_port,
    read_json,
    wait_until,
)


def test_partition_of_all_regions_heals(deployment: Deployment) -> None:
    relays: dict[str, Relay] = {}
    specs = [EndpointSpec("encoder-1", "encode", "vest", idempotent_calls=["encode"])]
    deployment.start_endpoints(specs)
    for vm, region in (("entry-1", "vest"), ("entry-2", "nord"), ("entry-3", "ost")):

        def use_relay(settings: dict[str, Any], vm: str = vm) -> None:
            peers = settings["peers"]
            relays[vm] = Relay(int(peers["listen"].rsplit(":", 1)[1]), free_port())
            peers["advertise"] = f"tcp://127.0.0.1:{relays[vm].port}"
            peers["seeds"] = []

        deployment.start_daemon(vm, region, use_relay)
    deployment.publish_vm_list()
    deployment.wait_serving()
    assert (
        deployment.commit_config(make_configuration(deployment))["state"] == "accepted"
    )
    for relay in relays.values():
        relay.partition()
    for vm, daemon in deployment.daemons.items():
        own_urls = [daemon.caller_url]
        wait_until(
            lambda vm=vm, own_urls=own_urls: (
                make_caller(deployment, vm).fetch_entries() == own_urls
            ),
            f"{vm} lists only itself as an entry",
        )
    new_team = Team("late", "1" * 64)
    result = deployment.commit_config(
        [new_team], deployment.daemons["entry-1"], wait_s=1.0
    )
    # No member counts as gone while the platform lists its VM.
    assert result["state"] == "committed"
    assert result["missing"] == ["entry-2", "entry-3"]
    for relay in relays.values():
        relay.heal()
    deployment.wait_serving(3)
    path = f"/v1/config/acceptance/{result['version']}?wait_s=20"
    accepted = deployment.call_operator_api(deployment.daemons["entry-2"], "GET", path)
    assert accepted["state"] == "accepted"
    for daemon in deployment.daemons.values():
        config = deployment.call_operator_api(daemon, "GET", "/v1/config")
        assert config["version"] == result["version"]
    for relay in relays.values():
        relay.close()


def test_entry_is_suspended_during_a_stream(deployment: Deployment) -> None:
    start_fleet(deployment)
    text = "summarise the session tokens=1200"
    progress: list[StreamedResponse] = []
    daemon = deployment.daemons["entry-1"]
    caller = Caller(daemon.caller_url, STUDIO_TOKEN, timeout_s=1.0)
    task = gevent.spawn(caller.stream, "quick", text, on_text=progress.append)
    wait_until(lambda: progress and len(progress[-1].text) > 100, "some text arrived")
    daemon.process.suspend()
    interrupted = task.get()
    assert isinstance(interrupted, StreamedResponse) and not interrupted.is_done
    resume_task = gevent.spawn(make_caller(deployment, "entry-2").resume, interrupted)
    gevent.sleep(0.5)
    daemon.process.resume()
    resumed = resume_task.get()
    assert isinstance(resumed, StreamedResponse)
    assert resumed.is_done
    assert resumed.text == compute_expected_text(text)


def test_lease_holder_is_suspended(deployment: Deployment) -> None:
    start_fleet(deployment, engines=1)
    holder, fencing_token = read_lease(deployment)
    process = deployment.daemons[holder].process
    process.suspend()
    wait_until(
        lambda: read_lease(deployment)[0] != holder, "another VM holds the lease", 40
    )
    successor, new_fencing_token = read_lease(deployment)
    assert new_fencing_token > fencing_token
    process.resume()
    wait_until(
        lambda: any(
            member["vm"] == holder and member["status"] == "alive"
            for member in deployment.call_operator_api(
                deployment.daemons[successor], "GET", "/v1/status"
            )["members"]
        ),
        "the resumed VM is alive again",
    )
    gevent.sleep(3)  # two lease renewals
    assert read_lease(deployment) == (successor, new_fencing_token)


def read_lease(deployment: Deployment) -> tuple[str, int]:
    """Return the VM that holds the lease in the table, and its fencing token."""
    path = "/dump?prefix=lease/"
    rows = wait_until(lambda: read_json(deployment.platform_url, path), "a lease")
    row = json.loads(rows["lease/claim-sweep"])
    return row["holder"].split("/")[0], row["fencing"]
