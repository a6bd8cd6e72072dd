"""HTTP/1.1 server for callers, with strict parsing and disconnect detection.

A connection serves one request at a time; its handler is interrupted when the caller
closes the connection. The number of connections, and the memory of all of them, are
bounded.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.server import StreamServer

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    ConnectionPhase,
    LongestWaitingGivesWay,
    OpenConnections,
)
from sapphirehoist.http1.caller_connection import CallerConnection, ConnectionOwner
from sapphirehoist.http1.caller_request import (
    CallerDisconnected,
    CallerRequest,
    ReadLimits,
)
from sapphirehoist.http1.connection_limits import (
    CONNECTION_BYTES,
    KERNEL_RECEIVE_BYTES,
    TLS_CONNECTION_BYTES,
)
from sapphirehoist.http1.exchange import Exchange
from sapphirehoist.http1.held_memory import RequestMemory
from sapphirehoist.observability import Metrics
from sapphirehoist.sockets import ConnectionCounts, WorkTurns

_ACCEPT_BACKLOG = 1_024
# Accepted at a time, so that connections that give way are closed in between.
_MAX_ACCEPTED_AT_A_TIME = 8

RequestHandler = Callable[[CallerRequest, Exchange], None]


class CallerServer(ConnectionOwner):
    """Accepts callers' connections at one address, with one task per connection.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Handles one request and responds through its `Exchange`.
    limits : callable
        Returns the limits in force.
    clock : Clock
        Gives the arrival times of requests.
    metrics : Metrics
        Counts ``caller_*_total``.
    request_memory : RequestMemory or None
        Memory of all connections and requests together; None for no limit.
    max_connections : int or None
        Largest number of connections; None for a share of the process's descriptors.
    tls : SSLContext or None
        Certificate of the server; None for plain TCP.
    interrupts_handlers : bool
        Whether the handler is interrupted when its caller closes the connection.

    Attributes
    ----------
    is_closing : bool
        Whether each connection is closed after its next response.
    """

    __slots__ = (
        "_connection_bytes",
        "_clock",
        "_connections",
        "_handler",
        "_limits",
        "_metrics",
        "_open",
        "_server",
        "_tls",
        "interrupts_handlers",
        "is_closing",
        "request_memory",
        "turns",
    )

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        limits: Callable[[], ReadLimits],
        clock: Clock,
        metrics: Metrics,
        request_memory: RequestMemory | None = None,
        max_connections: int | None = None,
        tls: ssl.SSLContext | None = None,
        interrupts_handlers: bool = True,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._limits = limits
        self.request_memory = request_memory
        self.interrupts_handlers = interrupts_handlers
        self.turns = WorkTurns(clock)
        self.is_closing = False
        self._clock = clock
        self._metrics = metrics
        self._tls = tls
        self._connection_bytes = (
            CONNECTION_BYTES if tls is None else TLS_CONNECTION_BYTES
        )
        self._connections: set[CallerConnection] = set()
        if max_connections is None:
            max_connections = ConnectionCounts.from_process().callers
        self._open: OpenConnections = LongestWaitingGivesWay(max_connections)
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=_ACCEPT_BACKLOG
        )
        self._server.max_accept = _MAX_ACCEPTED_AT_A_TIME

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.server_port

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()
        # Accepted sockets inherit it.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_RECEIVE_BYTES
        )

    @property
    def active_count(self) -> int:
        """Return the number of requests that are being received or answered."""
        return sum(conn.is_active for conn in self._connections)

    def begin_closing(self) -> None:
        """Close idle connections now and the others after their next response."""
        self.is_closing = True
        for conn in list(self._connections):
            conn.close_if_idle()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def read_limits(self) -> ReadLimits:
        """Return the limits in force."""
        return self._limits()

    def handle(self, request: CallerRequest, exchange: Exchange) -> None:
        """Handle one request and complete its response."""
        self._handler(request, exchange)

    def enter(self, conn: CallerConnection, phase: ConnectionPhase) -> None:
        """Record the phase of a connection."""
        if conn in self._connections:
            self._open.enter(conn, phase, self._clock.monotonic())

    def forget(self, conn: CallerConnection) -> None:
        """Stop counting a connection, and release its memory."""
        self._connections.discard(conn)
        self._open.remove(conn)
        conn.release_all()

    def make_room(self, conn: CallerConnection) -> bool:
        """Take memory from another connection; return whether there was one."""
        victim = self._open.choose_for_memory(conn, self._clock.monotonic())
        if victim is None:
            return False
        assert isinstance(victim, CallerConnection)
        self._metrics.count("caller_shed_total", reason="memory")
        victim.give_up_request()
        return True

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self._metrics.count("caller_connections_total")
        if not self._make_place():
            self._metrics.count("caller_refused_total")
            sock.close()
            return
        conn = CallerConnection(
            self, sock, self._connection_bytes, self._clock, self._metrics
        )
        self._connections.add(conn)
        self.enter(conn, ConnectionPhase.IDLE)
        try:
            if not conn.reserve_memory():
                self._metrics.count("caller_refused_total")
            elif self._shake_hands(conn):
                conn.run()
        except CallerDisconnected:
            return  # closed for another connection before it was served
        finally:
            conn.close()
            self.forget(conn)

    def _make_place(self) -> bool:
        """Close another connection if there is no place for a new one."""
        if not self._open.is_full:
            return True
        victim = self._open.choose_for_place(self._clock.monotonic())
        if victim is None:
            return False
        assert isinstance(victim, CallerConnection)
        self._metrics.count("caller_shed_total", reason="place")
        victim.close_now()
        return True

    def _shake_hands(self, conn: CallerConnection) -> bool:
        """Complete the handshake of TLS, if it is used, within its time limit."""
        if self._tls is None:
            return True
        with (
            gevent.Timeout(self._limits().header_timeout_s, False),
            suppress(OSError),
        ):
            conn.wrap(self._tls)
            return True
        self._metrics.count("caller_broken_total")
        return False
