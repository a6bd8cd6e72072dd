"""Allocates loopback ports for the listeners of processes that tests start."""

from __future__ import annotations

import socket
from pathlib import Path

# The kernel assigns ports in this range to outgoing connections, so a port allocated
# from it may be in use by the time its listener starts.
_EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_EPHEMERAL_START = 32768
_FIRST_PORT = 10_000
_PORTS_PER_BLOCK = 256


class PortAllocator:
    """Allocates ports that no other process of a test run allocates.

    A process reserves a block of ports by binding the first one until it exits. Each
    port is allocated at most once.

    Parameters
    ----------
    first, end : int
        Half-open range of ports to allocate from. `end` defaults to the start of the
        kernel's ephemeral port range.
    """

    __slots__ = ("_block_starts", "_end", "_held_sockets", "_unused_ports")

    def __init__(self, first: int = _FIRST_PORT, end: int | None = None) -> None:
        self._end = _read_ephemeral_start() if end is None else end
        self._block_starts = iter(
            range(first, self._end - _PORTS_PER_BLOCK + 1, _PORTS_PER_BLOCK)
        )
        self._held_sockets: list[socket.socket] = []
        self._unused_ports = iter(range(0))

    def allocate(self) -> int:
        """Return a port that is free now and reserved for this process.

        Raises
        ------
        RuntimeError
            If every block is reserved.
        """
        while True:
            for port in self._unused_ports:
                sock = _try_bind(port)
                if sock is not None:
                    sock.close()
                    return port
            self._reserve_block()

    def _reserve_block(self) -> None:
        for first in self._block_starts:
            sock = _try_bind(first)
            if sock is not None:
                self._held_sockets.append(sock)
                self._unused_ports = iter(range(first + 1, first + _PORTS_PER_BLOCK))
                return
        raise RuntimeError(f"no free block of ports below {self._end}")


def free_port() -> int:
    """Return a free loopback port that no other process of a test run allocates."""
    return _ALLOCATOR.allocate()


def _try_bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    return sock


def _read_ephemeral_start() -> int:
    try:
        return int(_EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return _DEFAULT_EPHEMERAL_START


_ALLOCATOR = PortAllocator()
