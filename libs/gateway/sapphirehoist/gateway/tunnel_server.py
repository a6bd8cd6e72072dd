"""Opens connections to endpoints for nodes that have lost their path to them."""

from __future__ import annotations

import gevent
from gevent import socket

from sapphirehoist.decisions import EndpointPaths
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.tunnel_messages import (
    PauseNotification,
    TunnelOutcome,
    TunnelReply,
    TunnelRequest,
    send_data,
)
from sapphirehoist.http1 import EndpointConnector, EndpointSocket, NotSent
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import IncomingStream, PeerBus

_MAX_TUNNELS_PER_CORE = 64
_RECEIVE_BYTES = 65_536
# After the end of the endpoint's bytes, the other node closes the tunnel.
_LINGER_S = 1.0


class TunnelServer:
    """Relays bytes between other nodes and the endpoints that this VM reaches.

    Only connections to known endpoints are opened, and only from this VM itself.

    Parameters
    ----------
    connector : EndpointConnector
        Connects to endpoints from this VM.
    paths : EndpointPaths
        Paths of this VM.
    endpoints : EndpointCandidates
        Knows which endpoints want no requests from this VM.
    directory : EndpointDirectory
        Known endpoints.
    bus : PeerBus
        Receives requests for tunnels.
    cores : float
        Processor cores of this VM; 0 if not known.
    metrics : Metrics
        Receives ``tunnels_served_total``.

    Attributes
    ----------
    open_count : int
        Number of open tunnels through this VM.
    """

    __slots__ = (
        "_connector",
        "_directory",
        "_endpoints",
        "_max_tunnels",
        "_metrics",
        "_paths",
        "open_count",
    )

    def __init__(
        self,
        connector: EndpointConnector,
        paths: EndpointPaths,
        endpoints: EndpointCandidates,
        directory: EndpointDirectory,
        bus: PeerBus,
        cores: float,
        metrics: Metrics,
    ) -> None:
        self._connector = connector
        self._paths = paths
        self._endpoints = endpoints
        self._directory = directory
        self._max_tunnels = _MAX_TUNNELS_PER_CORE * (cores or 1.0)
        self._metrics = metrics
        self.open_count = 0
        bus.subscribe_streams(TunnelRequest, self._handle_request)
        bus.subscribe(PauseNotification, self._handle_pause)

    def _handle_request(
        self, sender: str, request: TunnelRequest, stream: IncomingStream
    ) -> None:
        self.open_count += 1
        sock: EndpointSocket | None = None
        try:
            opened = self._open(request)
            if isinstance(opened, TunnelOutcome):
                self._reply(stream, opened)
                return
            sock = opened
            self._reply(stream, TunnelOutcome.OPENED)
            _relay(sock, stream.sock)
        except OSError:
            return  # the other node has closed the tunnel
        finally:
            self.open_count -= 1
            if sock is not None:
                sock.close()

    def _reply(self, stream: IncomingStream, outcome: TunnelOutcome) -> None:
        self._metrics.count("tunnels_served_total", outcome=outcome.value)
        stream.reply(TunnelReply(outcome, self.open_count))

    def _open(self, request: TunnelRequest) -> EndpointSocket | TunnelOutcome:
        endpoint = self._directory.get(request.endpoint)
        if (
            endpoint is None
            or endpoint.born_ms != request.born_ms
            or not self._endpoints.is_eligible(endpoint, None)
            or self._endpoints.pause_s(endpoint)
            or self.open_count > self._max_tunnels
        ):
            return TunnelOutcome.REFUSED
        if self._paths.is_lost(endpoint.address):
            return TunnelOutcome.NO_PATH
        return self._connect(endpoint)

    def _connect(self, endpoint: EndpointRecord) -> EndpointSocket | TunnelOutcome:
        sock = self._connector.connect(endpoint.address)
        if not isinstance(sock, NotSent):
            self._paths.record_reached(endpoint.address)
            return sock
        if self._paths.is_lost(endpoint.address):
            return TunnelOutcome.NO_PATH
        return TunnelOutcome.UNREACHED

    def _handle_pause(self, sender: str, notification: PauseNotification) -> None:
        endpoint = self._directory.get(notification.endpoint)
        if endpoint is not None and endpoint.born_ms == notification.born_ms:
            self._endpoints.record_pause(endpoint, notification.pause_s)


def _relay(endpoint_sock: EndpointSocket, node_sock: socket.socket) -> None:
    """Relay bytes in both directions until either side closes its connection."""
    upstream = gevent.spawn(_send_to_endpoint, node_sock, endpoint_sock)
    downstream = gevent.spawn(_send_to_node, endpoint_sock, node_sock)
    try:
        gevent.joinall([upstream, downstream], count=1)
        if downstream.ready() and downstream.get():
            upstream.join(_LINGER_S)
    finally:
        gevent.killall([upstream, downstream])


def _send_to_endpoint(node_sock: socket.socket, endpoint_sock: EndpointSocket) -> None:
    try:
        while data := node_sock.recv(_RECEIVE_BYTES):
            endpoint_sock.sendall(data)
    except OSError:
        return


def _send_to_node(endpoint_sock: EndpointSocket, node_sock: socket.socket) -> bool:
    """Send what the endpoint sends; return whether it closed its connection."""
    try:
        while data := endpoint_sock.recv(_RECEIVE_BYTES):
            send_data(node_sock, data)
        send_data(node_sock, b"")
    except OSError:
        return False
    return True
