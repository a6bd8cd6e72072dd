"""HTTP/1.1 server for callers and client for endpoints, based on h11 and gevent."""

from __future__ import annotations

from sapphirehoist.http1.client import (
    Broken,
    EndpointConnections,
    Lost,
    NotSent,
    OutboundRequest,
    Reply,
)
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.http1.server import (
    CallerLeft,
    CallerRequest,
    CallerServer,
    Exchange,
)

__all__ = [
    "Broken",
    "CallerLeft",
    "CallerRequest",
    "CallerServer",
    "EndpointConnections",
    "Exchange",
    "Headers",
    "Lost",
    "NotSent",
    "OutboundRequest",
    "Reply",
    "RequestHead",
    "ResponseHead",
]
