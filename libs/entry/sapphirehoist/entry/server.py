"""HTTP server on gevent with one greenlet per connection."""

from __future__ import annotations

import logging
import ssl

from bottle import Bottle
from gevent.pywsgi import WSGIServer

from sapphirehoist.settings import ListenSettings, TlsSettings

_logger = logging.getLogger(__name__)


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
    """

    __slots__ = ("_ssl_context", "_server", "_tls")

    def __init__(
        self, listen: ListenSettings, app: Bottle, tls: TlsSettings | None
    ) -> None:
        self._tls = tls
        self._ssl_context: ssl.SSLContext | None = None
        server_options = {}
        if tls is not None:
            self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self.reload_certificate()
            server_options["ssl_context"] = self._ssl_context
        address = (listen.host, listen.port)
        self._server = WSGIServer(
            address, app, log=None, error_log=_logger, **server_options
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
        self._server.stop(timeout=1)
