"""Loopback ports for listeners of processes that tests start."""

from __future__ import annotations

import socket
from pathlib import Path

# The kernel gives outgoing connections ports from this range; a listener that is
# told one of those may find it taken by the time it starts.
_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_EPHEMERAL_START = 32768
_FIRST_PORT = 10_000
_BLOCK_SIZE = 256


class PortBlocks:
    """Hands out ports that no other process of a test run is given.

    A process holds the first port of a block for its life, which claims the rest of
    the block; ports are handed out once each.

    Parameters
    ----------
    first, end : int
        Ports to choose from, the end not among them.
    """

    __slots__ = ("_blocks", "_end", "_held", "_ports")

    def __init__(self, first: int = _FIRST_PORT, end: int | None = None) -> None:
        self._end = _ephemeral_start() if end is None else end
        self._blocks = iter(range(first, self._end - _BLOCK_SIZE + 1, _BLOCK_SIZE))
        self._held: list[socket.socket] = []
        self._ports = iter(range(0))

    def take(self) -> int:
        """Return a port that is free now and stays this process's own.

        Raises
        ------
        RuntimeError
            If every block is taken.
        """
        while True:
            for port in self._ports:
                sock = _bound(port)
                if sock is not None:
                    sock.close()
                    return port
            self._claim_block()

    def _claim_block(self) -> None:
        for first in self._blocks:
            sock = _bound(first)
            if sock is not None:
                self._held.append(sock)
                self._ports = iter(range(first + 1, first + _BLOCK_SIZE))
                return
        raise RuntimeError(f"no free block of ports below {self._end}")


def free_port() -> int:
    """Return a loopback port that is free and is handed out to nobody else."""
    return _BLOCKS.take()


def _bound(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    return sock


def _ephemeral_start() -> int:
    try:
        return int(_EPHEMERAL_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return _DEFAULT_EPHEMERAL_START


_BLOCKS = PortBlocks()
