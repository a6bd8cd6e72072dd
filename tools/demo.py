"""End-to-end demo on loopback: daemons in three regions, and stand-ins."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402
from hashlib import sha256  # noqa: E402
from pathlib import Path  # noqa: E402

from sapphirehoist.configuration import (  # noqa: E402
    ClassOfWork,
    ConfigObject,
    EndpointKind,
    Pipeline,
    Stage,
    Team,
)
from sapphirehoist.standins.engine import (  # noqa: E402
    compute_stage_output,
    generate_tokens,
)
from sapphirehoist.testing import (  # noqa: E402
    Caller,
    Deployment,
    EndpointSpec,
    StreamedResponse,
    read_json,
)

REGIONS = ("montreal", "quebec", "sherbrooke")
STAGES = ("encode", "retrieve", "rerank")
TOKEN = "token-of-the-studio"


def main() -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            _run_demo(deployment)
        except AssertionError as exc:
            print(f"demo: failed: {exc}")
            return 1
        finally:
            deployment.close()
    print("demo: ok")
    return 0


def _run_demo(deployment: Deployment) -> None:
    deployment.start_platform()
    deployment.start_endpoints(_make_endpoint_specs())
    for number, region in enumerate(REGIONS, start=1):
        deployment.start_daemon(f"entry-{number}", region)
    deployment.publish_vm_list()
    deployment.wait_serving()
    pids = [daemon.process.pid for daemon in deployment.daemons.values()]
    print(f"three daemons in {', '.join(REGIONS)}: pids {pids}")
    result = deployment.commit_config(_make_configuration(deployment))
    assert result["state"] == "accepted", result
    print(f"configuration: version {result['version']} is in force on every VM")
    caller = Caller(deployment.daemons["entry-1"].caller_url, TOKEN)
    entries = caller.fetch_entries()
    assert len(entries) == 3, entries
    print(f"entries to use: {', '.join(entries)}")
    _check_stream(caller, entries[0])
    _check_at_most_once(deployment, caller, entries)
    _check_target_change(deployment)


def _check_stream(caller: Caller, entry: str) -> None:
    text = "which microphone suits a loud room? tokens=40"
    response = caller.stream("quick", text, entry)
    assert isinstance(response, StreamedResponse), response
    body = text.encode()
    for stage in STAGES:
        body = compute_stage_output(stage, body)
    expected = "".join(generate_tokens(body)).encode()
    assert response.is_done, response
    assert response.text == expected, (
        "the response differs from the output of the engine"
    )
    print(f"streamed {len(response.text)} bytes through four stages, byte for byte")


def _check_at_most_once(
    deployment: Deployment, caller: Caller, entries: list[str]
) -> None:
    for entry in entries:
        response = caller.submit("reserve", "booth 7 at 10:00", entry, key="booking-1")
        assert response.status == 200, response
        print(f"reservation at {entry}: {response.body.decode()}")
    executions = read_json(deployment.endpoints["reservations-1"].url, "/record")
    assert len(executions) == 1, executions
    print("three submissions with one key: the reservation ran once")


def _check_target_change(deployment: Deployment) -> None:
    changed = ClassOfWork("quick", "answers", 2500)
    daemon_for_change = deployment.daemons["entry-3"]
    result = deployment.commit_config([changed], daemon_for_change)
    assert result["state"] == "accepted", result
    for daemon in deployment.daemons.values():
        config = deployment.call_operator_api(daemon, "GET", "/v1/config")
        assert config["version"] == result["version"], (daemon.vm, config["version"])
    print(
        f"latency target changed: version {result['version']} is in force on every VM"
    )


def _make_endpoint_specs() -> list[EndpointSpec]:
    specs = [
        EndpointSpec(f"{stage}r-{region}", stage, region, idempotent_calls=[stage])
        for stage in STAGES
        for region in REGIONS[:1]
    ]
    specs += [
        EndpointSpec(
            f"engine-{region}",
            "assistant",
            region,
            EndpointKind.ENGINE,
            idempotent_calls=["generate"],
        )
        for region in REGIONS
    ]
    service = EndpointKind.SERVICE
    specs.append(EndpointSpec("reservations-1", "reservations", REGIONS[0], service))
    return specs


def _make_configuration(deployment: Deployment) -> list[ConfigObject]:
    stages = [Stage(name, name) for name in STAGES]
    stages.append(Stage("generate", "assistant", streams=True))
    return [
        Team("studio", sha256(TOKEN.encode()).hexdigest()),
        Pipeline("answers", stages),
        Pipeline("reservations", [Stage("reserve", "reservations")]),
        ClassOfWork("quick", "answers", 3000),
        ClassOfWork("reserve", "reservations", 2000),
        *deployment.endpoints.values(),
    ]


if __name__ == "__main__":
    sys.exit(main())
