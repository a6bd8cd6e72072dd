"""Allocated ports are outside the ephemeral range and unique across processes."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from sapphirehoist.testing import free_port
from sapphirehoist.testing.ports import PortAllocator

_EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_outside_the_ephemeral_range() -> None:
    start, end = map(int, _EPHEMERAL_RANGE_FILE.read_text().split())
    assert not any(start <= free_port() <= end for _ in range(20))


def test_a_port_is_allocated_once() -> None:
    ports = [free_port() for _ in range(300)]
    assert len(set(ports)) == len(ports)


def test_processes_allocate_disjoint_blocks() -> None:
    program = (
        "from sapphirehoist.testing import free_port\n"
        "print(*[free_port() for _ in range(300)], flush=True)\n"
        "input()\n"
    )
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    ports = [int(port) for p in processes for port in p.stdout.readline().split()]
    for process in processes:
        process.communicate("\n")
    assert len(ports) == 900
    assert len(set(ports)) == len(ports)


def bind_next_free(sock: socket.socket, port: int) -> int:
    """Bind the first free port after `port` and return it.

    A closed connection of an earlier process keeps its port in TIME_WAIT for a minute.
    """
    while True:
        port += 1
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


def test_a_port_in_use_is_skipped() -> None:
    allocator = PortAllocator()
    port = allocator.allocate()
    with socket.socket() as sock:
        used_port = bind_next_free(sock, port)
        assert allocator.allocate() > used_port


def test_running_out_of_blocks_raises_an_error() -> None:
    with pytest.raises(RuntimeError, match="no free block of ports below 10255"):
        PortAllocator(10_000, 10_255).allocate()
