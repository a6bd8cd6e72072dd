"""HTTP server of the stand-ins, whose handlers can drop a connection."""

from __future__ import annotations

import socket
from typing import Any

from bottle import Bottle, request
from gevent.pywsgi import WSGIHandler, WSGIServer

_SOCKET_KEY = "standin.socket"


class _Handler(WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ

    def log_error(self, msg: str, *args: object) -> None:
        """Discard the message: stand-ins drop connections on purpose."""


class ConnectionDropped(Exception):
    """The connection was closed without a response."""


def drop_connection() -> None:
    """Close the current request's connection without a response.

    Raises
    ------
    ConnectionDropped
        Always, to end the handler.
    """
    request.environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    raise ConnectionDropped


def serve(app: Bottle, port: int) -> WSGIServer:
    """Serve `app` on the loopback `port` in the background; 0 selects a free port."""
    app.catchall = False
    server = WSGIServer(
        ("127.0.0.1", port), app, log=None, error_log=None, handler_class=_Handler
    )
    server.start()
    return server
