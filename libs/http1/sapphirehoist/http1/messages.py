"""Headers and heads of requests and responses, shared by client and server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Includes Content-Length and Expect, which are not forwarded either.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Headers:
    """An ordered list of headers with case-insensitive names.

    Examples
    --------
    >>> headers = Headers([("host", "a"), ("connection", "close, x-a"), ("x-a", "1")])
    >>> headers.get("Host")
    'a'
    >>> headers.end_to_end().items()
    [('host', 'a')]
    """

    __slots__ = ("_items",)

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        self._items = [(name.lower(), value) for name, value in items]

    @property
    def field_count(self) -> int:
        """Return the number of fields."""
        return len(self._items)

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of header `name`, or `default`."""
        lower_name = name.lower()
        for key, value in self._items:
            if key == lower_name:
                return value
        return default

    def has(self, name: str) -> bool:
        """Return whether header `name` is present."""
        lower_name = name.lower()
        return any(key == lower_name for key, _ in self._items)

    def items(self) -> list[tuple[str, str]]:
        """Return lower-case names with their values, in order."""
        return list(self._items)

    def without(self, names: Iterable[str]) -> Headers:
        """Return the headers except those in `names`."""
        dropped = {name.lower() for name in names}
        return Headers(item for item in self._items if item[0] not in dropped)

    def adding(self, items: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers with `items` appended."""
        return Headers([*self._items, *items])

    def end_to_end(self) -> Headers:
        """Return the headers that are forwarded.

        Hop-by-hop headers are left out, and those that the Connection header lists.
        """
        connection_headers = {
            part.strip().lower()
            for name, value in self._items
            if name == "connection"
            for part in value.split(",")
        }
        return self.without(_HOP_BY_HOP_HEADERS | connection_headers)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    target: str
    headers: Headers

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
