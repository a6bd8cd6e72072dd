"""In-process transport for tests and embedding, with links that can be partitioned."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.peers.transport import PeerTransport, Receiver


class MemoryNetwork:
    """Connects the memory transports of one process.

    Parameters
    ----------
    clock : Clock
        Times the delays of links.
    delay_s : float
        One-way delay of every link, in seconds.

    Attributes
    ----------
    messages_sent : int
        Number of sent messages, including replies and dropped messages.
    bytes_sent : int
        Total size of their payloads.
    """

    __slots__ = (
        "_partitioned_links",
        "_clock",
        "_delay_s",
        "_receivers",
        "bytes_sent",
        "messages_sent",
    )

    def __init__(self, clock: Clock, delay_s: float = 0.0) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self._receivers: dict[str, Receiver] = {}
        self._partitioned_links: set[tuple[str, str]] = set()
        self.messages_sent = 0
        self.bytes_sent = 0

    def attach(self, address: str, receiver: Receiver) -> None:
        """Deliver messages for `address` to `receiver`."""
        self._receivers[address] = receiver

    def detach(self, address: str) -> None:
        """Drop all messages for `address` from now on."""
        self._receivers.pop(address, None)

    def partition(self, address_a: str, address_b: str) -> None:
        """Drop messages between two addresses, in both directions."""
        self._partitioned_links.update({(address_a, address_b), (address_b, address_a)})

    def heal(self) -> None:
        """Restore every link."""
        self._partitioned_links.clear()

    def deliver(
        self,
        source_address: str,
        target_address: str,
        deliver_to: Callable[[Receiver], object],
    ) -> bool:
        """Call `deliver_to` with the receiver at `target_address` after the link delay.

        Return False if there is no receiver or the link is partitioned.
        """
        self.messages_sent += 1
        if (
            target_address not in self._receivers
            or (source_address, target_address) in self._partitioned_links
        ):
            return False
        gevent.spawn(
            self._deliver_after_delay, source_address, target_address, deliver_to
        )
        return True

    def _deliver_after_delay(
        self,
        source_address: str,
        target_address: str,
        deliver_to: Callable[[Receiver], object],
    ) -> None:
        if self._delay_s:
            self._clock.sleep(self._delay_s)
        receiver = self._receivers.get(target_address)
        if (
            receiver is not None
            and (source_address, target_address) not in self._partitioned_links
        ):
            deliver_to(receiver)


class MemoryTransport(PeerTransport):
    """Transport of one node on a `MemoryNetwork`."""

    __slots__ = ("_address", "_network", "_receiver")

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._receiver: Receiver | None = None

    def start(self, receiver: Receiver) -> None:
        """Start delivering received messages to `receiver`."""
        self._receiver = receiver
        self._network.attach(self._address, receiver)

    def send(self, address: str, payload: bytes) -> bool:
        """Send `payload` to `address`; return False if it is unreachable."""
        self._network.bytes_sent += len(payload)

        def send_reply(reply: bytes) -> None:
            def deliver_to(receiver: Receiver) -> None:
                # Another receiver at this address may wait for an equal call id.
                if receiver is self._receiver:
                    receiver.receive_reply(reply)

            self._network.bytes_sent += len(reply)
            self._network.deliver(address, self._address, deliver_to)

        return self._network.deliver(
            self._address,
            address,
            lambda receiver: receiver.receive_request(payload, send_reply),
        )

    def disconnect(self, address: str) -> None:
        """Do nothing: this transport has no connections."""

    def close(self) -> None:
        """Stop receiving messages."""
        self._network.detach(self._address)
