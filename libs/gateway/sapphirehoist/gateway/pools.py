"""The endpoints that may take work now, with what is known of their load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from sapphirehoist.decisions import Distance, LoadBook, Place
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.dialect import LoadReport
from sapphirehoist.routes import Service


class EndpointPools:
    """Places of a service, for the placement policies.

    Parameters
    ----------
    zone : str
        This node's availability zone.
    regions : dict of str to str
        Region of each availability zone.
    directory : EndpointDirectory
        Who is in service.
    loads : LoadBook
        Load and health.
    """

    __slots__ = (
        "_directory",
        "_held_tokens",
        "_regions",
        "_unread_tokens",
        "_zone",
        "loads",
    )

    def __init__(
        self,
        zone: str,
        regions: dict[str, str],
        directory: EndpointDirectory,
        loads: LoadBook,
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._directory = directory
        self.loads = loads
        self._held_tokens: Counter[str] = Counter()
        self._unread_tokens: Counter[str] = Counter()

    def distance(self, record: EndpointRecord) -> Distance:
        """Return how far `record` is from this node."""
        return self.distance_between(self._zone, record.zone)

    def distance_between(self, zone: str, other: str) -> Distance:
        """Return how far two availability zones are from each other."""
        if zone == other:
            return Distance.SAME_ZONE
        if self._regions.get(zone, zone) == self._regions.get(other, other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def names(self, service: str) -> list[str]:
        """Return the endpoints of `service` that are in service."""
        return [record.name for record in self._directory.in_service(service)]

    def record(self, name: str) -> EndpointRecord | None:
        """Return an endpoint by name."""
        return self._directory.get(name)

    def places(self, service: Service, tried: Collection[str]) -> list[Place]:
        """Return the places to try; ejected ones only if no other is left."""
        records = [
            r for r in self._directory.in_service(service.name) if r.name not in tried
        ]
        able = [r for r in records if not self.loads.is_ejected(r.name)]
        return [self._place(record, service) for record in able or records]

    def take_report(self, endpoint: str, report: LoadReport | None) -> None:
        """Take the load that an endpoint tells of itself."""
        if report is not None:
            self.loads.report(endpoint, report.running + report.waiting)

    def hold(self, endpoint: str, tokens: int) -> None:
        """Count a generation's tokens at an engine."""
        self._held_tokens[endpoint] += tokens

    def release(self, endpoint: str, tokens: int) -> None:
        """Count the end of a generation."""
        self._held_tokens[endpoint] -= tokens
        if self._held_tokens[endpoint] <= 0:
            del self._held_tokens[endpoint]

    def begin_reading(self, endpoint: str, tokens: int) -> None:
        """Count a prompt that an engine has to read."""
        self._unread_tokens[endpoint] += tokens

    def end_reading(self, endpoint: str, tokens: int) -> None:
        """Count a prompt as read, or as given up."""
        self._unread_tokens[endpoint] -= tokens
        if self._unread_tokens[endpoint] <= 0:
            del self._unread_tokens[endpoint]

    def _place(self, record: EndpointRecord, service: Service) -> Place:
        state = self.loads.get(record.name)
        load = self.loads.estimated_load(record.name)
        memory = service.model_pool.kv_tokens if service.model_pool else 0
        # Other nodes' generations are taken to be as large as this node's.
        others = max(1.0, load / max(1, state.in_flight))
        return Place(
            record.name,
            self.distance(record),
            max(1, record.slots),
            load,
            state.seconds_per_unit,
            self._held_tokens[record.name] * others,
            self._unread_tokens[record.name] * others,
            memory,
            record.zone,
        )
