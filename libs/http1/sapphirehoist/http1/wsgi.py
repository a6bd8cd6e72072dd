"""Serves a WSGI application through `CallerServer`, and so within its limits."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from io import BytesIO
from typing import Any
from urllib.parse import unquote_to_bytes

from sapphirehoist.http1.caller_request import CallerRequest
from sapphirehoist.http1.exchange import Exchange
from sapphirehoist.http1.messages import Headers, ResponseHead

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

# The server's own framing replaces them.
_FRAMING_HEADERS = ("connection", "content-length", "transfer-encoding")
_UNPREFIXED_HEADERS = ("content-length", "content-type")


class WsgiHandler:
    """Handles requests by a WSGI application.

    A response of known parts is sent with a length, any other one in chunks.

    Parameters
    ----------
    app : callable
        WSGI application.
    scheme : str
        ``http`` or ``https``.
    """

    __slots__ = ("_app", "_scheme")

    def __init__(self, app: WsgiApp, scheme: str = "http") -> None:
        self._app = app
        self._scheme = scheme

    def __call__(self, request: CallerRequest, exchange: Exchange) -> None:
        """Call the application and send its response."""
        started: list[tuple[str, list[tuple[str, str]]]] = []

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: object = None
        ) -> None:
            started[:] = [(status, headers)]

        result = self._app(self._environ(request), start_response)
        try:
            status, named = started[0]
            headers = Headers(named)
            head = ResponseHead(int(status[:3]), headers.without(_FRAMING_HEADERS))
            if request.head.method == "HEAD":
                exchange.begin(head, int(headers.get("content-length", "0")))
                exchange.finish()
            elif isinstance(result, list | tuple):
                exchange.respond(head, b"".join(result))
            else:
                exchange.begin(head, None)
                for part in result:
                    if part:
                        exchange.send(part)
                exchange.finish()
        finally:
            close = getattr(result, "close", None)
            if close is not None:
                close()

    def _environ(self, request: CallerRequest) -> dict[str, Any]:
        head = request.head
        path, _, query = head.target.partition("?")
        environ: dict[str, Any] = {
            "REQUEST_METHOD": head.method,
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
            "QUERY_STRING": query,
            "SERVER_NAME": head.headers.get("host"),
            "SERVER_PORT": "",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": self._scheme,
            "wsgi.input": BytesIO(request.body),
            "wsgi.errors": sys.stderr,
            "wsgi.multithread": False,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
        }
        for name, value in head.headers.items():
            if name == "transfer-encoding":
                continue
            key = name.upper().replace("-", "_")
            if name not in _UNPREFIXED_HEADERS:
                key = f"HTTP_{key}"
            environ[key] = f"{environ[key]},{value}" if key in environ else value
        environ["CONTENT_LENGTH"] = str(len(request.body))
        return environ
