"""Bounds what connections of senders that may be no peers can hold.

A connection is trusted once it has delivered a message; until then it gives way to
others. Peers send their first message as soon as they are connected.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent import Timeout, socket

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    ConnectionPhase,
    LongestWaitingGivesWay,
    OpenConnections,
)
from sapphirehoist.peers.stream import LENGTH_PREFIX_BYTES, MAX_MESSAGE_BYTES
from sapphirehoist.sockets import WorkTurns

# A sender that has not delivered a message by then is no peer.
FIRST_MESSAGE_TIMEOUT_S = 10.0
_READ_CHUNK_BYTES = 65_536
# Received bytes of all frames that are not complete.
_MAX_UNFINISHED_BYTES = 16 * 2**20
_FRAMES_PER_TURN = 64


class IncomingConnections:
    """Connections that were accepted from other VMs.

    Parameters
    ----------
    max_count : int
        Largest number of connections.
    clock : Clock
        Measures how long connections wait.
    """

    __slots__ = ("_clock", "_open", "_turns", "_unfinished_bytes")

    def __init__(self, max_count: int, clock: Clock) -> None:
        self._clock = clock
        self._open: OpenConnections = LongestWaitingGivesWay(max_count)
        self._turns = WorkTurns(clock)
        self._unfinished_bytes = 0

    def add(self, sock: socket.socket) -> bool:
        """Count a new connection, for which another may be closed; False if none is."""
        if self._open.is_full:
            victim = self._open.choose_for_place(self._clock.monotonic())
            if victim is None:
                return False
            self._close(victim)
        self._open.enter(sock, ConnectionPhase.IDLE, self._clock.monotonic())
        return True

    def trust(self, sock: socket.socket) -> None:
        """Record that a connection is of a peer, and gives way to no other one."""
        self._open.enter(sock, ConnectionPhase.ANSWERING, self._clock.monotonic())

    def remove(self, sock: socket.socket) -> None:
        """Stop counting a connection."""
        self._open.remove(sock)

    def read_frames(
        self,
        sock: socket.socket,
        deliver: Callable[[bytes], bool | None],
        first_bytes: bytes,
    ) -> None:
        """Deliver the payloads of complete frames until the connection ends.

        Return early if a frame, including its prefix, exceeds `MAX_MESSAGE_BYTES`, if
        its payload is no message, or if there is no memory for an unfinished one.
        """
        buffer = bytearray(first_bytes)
        is_trusted = False
        held_bytes = 0
        timeout = Timeout.start_new(FIRST_MESSAGE_TIMEOUT_S)
        try:
            while chunk := sock.recv(_READ_CHUNK_BYTES):
                buffer += chunk
                delivered_count = self._deliver_complete(buffer, deliver)
                if delivered_count is None:
                    return
                if delivered_count and not is_trusted:
                    is_trusted = True
                    timeout.close()
                    self.trust(sock)
                elif buffer and not is_trusted and not held_bytes:
                    self._open.enter(
                        sock, ConnectionPhase.RECEIVING, self._clock.monotonic()
                    )
                growth_bytes = len(buffer) - held_bytes
                if growth_bytes > 0 and not self._make_room(sock, growth_bytes):
                    return
                held_bytes += growth_bytes
                self._unfinished_bytes += growth_bytes
        except (OSError, Timeout):
            return
        finally:
            timeout.close()
            self._unfinished_bytes -= held_bytes

    def _deliver_complete(
        self, buffer: bytearray, deliver: Callable[[bytes], bool | None]
    ) -> int | None:
        """Deliver and remove the complete frames; return their number.

        Return None if the sender is no peer.
        """
        start, count = 0, 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            payload_start = start + LENGTH_PREFIX_BYTES
            size = int.from_bytes(buffer[start:payload_start])
            if LENGTH_PREFIX_BYTES + size > MAX_MESSAGE_BYTES:
                return None
            if len(buffer) < payload_start + size:
                break
            payload = bytes(buffer[payload_start : payload_start + size])
            if deliver(payload) is False:
                return None
            start = payload_start + size
            count += 1
            if count % _FRAMES_PER_TURN == 0:
                self._turns.wait()
        del buffer[:start]
        return count

    def _make_room(self, sock: socket.socket, byte_count: int) -> bool:
        """Make room for a part of a frame, at the cost of senders that may be no peers.

        A frame of a peer is received in any case.
        """
        if self._unfinished_bytes + byte_count <= _MAX_UNFINISHED_BYTES:
            return True
        victim = self._open.choose_for_memory(sock, self._clock.monotonic())
        if victim is not None:
            self._close(victim)
            return True
        return not self._open.may_give_way(sock)

    def _close(self, sock: object) -> None:
        assert isinstance(sock, socket.socket)
        self._open.remove(sock)
        sock.close()
