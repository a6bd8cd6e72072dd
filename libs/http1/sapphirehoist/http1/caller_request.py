"""Requests of callers, and the limits on what a caller may send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sapphirehoist.http1.messages import RequestHead, ResponseHead


class CallerDisconnected(BaseException):
    """Raised in the handler of a request whose caller closed the connection.

    Not an `Exception`, so that handlers' ``except Exception`` does not catch it.
    """


class ReadLimits(Protocol):
    """Limits on what a caller may send; read again for each request."""

    @property
    def max_header_bytes(self) -> int:
        """Return the largest size of a request head in bytes."""

    @property
    def max_body_bytes(self) -> int:
        """Return the largest size of a request body in bytes."""

    @property
    def header_timeout_s(self) -> float:
        """Return the longest time in seconds from the first byte of a head to its end.

        The same limit applies between received parts of a body, and to the handshake of
        TLS.
        """

    @property
    def idle_timeout_s(self) -> float:
        """Return the longest idle time of a connection in seconds."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was received completely.

    Attributes
    ----------
    head, body : RequestHead, bytes
        Head as sent by the caller, and body without its framing.
    first_byte_at : float
        Monotonic time of the first byte in seconds.
    """

    head: RequestHead
    body: bytes
    first_byte_at: float


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Why no valid request was received; status 0 if no response is sent.

    `response` is sent to a request that is valid, but has no memory.
    """

    status: int
    detail: str
    response: tuple[ResponseHead, bytes] | None = None
