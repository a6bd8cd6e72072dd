"""The endpoints that this node may use for a stage now."""

from __future__ import annotations

from dataclasses import replace

from sapphirehoist.configuration import Catalog, Endpoint
from sapphirehoist.decisions import Candidate, LoadBook, endpoint_subset
from sapphirehoist.decisions.subset import SUBSET_SIZE
from sapphirehoist.endpoints import EndpointStanding


class EndpointPools:
    """Candidates by pool, from configuration, standing and load.

    Parameters
    ----------
    vm, region : str
        This node.
    standing : EndpointStanding
        Which endpoints are leaving.
    loads : LoadBook
        Load and health.
    """

    __slots__ = ("_endpoints", "_pools", "_region", "_standing", "_vm", "loads")

    def __init__(
        self, vm: str, region: str, standing: EndpointStanding, loads: LoadBook
    ) -> None:
        self._vm = vm
        self._region = region
        self._standing = standing
        self.loads = loads
        self._pools: dict[str, list[Endpoint]] = {}
        self._endpoints: dict[str, Endpoint] = {}

    def use_catalog(self, catalog: Catalog) -> None:
        """Take the endpoints of a new configuration."""
        by_pool: dict[str, list[Endpoint]] = {}
        for endpoint in catalog.endpoints():
            by_pool.setdefault(endpoint.pool, []).append(endpoint)
        self._pools = {
            name: self._select_subset(pool) for name, pool in by_pool.items()
        }
        self._endpoints = {e.name: e for e in catalog.endpoints()}
        self.loads.keep_only(set(self._endpoints))

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by name."""
        return self._endpoints.get(name)

    def endpoint_names(self, pool: str) -> list[str]:
        """Return the names of all endpoints of `pool` that this node uses."""
        return [endpoint.name for endpoint in self._pools.get(pool, [])]

    def is_idempotent(self, pool: str, stage: str) -> bool:
        """Return whether every endpoint of `pool` says that `call` is idempotent."""
        return all(stage in e.idempotent_calls for e in self._pools.get(pool, []))

    def cross_region_bytes(self, endpoint: Endpoint, size: int) -> int:
        """Return `size` where `endpoint` is in another region, else 0."""
        return 0 if endpoint.region == self._region else size

    def candidates(self, pool: str, exclude: set[str]) -> list[Candidate]:
        """Return the endpoints that may get new work now.

        An endpoint that is probed after an ejection gets one call at a time. Where all
        that remain are ejected, they are candidates again.
        """
        usable = [
            endpoint
            for endpoint in self._pools.get(pool, [])
            if endpoint.name not in exclude
            and not self._standing.is_leaving(endpoint.name)
        ]
        healthy = [endpoint for endpoint in usable if self._is_healthy(endpoint.name)]
        return [self._build_candidate(endpoint) for endpoint in healthy or usable]

    def candidates_for_prediction(self, pool: str) -> list[Candidate]:
        """Return the candidates that a prediction can be based on.

        Those of this node's region, and of others only if they have answered before;
        a load report of theirs does not fade here, so that an old one is not taken for
        an idle endpoint.
        """
        predictable = []
        for candidate in self.candidates(pool, set()):
            if candidate.is_local:
                predictable.append(candidate)
            elif candidate.seconds_per_unit:
                load = self.loads.last_known_load(candidate.name)
                predictable.append(replace(candidate, load=load))
        return predictable

    def _is_healthy(self, name: str) -> bool:
        if self.loads.is_ejected(name):
            return False
        return not (self.loads.is_probing(name) and self.loads.get(name).in_flight)

    def _build_candidate(self, endpoint: Endpoint) -> Candidate:
        load = self.loads.get(endpoint.name)
        return Candidate(
            endpoint.name,
            endpoint.region,
            endpoint.region == self._region,
            endpoint.capacity,
            self.loads.estimated_load(endpoint.name),
            load.in_flight,
            load.seconds_per_unit,
        )

    def _select_subset(self, pool: list[Endpoint]) -> list[Endpoint]:
        """Return this node's part of a pool: some of its own region, some of others."""
        local = [e for e in pool if e.region == self._region]
        remote = [e for e in pool if e.region != self._region]
        selected_names = set(
            endpoint_subset(self._vm, [e.name for e in local], SUBSET_SIZE)
        )
        selected_names |= set(
            endpoint_subset(self._vm, [e.name for e in remote], SUBSET_SIZE)
        )
        return [endpoint for endpoint in pool if endpoint.name in selected_names]
