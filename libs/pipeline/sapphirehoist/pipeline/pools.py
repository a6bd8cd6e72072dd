"""Selection of the endpoints that this node may call for a stage."""

from __future__ import annotations

from dataclasses import replace

from sapphirehoist.configuration import Catalog, Endpoint
from sapphirehoist.decisions import EndpointLoads, RoutingCandidate, endpoint_subset
from sapphirehoist.decisions.subset import SUBSET_SIZE
from sapphirehoist.endpoints import EndpointStatuses


class EndpointPools:
    """Candidate endpoints of each pool, from configuration, status and load.

    Parameters
    ----------
    vm, region : str
        VM and region of this node.
    endpoint_statuses : EndpointStatuses
        Tells which endpoints are leaving.
    loads : EndpointLoads
        Load and health of the endpoints, as known to this node.
    """

    __slots__ = (
        "_endpoints",
        "_pools",
        "_region",
        "_endpoint_statuses",
        "_vm",
        "loads",
    )

    def __init__(
        self,
        vm: str,
        region: str,
        endpoint_statuses: EndpointStatuses,
        loads: EndpointLoads,
    ) -> None:
        self._vm = vm
        self._region = region
        self._endpoint_statuses = endpoint_statuses
        self.loads = loads
        self._pools: dict[str, list[Endpoint]] = {}
        self._endpoints: dict[str, Endpoint] = {}

    def apply_catalog(self, catalog: Catalog) -> None:
        """Replace the endpoints with those of a new configuration."""
        by_pool: dict[str, list[Endpoint]] = {}
        for endpoint in catalog.endpoints():
            by_pool.setdefault(endpoint.pool, []).append(endpoint)
        self._pools = {
            name: self._select_subset(pool) for name, pool in by_pool.items()
        }
        self._endpoints = {e.name: e for e in catalog.endpoints()}
        self.loads.retain(set(self._endpoints))

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint called `name`, or None if it is not configured."""
        return self._endpoints.get(name)

    def endpoint_names(self, pool: str) -> list[str]:
        """Return the names of the endpoints in this node's subset of `pool`."""
        return [endpoint.name for endpoint in self._pools.get(pool, [])]

    def is_idempotent(self, pool: str, stage: str) -> bool:
        """Return whether every endpoint of `pool` declares `stage` idempotent."""
        return all(stage in e.idempotent_calls for e in self._pools.get(pool, []))

    def cross_region_bytes(self, endpoint: Endpoint, size: int) -> int:
        """Return `size`, in bytes, if `endpoint` is in another region, else 0."""
        return 0 if endpoint.region == self._region else size

    def candidates(self, pool: str, exclude: set[str]) -> list[RoutingCandidate]:
        """Return the endpoints of `pool` that may receive a new call.

        Leaving endpoints are always left out. Ejected endpoints are left out unless no
        healthy endpoint remains, and so are endpoints that are probed after an ejection
        while they run a call: they get one call at a time.

        Parameters
        ----------
        pool : str
            Name of the pool.
        exclude : set of str
            Names of endpoints to leave out.
        """
        usable = [
            endpoint
            for endpoint in self._pools.get(pool, [])
            if endpoint.name not in exclude
            and not self._endpoint_statuses.is_leaving(endpoint.name)
        ]
        healthy = [endpoint for endpoint in usable if self._is_healthy(endpoint.name)]
        return [self._build_candidate(endpoint) for endpoint in healthy or usable]

    def candidates_for_prediction(self, pool: str) -> list[RoutingCandidate]:
        """Return the candidates of `pool` that a latency prediction is based on.

        These are the candidates in this node's region, and those of other regions whose
        speed has been measured. The last load report of a remote candidate is used
        without decay: a decayed one would make the endpoint appear idle.
        """
        predictable = []
        for candidate in self.candidates(pool, set()):
            if candidate.is_local:
                predictable.append(candidate)
            elif candidate.seconds_per_unit:
                load = self.loads.undecayed_load(candidate.name)
                predictable.append(replace(candidate, load=load))
        return predictable

    def _is_healthy(self, name: str) -> bool:
        if self.loads.is_ejected(name):
            return False
        return not (self.loads.is_probing(name) and self.loads.get(name).in_flight)

    def _build_candidate(self, endpoint: Endpoint) -> RoutingCandidate:
        load = self.loads.get(endpoint.name)
        return RoutingCandidate(
            endpoint.name,
            endpoint.region,
            endpoint.region == self._region,
            endpoint.capacity,
            self.loads.estimated_load(endpoint.name),
            load.in_flight,
            load.seconds_per_unit,
        )

    def _select_subset(self, pool: list[Endpoint]) -> list[Endpoint]:
        """Return this node's subset of `pool`, within its region and outside it."""
        local = [e for e in pool if e.region == self._region]
        remote = [e for e in pool if e.region != self._region]
        selected_names = set(
            endpoint_subset(self._vm, [e.name for e in local], SUBSET_SIZE)
        )
        selected_names |= set(
            endpoint_subset(self._vm, [e.name for e in remote], SUBSET_SIZE)
        )
        return [endpoint for endpoint in pool if endpoint.name in selected_names]
