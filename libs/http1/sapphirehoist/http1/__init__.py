"""HTTP/1.1 server for callers and client for endpoints, based on h11 and gevent.

Also the connection pools of all other clients, which use urllib3.
"""

from __future__ import annotations

from sapphirehoist.http1.allocator import return_large_buffers
from sapphirehoist.http1.caller_request import (
    CallerDisconnected,
    CallerRequest,
    ReadLimits,
)
from sapphirehoist.http1.client import (
    EndpointConnectionPool,
    EndpointResponse,
    Lost,
    OutboundRequest,
    TruncatedBody,
)
from sapphirehoist.http1.connector import (
    EndpointConnector,
    EndpointSocket,
    NotSent,
    TcpConnector,
)
from sapphirehoist.http1.exchange import Exchange
from sapphirehoist.http1.held_memory import BudgetedRequestMemory, RequestMemory
from sapphirehoist.http1.messages import Headers, RequestHead, ResponseHead
from sapphirehoist.http1.server import CallerServer
from sapphirehoist.http1.whole_responses import (
    WholeHeadConnection,
    WholeHeadPoolManager,
    WholeHeadTlsConnection,
    WholeResponse,
    is_framed,
    read_whole,
)
from sapphirehoist.http1.wsgi import WsgiHandler

__all__ = [
    "BudgetedRequestMemory",
    "CallerDisconnected",
    "CallerRequest",
    "CallerServer",
    "EndpointConnectionPool",
    "EndpointConnector",
    "EndpointResponse",
    "EndpointSocket",
    "Exchange",
    "Headers",
    "Lost",
    "NotSent",
    "OutboundRequest",
    "ReadLimits",
    "RequestHead",
    "RequestMemory",
    "ResponseHead",
    "TcpConnector",
    "TruncatedBody",
    "WholeHeadConnection",
    "WholeHeadPoolManager",
    "WholeHeadTlsConnection",
    "WholeResponse",
    "WsgiHandler",
    "is_framed",
    "read_whole",
    "return_large_buffers",
]
