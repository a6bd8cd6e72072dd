"""Responses to urllib3 that are cut, with and without TLS."""

from __future__ import annotations

import datetime
import ssl
from collections.abc import Iterator
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from gevent import socket
from gevent.server import StreamServer
from urllib3.exceptions import HTTPError

from sapphirehoist.http1 import WholeHeadPoolManager, is_framed
from sapphirehoist.sockets import reset_on_close

HEAD = b"HTTP/1.1 200 OK\r\nX-Stage: book\r\nContent-Length: 12\r\n\r\n"
BODY = b"twelve bytes"


class Responder:
    """Sends `response` to each request and ends the connection."""

    def __init__(self, context: ssl.SSLContext | None) -> None:
        self.response = b""
        self.is_reset = False
        options = {"ssl_context": context} if context is not None else {}
        self._server = StreamServer(("127.0.0.1", 0), self._serve, **options)
        self._server.start()
        scheme = "https" if context is not None else "http"
        self.url = f"{scheme}://127.0.0.1:{self._server.server_port}/"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if sock.recv(65_536):
            sock.sendall(self.response)
        if self.is_reset:
            reset_on_close(sock)
        sock.close()


@pytest.fixture(scope="module")
def server_context(tmp_path_factory: pytest.TempPathFactory) -> ssl.SSLContext:
    """Return a context with a new certificate, which the clients do not check."""
    path: Path = tmp_path_factory.mktemp("tls") / "server.pem"
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "server")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    path.write_bytes(private + certificate.public_bytes(pem))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path)
    return context


@pytest.fixture(params=["http", "https"])
def responder(
    request: pytest.FixtureRequest, server_context: ssl.SSLContext
) -> Iterator[Responder]:
    responder = Responder(server_context if request.param == "https" else None)
    yield responder
    responder.stop()


@pytest.fixture
def pool() -> WholeHeadPoolManager:
    return WholeHeadPoolManager(cert_reqs="CERT_NONE", timeout=2.0)


@pytest.mark.filterwarnings("ignore::urllib3.exceptions.InsecureRequestWarning")
class TestResponses:
    @pytest.mark.parametrize("is_reset", [False, True])
    def test_cut_response_is_lost(
        self, responder: Responder, pool: WholeHeadPoolManager, is_reset: bool
    ) -> None:
        """Guards against the end of a connection that counts as that of a head."""
        responder.is_reset = is_reset
        for size in range(len(HEAD + BODY)):
            responder.response = (HEAD + BODY)[:size]
            with pytest.raises(HTTPError):
                pool.request("GET", responder.url)

    def test_whole_response(
        self, responder: Responder, pool: WholeHeadPoolManager
    ) -> None:
        responder.response = HEAD + BODY
        response = pool.request("GET", responder.url)
        assert (response.status, response.data) == (200, BODY)
        assert is_framed(response)

    @pytest.mark.parametrize(
        "header", ["", "Content-Length: \r\n", "Content-Length: a\r\n"]
    )
    def test_body_that_ends_with_its_connection_is_not_framed(
        self, responder: Responder, pool: WholeHeadPoolManager, header: str
    ) -> None:
        """Guards against a header without a usable value that counts as a length."""
        responder.response = f"HTTP/1.1 200 OK\r\n{header}\r\na part".encode()
        assert not is_framed(pool.request("GET", responder.url))

    def test_informational_heads_without_end(
        self, responder: Responder, pool: WholeHeadPoolManager
    ) -> None:
        responder.response = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5_000 + HEAD + BODY
        with pytest.raises(HTTPError):
            pool.request("GET", responder.url)
