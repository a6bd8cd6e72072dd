"""Client of model engines, pools and plain services; tracking of leaving endpoints."""

from __future__ import annotations

from sapphirehoist.endpoints.client import (
    FINAL_EVENT,
    Answered,
    CallOutcome,
    EndpointClient,
    EndpointReport,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    StreamBroken,
    StreamResumeCall,
    TimedOut,
)
from sapphirehoist.endpoints.http import HttpEndpointClient
from sapphirehoist.endpoints.statuses import EndpointStatus, EndpointStatuses
from sapphirehoist.endpoints.vm_list_poller import VmListPoller

__all__ = [
    "FINAL_EVENT",
    "Answered",
    "CallOutcome",
    "EndpointClient",
    "EndpointReport",
    "EndpointStatus",
    "EndpointStatuses",
    "HttpEndpointClient",
    "Lost",
    "NotSent",
    "Refused",
    "StageCall",
    "Stream",
    "StreamBroken",
    "StreamResumeCall",
    "TimedOut",
    "VmListPoller",
]
