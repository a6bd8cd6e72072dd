"""HTTP server of the stand-ins; a handler can drop its connection."""

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
        """Say nothing: dropped connections are part of the stand-in."""


class ConnectionDropped(Exception):
    """The connection was closed without an answer."""


def drop_connection() -> None:
    """Close the current request's connection without an answer."""
    request.environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    raise ConnectionDropped


def serve(app: Bottle, port: int) -> WSGIServer:
    """Start to serve `app` on the loopback `port`."""
    app.catchall = False
    server = WSGIServer(
        ("127.0.0.1", port), app, log=None, error_log=None, handler_class=_Handler
    )
    server.start()
    return server
