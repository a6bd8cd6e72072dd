"""Index of a routing configuration, and the holder of the one in force on a node."""

from __future__ import annotations

import logging
from collections.abc import Callable
from zlib import crc32

from sapphirehoist.routes.model import Route, RoutingConfig, Service, Team

_logger = logging.getLogger(__name__)


class RouteTable:
    """Looks up routes, services and API keys of one routing configuration.

    Parameters
    ----------
    config : RoutingConfig
        Configuration to index.

    Examples
    --------
    >>> from sapphirehoist.routes.model import RequestKind, TrafficShare
    >>> shares = (TrafficShare("s", 1),)
    >>> route = Route("r", "h", "/a/", RequestKind.IDEMPOTENT, 1, 1, 0, shares)
    >>> table = RouteTable(RoutingConfig(1, (route,)))
    >>> table.match("h", "/a/b").name
    'r'
    >>> table.match("h", "/b/") is None
    True
    """

    __slots__ = ("_routes_by_host", "_services_by_name", "_teams_by_api_key", "config")

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._services_by_name = {service.name: service for service in config.services}
        self._teams_by_api_key = {
            key: team for team in config.teams for key in team.api_keys
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.config.version

    @property
    def has_teams(self) -> bool:
        """Return whether callers need an API key, except on public routes."""
        return bool(self.config.teams)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching prefix of `path`.

        Returns None if no route matches. A port in `host` is ignored.
        """
        for route in self._routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the home regions of all routes of `host`.

        The result is empty if a route has none, or the host has no route.
        """
        regions = [route.home_regions for route in self._routes_of(host)]
        return frozenset().union(*regions) if all(regions) else frozenset()

    def _routes_of(self, host: str) -> list[Route]:
        hostname = host.rpartition(":")[0] if ":" in host else host
        return self._routes_by_host.get(hostname.lower(), [])

    def get_service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return self._services_by_name.get(name)

    def get_team(self, api_key: str) -> Team | None:
        """Return the team with this API key, or None."""
        return self._teams_by_api_key.get(api_key)


def pick_service(route: Route, request_id: str) -> str:
    """Choose the service of a request according to the route's traffic split.

    The service is chosen by a hash of the request id, so that all nodes choose the
    same one.
    """
    total_weight = sum(share.weight for share in route.traffic_shares)
    position = crc32(request_id.encode()) / 2**32 * total_weight
    for share in route.traffic_shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.traffic_shares[-1].service


class RoutingReplica:
    """Holds the routing configuration in force on this node.

    Its version never decreases. After a restore of the store from a copy, the operator
    may give a version out again with another content: of two contents of one version,
    the one of the later era is in force.

    Attributes
    ----------
    era : int
        Latest era of the store in which the configuration in force was read.
    table : RouteTable or None
        Index of the configuration in force.
    document : bytes
        Encoded form of the configuration in force, as received.
    """

    __slots__ = ("_listeners", "document", "era", "table")

    def __init__(self) -> None:
        self.era = 0
        self.table: RouteTable | None = None
        self.document = b""
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force; 0 if there is none."""
        return self.table.version if self.table is not None else 0

    def on_change(self, listener: Callable[[RouteTable], None]) -> None:
        """Register `listener`, which is called with each newly applied table."""
        self._listeners.append(listener)

    def apply_if_newer(
        self, config: RoutingConfig, document: bytes, source: str, era: int = 0
    ) -> bool:
        """Apply `config` if it is newer; return whether it was applied.

        Parameters
        ----------
        config : RoutingConfig
            Decoded configuration.
        document : bytes
            Encoded form of `config`.
        source : str
            Where the configuration was received from, for the log.
        era : int, optional
            Era of the store in which the configuration was read.
        """
        if (config.version, era) <= (self.version, self.era):
            return False
        previous, is_same = self.version, document == self.document
        self.era = era
        if is_same:
            return False
        self.table = RouteTable(config)
        self.document = document
        _logger.info(
            "configuration in force",
            extra={
                "version": config.version,
                "previous": previous,
                "era": era,
                "source": source,
                "routes": len(config.routes),
                "teams": len(config.teams),
            },
        )
        for listener in self._listeners:
            listener(self.table)
        return True
