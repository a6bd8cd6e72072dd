"""Crowd of misbehaving clients, which runs as a process of its own.

Each connection sends what its kind of client sends, and is opened again after the
server has closed it, until the process is killed.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# Monkey patching must precede every import that uses sockets.
import json  # noqa: E402
import ssl  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from dataclasses import asdict, dataclass, field  # noqa: E402
from itertools import count  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

__all__ = ["HTTP_CLIENTS", "PEER_CLIENTS", "TLS_CLIENTS", "Crowd"]

# The largest head and body that the gateway's limits allow, in bytes.
HEAD_BYTES, BODY_BYTES = 16_384, 4_194_304
_BLOCK_BYTES = 65_536
_OVERSIZED_BYTES = 16 * BODY_BYTES
_REOPEN_DELAY_S = 0.5
_SLOW_PAUSE_S = 0.2
# The crowd keeps its own share of the kernel's memory small.
_RECEIVE_BUFFER_BYTES, _SEND_BUFFER_BYTES = 4_096, 65_536
_BLOCK = b"x" * _BLOCK_BYTES
_TINY_CHUNKS = b"1\r\nx\r\n" * (_BLOCK_BYTES // 6)
_LARGE_CHUNK = b"%x\r\n%s\r\n" % (_BLOCK_BYTES, _BLOCK)
_EXTENDED_CHUNK = b"1;%s\r\nx\r\n" % (b"e" * 8_000)
_LENGTH_PREFIX_BYTES = 4
_LARGEST_FRAME_BYTES = 8 * 2**20
_STREAM_MARK = b"\xff" * _LENGTH_PREFIX_BYTES

_ids = count(1)


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients of one kind at one address.

    Attributes
    ----------
    kind : str
        Name of a kind of client.
    address : str
        ``IP:PORT`` of the server.
    path : str
        Path that HTTP clients request.
    headers : dict of str to str
        Headers of their requests.
    connections : int
        Number of connections at one time.
    body_bytes : int
        Largest body that the server's limits allow.
    is_tls : bool
        Whether the clients speak TLS.
    """

    kind: str
    address: str
    path: str = "/"
    headers: dict[str, str] = field(default_factory=dict)
    connections: int = 200
    body_bytes: int = BODY_BYTES
    is_tls: bool = False

    def to_argument(self) -> str:
        """Return the command-line argument of the crowd's process."""
        return json.dumps(asdict(self))

    def head(self, method: str, *lines: str) -> bytes:
        """Return the head of a request, without the empty line that ends it."""
        named = [f"{name}: {value}" for name, value in self.headers.items()]
        request_id = f"X-Request-Id: crowd-{next(_ids)}"
        texts = [f"{method} {self.path} HTTP/1.1", *named, request_id, *lines]
        return "".join(f"{text}\r\n" for text in texts).encode()

    def body_head(self, length: int | None) -> bytes:
        """Return the whole head of a request with a body; None for chunks."""
        framing = "Transfer-Encoding: chunked"
        if length is not None:
            framing = f"Content-Length: {length}"
        return self.head("POST", framing) + b"\r\n"


def hold(sock: socket.socket) -> None:
    """Wait until the server closes the connection."""
    while sock.recv(_BLOCK_BYTES):
        pass


def send_filler(sock: socket.socket, size: int) -> None:
    """Send `size` bytes of no meaning."""
    while size > 0:
        sock.sendall(_BLOCK[:size])
        size -= _BLOCK_BYTES


def send_body_in_one_piece(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(crowd.body_bytes))
    send_filler(sock, crowd.body_bytes - 1)
    hold(sock)


