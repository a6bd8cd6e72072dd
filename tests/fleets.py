"""Small fleet with a streaming pipeline, a reservation service and two teams."""

from __future__ import annotations

from hashlib import sha256

from sapphirehoist.configuration import (
    ClassOfWork,
    ConfigObject,
    EndpointKind,
    Pipeline,
    Stage,
    Team,
)
from sapphirehoist.standins.engine import compute_stage_output, generate_tokens
from sapphirehoist.testing import Caller, Deployment, EndpointSpec

STUDIO_TOKEN = "token-of-the-studio"
DEPOT_TOKEN = "token-of-the-depot"


def start_fleet(deployment: Deployment, daemons: int = 3, engines: int = 2) -> None:
    """Start endpoints and daemons in one region and configure them."""
    specs = [EndpointSpec("encoder-1", "encode", "vest", idempotent_calls=["encode"])]
    specs += [
        EndpointSpec(
            f"engine-{number}",
            "assistant",
            "vest",
            EndpointKind.ENGINE,
            idempotent_calls=["generate"],
        )
        for number in range(1, engines + 1)
    ]
    service = EndpointKind.SERVICE
    specs.append(EndpointSpec("reservations-1", "reservations", "vest", service))
    deployment.start_endpoints(specs)
    for number in range(1, daemons + 1):
        deployment.start_daemon(f"entry-{number}", "vest")
    deployment.publish_vm_list()
    deployment.wait_serving()
    result = deployment.commit_config(make_configuration(deployment))
    assert result["state"] == "accepted", result


def make_configuration(deployment: Deployment) -> list[ConfigObject]:
    """Return classes of work, pipelines, teams and the started endpoints."""
    stages = [Stage("encode", "encode"), Stage("generate", "assistant", streams=True)]
    return [
        Team("studio", sha256(STUDIO_TOKEN.encode()).hexdigest()),
        Team("depot", sha256(DEPOT_TOKEN.encode()).hexdigest()),
        Pipeline("answers", stages),
        Pipeline("reservations", [Stage("reserve", "reservations")]),
        ClassOfWork("quick", "answers", 5000),
        ClassOfWork("reserve", "reservations", 5000),
        *deployment.endpoints.values(),
    ]


def make_caller(deployment: Deployment, vm: str, token: str = STUDIO_TOKEN) -> Caller:
    """Return a caller of the daemon on `vm`."""
    return Caller(deployment.daemons[vm].caller_url, token)


def compute_expected_text(text: str) -> bytes:
    """Return the text that the engine generates for a request of class ``quick``."""
    body = compute_stage_output("encode", text.encode())
    return "".join(generate_tokens(body)).encode()
