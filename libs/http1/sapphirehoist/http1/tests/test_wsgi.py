"""WSGI applications behind `CallerServer`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import pytest
import urllib3
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.clock import SystemClock
from sapphirehoist.http1 import CallerServer, WsgiHandler
from sapphirehoist.observability import Metrics


@dataclass(frozen=True, slots=True)
class Limits:
    max_header_bytes: int = 8_000
    max_body_bytes: int = 1_000
    header_timeout_s: float = 1.0
    idle_timeout_s: float = 5.0


def make_app() -> Bottle:
    app = Bottle()

    @app.post("/echo/<name>")
    def echo(name: str) -> HTTPResponse:
        body = request.body.read()
        headers = {"X-Name": name, "X-Query": request.query.get("q", "")}
        return HTTPResponse(body, 201, headers | {"X-Sent": request.headers["X-Sent"]})

    @app.get("/parts")
    def parts() -> Iterator[bytes]:
        yield b"one "
        yield b"two"

    @app.get("/fails")
    def fails() -> None:
        raise ValueError("an error of the application")

    return app


@pytest.fixture
def url() -> Iterator[str]:
    server = CallerServer(
        "127.0.0.1:0",
        WsgiHandler(make_app()),
        Limits,
        SystemClock(),
        Metrics(),
        interrupts_handlers=False,
    )
    server.start()
    yield f"http://127.0.0.1:{server.port}"
    server.stop()


def call(method: str, url: str, **options: object) -> urllib3.BaseHTTPResponse:
    return urllib3.request(method, url, retries=False, timeout=5.0, **options)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_request_reaches_the_application(url: str, is_chunked: bool) -> None:
    response = call(
        "POST",
        f"{url}/echo/a%20b?q=%C3%A9",
        body=iter([b"abc", b"def"]) if is_chunked else b"abcdef",
        headers={"X-Sent": "s"},
    )
    assert (response.status, response.data) == (201, b"abcdef")
    assert response.headers["X-Name"] == "a b"
    assert response.headers["X-Sent"] == "s"


def test_parts_are_streamed(url: str) -> None:
    response = call("GET", f"{url}/parts")
    assert (response.status, response.data) == (200, b"one two")
    assert response.headers["Transfer-Encoding"] == "chunked"


def test_head_request_has_no_body(url: str) -> None:
    response = call("HEAD", f"{url}/nowhere")
    assert (response.status, response.data) == (404, b"")


@pytest.mark.parametrize(
    ("path", "status"), [("/nowhere", 404), ("/fails", 500), ("/echo/a", 405)]
)
def test_errors_of_the_application_are_responses(
    url: str, path: str, status: int
) -> None:
    assert call("GET", url + path).status == status


def test_body_over_the_limit_is_refused(url: str) -> None:
    response = call("POST", f"{url}/echo/a", body=b"x" * 1_001, headers={"X-Sent": ""})
    assert response.status == 413