def send_body_in_small_pieces(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(crowd.body_bytes))
    for _ in range((crowd.body_bytes - 1) // 1_400):
        sock.sendall(_BLOCK[:1_400])
        gevent.sleep(0)
    hold(sock)


def send_body_in_large_chunks(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(None))
    for _ in range(crowd.body_bytes // _BLOCK_BYTES):
        sock.sendall(_LARGE_CHUNK)
    hold(sock)


def send_body_in_tiny_chunks(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(None))
    for _ in range(6 * crowd.body_bytes // len(_TINY_CHUNKS)):
        sock.sendall(_TINY_CHUNKS)
    hold(sock)


def send_body_slowly(sock: socket.socket, crowd: Crowd) -> None:
    slow_bytes = min(1_000, crowd.body_bytes // 2)
    sock.sendall(crowd.body_head(crowd.body_bytes))
    send_filler(sock, crowd.body_bytes - slow_bytes)
    for _ in range(slow_bytes - 1):
        sock.sendall(b"x")
        gevent.sleep(_SLOW_PAUSE_S)


def send_oversized_body(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(_OVERSIZED_BYTES))
    send_filler(sock, _OVERSIZED_BYTES)
    hold(sock)


def send_oversized_chunks(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(None))
    while True:
        sock.sendall(_LARGE_CHUNK)


def send_chunk_extensions(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.body_head(None))
    while True:
        sock.sendall(_EXTENDED_CHUNK * 8)


def send_many_fields(sock: socket.socket, crowd: Crowd) -> None:
    head = crowd.head("GET")
    fields = b"a:\r\n" * ((HEAD_BYTES - len(head) - 1_024) // 4)
    sock.sendall(head + fields + b"\r\n")
    hold(sock)


def send_endless_head(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.head("GET"))
    while True:
        sock.sendall(b"a:\r\n" * (_BLOCK_BYTES // 4))


def send_requests_ahead(sock: socket.socket, crowd: Crowd) -> None:
    block = b"".join(crowd.head("GET") + b"\r\n" for _ in range(200))
    while True:
        sock.sendall(block)


def send_head_slowly(sock: socket.socket, crowd: Crowd) -> None:
    for byte in crowd.head("GET", f"X-Padding: {'x' * 10_000}") + b"\r\n":
        sock.sendall(bytes([byte]))
        gevent.sleep(_SLOW_PAUSE_S)


def send_unfinished_head(sock: socket.socket, crowd: Crowd) -> None:
    head = crowd.head("GET")
    sock.sendall(head + b"a:\r\n" * ((HEAD_BYTES - len(head) - 1_024) // 4))
    hold(sock)


def send_nothing(sock: socket.socket, crowd: Crowd) -> None:
    hold(sock)


def read_nothing(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.head("GET") + b"\r\n")
    gevent.sleep(3_600.0)


def read_slowly(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(crowd.head("GET") + b"\r\n")
    while sock.recv(1):
        gevent.sleep(_SLOW_PAUSE_S)


def send_half_prefix(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(b"\x00\x00")
    hold(sock)


def send_unfinished_frame(sock: socket.socket, crowd: Crowd) -> None:
    size = _LARGEST_FRAME_BYTES - _LENGTH_PREFIX_BYTES
    sock.sendall(size.to_bytes(_LENGTH_PREFIX_BYTES))
    send_filler(sock, size - 1)
    hold(sock)


def send_unfinished_stream(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(_STREAM_MARK)
    send_unfinished_frame(sock, crowd)


def send_oversized_frame(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall((2**31).to_bytes(_LENGTH_PREFIX_BYTES))
    while True:
        sock.sendall(_BLOCK)


def send_tiny_frames(sock: socket.socket, crowd: Crowd) -> None:
    while True:
        sock.sendall(((1).to_bytes(_LENGTH_PREFIX_BYTES) + b"x") * 10_000)


def send_frame_slowly(sock: socket.socket, crowd: Crowd) -> None:
    sock.sendall(_LARGEST_FRAME_BYTES.to_bytes(_LENGTH_PREFIX_BYTES)[:3])
    while True:
        sock.sendall(b"\x00")
        gevent.sleep(_SLOW_PAUSE_S)


def stop_in_handshake(sock: socket.socket, crowd: Crowd) -> None:
    # The beginning of a record that holds a ClientHello.
    sock.sendall(b"\x16\x03\x01\x02\x00\x01\x00\x01")
    hold(sock)


Client = Callable[[socket.socket, Crowd], None]
HTTP_CLIENTS: dict[str, Client] = {
    "body-in-one-piece": send_body_in_one_piece,
    "body-in-small-pieces": send_body_in_small_pieces,
    "body-in-large-chunks": send_body_in_large_chunks,
    "body-in-tiny-chunks": send_body_in_tiny_chunks,
    "body-sent-slowly": send_body_slowly,
    "oversized-body": send_oversized_body,
    "oversized-chunks": send_oversized_chunks,
    "chunk-extensions": send_chunk_extensions,
    "many-fields": send_many_fields,
    "endless-head": send_endless_head,
    "requests-ahead": send_requests_ahead,
    "head-sent-slowly": send_head_slowly,
    "unfinished-head": send_unfinished_head,
    "silent": send_nothing,
    "answers-unread": read_nothing,
    "answers-read-slowly": read_slowly,
}
PEER_CLIENTS: dict[str, Client] = {
    "silent": send_nothing,
    "half-prefix": send_half_prefix,
    "unfinished-frame": send_unfinished_frame,
    "unfinished-stream": send_unfinished_stream,
    "oversized-frame": send_oversized_frame,
    "tiny-frames": send_tiny_frames,
    "frame-sent-slowly": send_frame_slowly,
    "http-request": read_nothing,
}
TLS_CLIENTS: dict[str, Client] = {"half-handshake": stop_in_handshake}
_CLIENTS = HTTP_CLIENTS | PEER_CLIENTS | TLS_CLIENTS


def play(crowd: Crowd) -> None:
    """Keep the crowd's connections open until the process is killed."""
    gevent.joinall(
        [gevent.spawn(_keep_connected, crowd) for _ in range(crowd.connections)]
    )


def _keep_connected(crowd: Crowd) -> None:
    client = _CLIENTS[crowd.kind]
    while True:
        try:
            with _connect(crowd) as sock:
                client(sock, crowd)
        except OSError:
            pass
        gevent.sleep(_REOPEN_DELAY_S)


def _connect(crowd: Crowd) -> socket.socket:
    host, _, port = crowd.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    sock.connect((host, int(port)))
    if crowd.is_tls:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
        return context.wrap_socket(sock)
    return sock


if __name__ == "__main__":
    play(Crowd(**json.loads(sys.argv[1])))
