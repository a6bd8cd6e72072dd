"""Test tools: deployments and fleets, stand-ins, fakes of interfaces, and a client."""

from __future__ import annotations

from sapphirehoist.testing.caller import Caller, Response, StreamedResponse
from sapphirehoist.testing.control import post_control, read_json
from sapphirehoist.testing.cut_replies import CutReplies, Ending
from sapphirehoist.testing.deployment import Daemon, Deployment, EndpointSpec
from sapphirehoist.testing.endless_replies import (
    ENDLESS_REPLIES,
    ENDLESS_STREAMS,
    EndlessReplies,
    call_beside_another_task,
)
from sapphirehoist.testing.fakes import FakeEndpointClient, FakeVmList, FaultyTable
from sapphirehoist.testing.in_process import InProcessFleet
from sapphirehoist.testing.ports import free_port
from sapphirehoist.testing.processes import ManagedProcess
from sapphirehoist.testing.relay import Relay
from sapphirehoist.testing.wait import wait_until

__all__ = [
    "ENDLESS_REPLIES",
    "ENDLESS_STREAMS",
    "Caller",
    "CutReplies",
    "Daemon",
    "Deployment",
    "Ending",
    "EndlessReplies",
    "EndpointSpec",
    "FakeEndpointClient",
    "FakeVmList",
    "FaultyTable",
    "InProcessFleet",
    "ManagedProcess",
    "Relay",
    "Response",
    "StreamedResponse",
    "call_beside_another_task",
    "free_port",
    "post_control",
    "read_json",
    "wait_until",
]
