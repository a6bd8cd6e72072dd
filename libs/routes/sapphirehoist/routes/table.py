"""A configuration indexed for requests, and the newest one that a node holds."""

from __future__ import annotations

import logging
from collections.abc import Callable
from zlib import crc32

from sapphirehoist.routes.model import Route, RoutingConfig, Service, Team

_logger = logging.getLogger(__name__)


class RouteTable:
    """Looks up routes, services and keys of one configuration.

    Parameters
    ----------
    config : RoutingConfig
        What to index.

    Examples
    --------
    >>> from sapphirehoist.routes.model import CallKind, Share
    >>> route = Route("r", "h", "/a/", CallKind.IDEMPOTENT, 1, 1, 0, (Share("s", 1),))
    >>> table = RouteTable(RoutingConfig(1, (route,)))
    >>> table.match("h", "/a/b").name
    'r'
    >>> table.match("h", "/b/") is None
    True
    """

    __slots__ = ("_hosts", "_keys", "_services", "config")

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._services = {service.name: service for service in config.services}
        self._keys = {key: team for team in config.teams for key in team.keys}
        self._hosts: dict[str, list[Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.config.version

    @property
    def has_teams(self) -> bool:
        """Return whether callers need a key."""
        return bool(self.config.teams)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return the service `name`."""
        return self._services.get(name)

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds `key`."""
        return self._keys.get(key)


def pick_service(route: Route, request_id: str) -> str:
    """Return the service for a request, by the weights of the route's shares.

    A request's id decides, so that every node sends it to the same service.
    """
    total = sum(share.weight for share in route.shares)
    point = crc32(request_id.encode()) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


class RouteHolder:
    """The newest configuration that this node has seen; it never goes back."""

    __slots__ = ("_listeners", "document", "table")

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.document = b""
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force; 0 while there is none."""
        return self.table.version if self.table is not None else 0

    def on_change(self, listener: Callable[[RouteTable], None]) -> None:
        """Call `listener` with each new table."""
        self._listeners.append(listener)

    def offer(self, config: RoutingConfig, document: bytes, source: str) -> bool:
        """Put `config` in force if it is newer; return whether it was."""
        if config.version <= self.version:
            return False
        old = self.version
        self.table = RouteTable(config)
        self.document = document
        _logger.info(
            "configuration in force",
            extra={
                "version": config.version,
                "previous": old,
                "source": source,
                "routes": len(config.routes),
                "teams": len(config.teams),
            },
        )
        for listener in self._listeners:
            listener(self.table)
        return True
