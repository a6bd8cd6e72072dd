"""HTTP server on gevent, one task for each connection."""

from __future__ import annotations

import logging
import ssl

from bottle import Bottle
from gevent.pywsgi import WSGIServer

from sapphirehoist.settings import Listen, Tls

_logger = logging.getLogger(__name__)


class HttpServer:
    """Serves one application at one address.

    Parameters
    ----------
    listen : Listen
        Where to listen.
    app : Bottle
        What to serve.
    tls : Tls or None
        Certificate and key; they can be read again while the server runs.
    """

    __slots__ = ("_ssl_context", "_server", "_tls")

    def __init__(self, listen: Listen, app: Bottle, tls: Tls | None) -> None:
        self._tls = tls
        self._ssl_context: ssl.SSLContext | None = None
        arguments = {}
        if tls is not None:
            self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self.reload_certificate()
            arguments["ssl_context"] = self._ssl_context
        address = (listen.host, listen.port)
        self._server = WSGIServer(
            address, app, log=None, error_log=_logger, **arguments
        )

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.start()

    def reload_certificate(self) -> None:
        """Use the certificate and key as they are on disk now, for new connections."""
        if self._tls is not None and self._ssl_context is not None:
            self._ssl_context.load_cert_chain(self._tls.certificate, self._tls.key)

    def stop(self) -> None:
        """Accept no more connections; those that are open end by themselves."""
        self._server.stop(timeout=1)
