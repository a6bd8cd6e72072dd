"""How encoded messages reach another daemon."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable


class Receiver(ABC):
    """Takes what a transport receives."""

    @abstractmethod
    def receive_request(self, payload: bytes, reply: Callable[[bytes], None]) -> None:
        """Take a message that another daemon sent; `reply` answers it."""

    @abstractmethod
    def receive_reply(self, payload: bytes) -> None:
        """Take the reply to a message that this daemon sent."""

    def count_refused_connection(self) -> None:  # noqa: B027
        """Count a connection that the transport did not admit."""


class PeerTransport(ABC):
    """Unreliable, unordered delivery; a message is delivered whole or not at all."""

    @abstractmethod
    def start(self, receiver: Receiver) -> None:
        """Begin to deliver received messages to `receiver`."""

    @abstractmethod
    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`; False where it was dropped at once."""

    @abstractmethod
    def forget(self, address: str) -> None:
        """Release what is kept for `address`."""

    @abstractmethod
    def close(self) -> None:
        """Stop delivery and release every connection."""
