"""HTTP server on gevent with one greenlet per connection."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from bottle import Bottle

from sapphirehoist.clock import Clock
from sapphirehoist.entry.request_memory import EntryRequestMemory
from sapphirehoist.http1 import CallerServer, WsgiHandler
from sapphirehoist.observability import Metrics
from sapphirehoist.settings import ListenSettings, TlsSettings

# A body that is this little over the limit of its interface gets the interface's own
# error, which names both sizes.
_BODY_MARGIN_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class _EntryLimits:
    """Limits on requests to one interface; see `ReadLimits`."""

    max_body_bytes: int
    max_header_bytes: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class HttpServer:
    """Serves one WSGI application on one address.

    Parameters
    ----------
    listen : ListenSettings
        Host and port to listen on.
    app : Bottle
        Application to serve.
    tls : TlsSettings or None
        Paths of the certificate and key, or None for plain HTTP.
    max_body_bytes : int
        Largest body of a request.
    request_memory : EntryRequestMemory
        Memory of the connections and requests of all interfaces.
    max_connections : int
        Largest number of connections.
    clock, metrics : Clock, Metrics
        Clock of the time limits, and counters of connections.
    """

    __slots__ = ("_server", "_ssl_context", "_tls")

    def __init__(
        self,
        listen: ListenSettings,
        app: Bottle,
        tls: TlsSettings | None,
        max_body_bytes: int,
        request_memory: EntryRequestMemory,
        max_connections: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._tls = tls
        self._ssl_context: ssl.SSLContext | None = None
        if tls is not None:
            self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self.reload_certificate()
        limits = _EntryLimits(max_body_bytes + _BODY_MARGIN_BYTES)
        self._server = CallerServer(
            f"{listen.host}:{listen.port}",
            WsgiHandler(app, "http" if tls is None else "https"),
            lambda: limits,
            clock,
            metrics,
            request_memory,
            max_connections,
            self._ssl_context,
            # A request goes on without its caller; only a stream ends with it.
            interrupts_handlers=False,
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def reload_certificate(self) -> None:
        """Reload the certificate and key from disk for new connections."""
        if self._tls is not None and self._ssl_context is not None:
            self._ssl_context.load_cert_chain(self._tls.certificate, self._tls.key)

    def stop(self) -> None:
        """Stop accepting connections; open ones are left to finish."""
        self._server.stop()
