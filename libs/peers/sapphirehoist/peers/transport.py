"""Interfaces between the peer bus and the transports of encoded messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from gevent import socket


class Receiver(ABC):
    """Handles the messages that a transport receives."""

    @abstractmethod
    def receive_request(
        self, payload: bytes, send_reply: Callable[[bytes], None]
    ) -> bool | None:
        """Handle a request or notification; `send_reply` sends the reply, if any.

        Return False if `payload` is no message, so that its sender is no peer.
        """

    @abstractmethod
    def receive_reply(self, payload: bytes) -> None:
        """Handle the reply to a request that this daemon sent."""

    def receive_stream(self, payload: bytes, sock: socket.socket) -> None:  # noqa: B027
        """Handle a byte stream that begins with `payload`, until it ends.

        The transport closes `sock` afterwards.
        """

    def count_refused_connection(self) -> None:  # noqa: B027
        """Count a connection that failed authentication."""


class PeerTransport(ABC):
    """Unreliable, unordered delivery of messages, each as a whole or not at all."""

    @abstractmethod
    def start(self, receiver: Receiver) -> None:
        """Start delivering received messages to `receiver`."""

    @abstractmethod
    def send(self, address: str, payload: bytes) -> bool:
        """Queue `payload` for `address`; return False if it was dropped at once."""

    def open_stream(self, address: str, payload: bytes) -> socket.socket | None:
        """Open a byte stream to `address` that begins with `payload`.

        Return its connection; None if it cannot be opened, or if this transport has no
        streams.
        """
        return None

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Release the connection to `address`, if any."""

    @abstractmethod
    def close(self) -> None:
        """Stop delivery and close all connections."""
