"""A transport within one process, with links that can be cut."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.peers.transport import PeerTransport, Receiver


class MemoryNetwork:
    """Connects the memory transports of one test.

    Parameters
    ----------
    clock : Clock
        Delays are slept on this clock.
    delay_s : float
        One-way delay of every link.
    """

    __slots__ = ("_clock", "_cut", "_delay_s", "_receivers", "bytes_sent", "sent")

    def __init__(self, clock: Clock, delay_s: float = 0.0) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self._receivers: dict[str, Receiver] = {}
        self._cut: set[tuple[str, str]] = set()
        self.sent = 0
        self.bytes_sent = 0

    def attach(self, address: str, receiver: Receiver) -> None:
        """Deliver messages for `address` to `receiver`."""
        self._receivers[address] = receiver

    def detach(self, address: str) -> None:
        """Drop all further messages for `address`."""
        self._receivers.pop(address, None)

    def cut(self, one: str, other: str) -> None:
        """Drop messages between two addresses, both ways."""
        self._cut.update({(one, other), (other, one)})

    def heal(self) -> None:
        """Restore every link."""
        self._cut.clear()

    def deliver(
        self, source: str, target: str, act: Callable[[Receiver], None]
    ) -> bool:
        """Run `act` on the receiver at `target` after the link's delay."""
        self.sent += 1
        if target not in self._receivers or (source, target) in self._cut:
            return False
        gevent.spawn(self._deliver_later, source, target, act)
        return True

    def _deliver_later(
        self, source: str, target: str, act: Callable[[Receiver], None]
    ) -> None:
        if self._delay_s:
            self._clock.sleep(self._delay_s)
        receiver = self._receivers.get(target)
        if receiver is not None and (source, target) not in self._cut:
            act(receiver)


class MemoryTransport(PeerTransport):
    """Transport of one node on a `MemoryNetwork`."""

    __slots__ = ("_address", "_network")

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def start(self, receiver: Receiver) -> None:
        """Begin to deliver received messages to `receiver`."""
        self._network.attach(self._address, receiver)

    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`; False where the link is cut."""
        self._network.bytes_sent += len(payload)

        def reply(answer: bytes) -> None:
            self._network.bytes_sent += len(answer)
            self._network.deliver(
                address, self._address, lambda to: to.receive_reply(answer)
            )

        return self._network.deliver(
            self._address, address, lambda to: to.receive_request(payload, reply)
        )

    def forget(self, address: str) -> None:
        """Do nothing: no state is kept by address."""

    def close(self) -> None:
        """Stop delivery."""
        self._network.detach(self._address)
