"""Client of model engines, pools and plain services; tracking of leaving endpoints."""

from __future__ import annotations

from sapphirehoist.endpoints.client import (
    Answered,
    CallOutcome,
    EndpointClient,
    EndpointSigns,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    StreamBroken,
    StreamResume,
    TimedOut,
)
from sapphirehoist.endpoints.http import HttpEndpointClient
from sapphirehoist.endpoints.standing import EndpointStanding, EndpointStatus
from sapphirehoist.endpoints.watch import VmListWatch

__all__ = [
    "Answered",
    "CallOutcome",
    "EndpointClient",
    "EndpointSigns",
    "EndpointStanding",
    "EndpointStatus",
    "HttpEndpointClient",
    "Lost",
    "NotSent",
    "Refused",
    "StageCall",
    "Stream",
    "StreamBroken",
    "StreamResume",
    "TimedOut",
    "VmListWatch",
]
