"""Candidate endpoints of each service, with their estimated load."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Collection, Mapping

from sapphirehoist.decisions import (
    Distance,
    EndpointBackoff,
    EndpointLimits,
    EndpointLoads,
    LimitState,
    PlacementCandidate,
    zone_distance,
)
from sapphirehoist.discovery import (
    Departure,
    EndpointDirectory,
    EndpointPhase,
    EndpointRecord,
)
from sapphirehoist.gateway.codec import LoadReport, ReplyMetadata
from sapphirehoist.gateway.endpoint_pacing import EndpointPacing
from sapphirehoist.routes import Service

_logger = logging.getLogger(__name__)


class EndpointCandidates:
    """Builds the candidate list of a service for the placement policies.

    It also counts the tokens of this node's generations at each model engine.

    Parameters
    ----------
    zone : str
        This node's availability zone.
    regions : dict of str to str
        Region of each availability zone.
    directory : EndpointDirectory
        Known endpoints and their phases.
    loads : EndpointLoads
        Load and health of each endpoint.
    backoff : EndpointBackoff
        Pauses that endpoints have asked this node for.
    limits : EndpointLimits
        Request rates that endpoints take from all nodes together.
    get_limit_share : callable
        Returns the fraction of such a rate, in requests per second, that this node may
        use at an endpoint.
    publish_limit : callable
        Publishes a limit that an endpoint named to this node.
    forward_pause : callable
        Forwards a pause in seconds to the VMs through which the endpoint was reached.
    pacing : EndpointPacing
        Paces requests to cold endpoints.
    is_evacuated : callable, optional
        Returns whether no request may be sent to endpoints in an availability zone.

    Attributes
    ----------
    may_have_restarted : callable
        Returns whether an endpoint may have another software version than its record.
    lost_at : callable
        Returns the monotonic time of the last loss at an endpoint; None if not lately.
    get_pace_factors : callable
        Returns the work time of engines of a service by name, relative to a typical
        one.
    """

    __slots__ = (
        "_backoff",
        "_directory",
        "_forward_pause",
        "_generation_tokens",
        "_invalid_slowdowns",
        "_get_limit_share",
        "_is_evacuated",
        "_limits",
        "_pacing",
        "_pending_prefill_tokens",
        "_publish_limit",
        "_regions",
        "_zone",
        "get_pace_factors",
        "loads",
        "lost_at",
        "may_have_restarted",
    )

    def __init__(
        self,
        zone: str,
        regions: dict[str, str],
        directory: EndpointDirectory,
        loads: EndpointLoads,
        backoff: EndpointBackoff,
        limits: EndpointLimits,
        get_limit_share: Callable[[EndpointRecord, float], float],
        publish_limit: Callable[[LimitState], None],
        forward_pause: Callable[[EndpointRecord, float], None],
        pacing: EndpointPacing,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._directory = directory
        self.loads = loads
        self._backoff = backoff
        self._limits = limits
        self._get_limit_share = get_limit_share
        self._publish_limit = publish_limit
        self._forward_pause = forward_pause
        self._pacing = pacing
        self._is_evacuated = is_evacuated
        self.may_have_restarted: Callable[[EndpointRecord], bool] = lambda _: False
        self.lost_at: Callable[[str], float | None] = lambda _: None
        self.get_pace_factors: Callable[[str], Mapping[str, float]] = lambda _: {}
        self._generation_tokens: Counter[str] = Counter()
        # Names of the endpoints whose last report stated an invalid slowdown.
        self._invalid_slowdowns: set[str] = set()
        self._pending_prefill_tokens: Counter[str] = Counter()

    def distance(self, record: EndpointRecord) -> Distance:
        """Return the distance between this node and the endpoint `record`."""
        return self.distance_between(self._zone, record.zone)

    def distance_between(self, zone: str, other: str) -> Distance:
        """Return the distance between two availability zones."""
        return zone_distance(zone, other, self._regions)

    def in_service_names(self, service: str) -> list[str]:
        """Return the names of the endpoints of `service` that are in service."""
        return [record.name for record in self._directory.list_in_service(service)]

    def get_record(self, name: str) -> EndpointRecord | None:
        """Return the record of an endpoint by name; None if it is unknown."""
        return self._directory.get(name)

    def candidates(
        self,
        service: Service,
        tried: Collection[str],
        software_version: str | None = None,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[PlacementCandidate]:
        """Return candidates not in `tried`; ejected ones only if no other is left.

        Endpoints that want no request from this node now are never candidates, nor are
        those of another software version than `software_version`, or that may have it
        by now, unless it is None, nor those that are not eligible; see `is_eligible`.
        """
        records = [
            record
            for record in self.eligible_records(
                service.name, software_version, allowed_regions
            )
            if record.name not in tried and not self.backoff_s(record)
        ]
        if software_version is not None:
            records = [r for r in records if not self.may_have_restarted(r)]
        available = [
            record for record in records if not self.loads.is_ejected(record.name)
        ]
        return self._build_candidates(available or records, service)

    def backoff_s(self, record: EndpointRecord) -> float:
        """Return for how long `record` still wants no requests from this node.

        The endpoint asked for a pause, named a limit that this node has used up, or is
        cold and not this node's turn.
        """
        return max(
            self.pause_s(record),
            self._limit_wait_s(record),
            self._pacing.wait_s(record),
        )

    def describe_pacing(self, service: str) -> str:
        """Return which endpoints of `service` are paced, to be added to a detail."""
        records = self._directory.list_in_service(service)
        counts = {
            "cold": sum(map(self._pacing.is_cold, records)),
            "brittle": sum(map(self._pacing.is_brittle, records)),
        }
        return "".join(
            f" ({state}: {count} of {len(records)})"
            for state, count in counts.items()
            if count
        )

    def is_brittle(self, record: EndpointRecord) -> bool:
        """Return whether `record` collapses if it has to reject many requests."""
        return self._pacing.is_brittle(record)

    def pause_s(self, record: EndpointRecord) -> float:
        """Return the remaining time of the pause that `record` asked this node for."""
        return self._backoff.remaining_s(record.name, record.born_ms)

    def record_pause(self, record: EndpointRecord, pause_s: float) -> None:
        """Record that `record` wants no requests from this VM for `pause_s`."""
        self._backoff.record_refusal(record.name, record.born_ms, pause_s)
        _logger.info(
            "endpoint asked for a pause",
            extra={"endpoint": record.name, "pause_s": pause_s},
        )

    def record_send(self, record: EndpointRecord) -> None:
        """Count a request that is sent to `record` towards its limits."""
        self._limits.record_send(record.name)
        self._pacing.record_send(record)

    def _limit_wait_s(self, record: EndpointRecord) -> float:
        limit_per_s = self._limits.limit_per_s(record.name, record.born_ms)
        if limit_per_s is None:
            return 0.0
        share = self._get_limit_share(record, limit_per_s)
        return self._limits.wait_s(record.name, record.born_ms, share)

    def is_eligible(
        self, record: EndpointRecord, allowed_regions: frozenset[str] | None
    ) -> bool:
        """Return whether `record` may receive a request with these allowed regions.

        No endpoint in an evacuated zone may. An endpoint in a zone of unknown region is
        eligible only without a restriction.
        """
        if self._is_evacuated(record.zone):
            return False
        return (
            allowed_regions is None
            or self._regions.get(record.zone, "") in allowed_regions
        )

    def eligible_records(
        self,
        service: str,
        software_version: str | None = None,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[EndpointRecord]:
        """Return the eligible endpoints of `service` that are in service.

        Only those of `software_version` are returned, unless it is None.
        """
        return [
            record
            for record in self._directory.list_in_service(service)
            if software_version in (None, record.software_version)
            and self.is_eligible(record, allowed_regions)
        ]

    def is_version_in_service(
        self,
        service: str,
        software_version: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> bool:
        """Return whether an eligible endpoint of `service` has this version."""
        return bool(self.eligible_records(service, software_version, allowed_regions))

    def service_backoff_s(
        self,
        service: str,
        software_version: str | None = None,
        allowed_regions: frozenset[str] | None = None,
    ) -> float:
        """Return the time until an endpoint of `service` accepts requests again.

        It is 0 unless no eligible endpoint wants a request from this node now. Only
        endpoints of `software_version` are considered, unless it is None.
        """
        records = self.eligible_records(service, software_version, allowed_regions)
        return min(map(self.backoff_s, records), default=0.0)

    def discard(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that is gone."""
        self.loads.discard_if_idle(endpoint)
        self._backoff.discard(endpoint)
        self._limits.discard(endpoint)
        self._pacing.discard(endpoint)
        self._invalid_slowdowns.discard(endpoint)

    def record_reply(
        self, record: EndpointRecord, reply: ReplyMetadata, sent_at: float
    ) -> None:
        """Record what a reply to a request to `record` states about the endpoint.

        `sent_at` is the monotonic time at which the request was sent.
        """
        if reply.endpoint and reply.endpoint != record.name:
            return  # another endpoint has taken the address
        if reply.load is not None:
            load = reply.load.running + reply.load.waiting
            self.loads.record_report(record.name, load, reply.load.slowdown)
            self._check_slowdown(record.name, reply.load)
        if reply.retry_after_s is not None:
            self.record_pause(record, reply.retry_after_s)
            self._forward_pause(record, reply.retry_after_s)
        limit = self._limits.observe(
            record.name, record.born_ms, reply.limit_per_s, sent_at
        )
        if limit is not None:
            self._publish_limit(limit)
        self._pacing.record_reply(record, reply, sent_at)
        if reply.is_leaving:
            self._directory.apply_departure(
                Departure(record.name, record.born_ms, EndpointPhase.DRAINING),
                "its own reply",
            )

    def _check_slowdown(self, endpoint: str, load: LoadReport) -> None:
        """Log when an endpoint begins or ceases to state an invalid slowdown."""
        is_invalid = bool(load.invalid_slowdown)
        if is_invalid == (endpoint in self._invalid_slowdowns):
            return
        if is_invalid:
            self._invalid_slowdowns.add(endpoint)
        else:
            self._invalid_slowdowns.discard(endpoint)
        _logger.warning(
            "endpoint states an invalid slowdown"
            if is_invalid
            else "endpoint states a valid slowdown again",
            extra={"endpoint": endpoint, "slowdown": load.invalid_slowdown[:40]},
        )

    def begin_generation(self, endpoint: str, tokens: int) -> None:
        """Add the tokens of a generation that starts at an engine."""
        self._generation_tokens[endpoint] += tokens

    def end_generation(self, endpoint: str, tokens: int) -> None:
        """Subtract the tokens of a generation that has ended."""
        self._generation_tokens[endpoint] -= tokens
        if self._generation_tokens[endpoint] <= 0:
            del self._generation_tokens[endpoint]

    def begin_prefill(self, endpoint: str, tokens: int) -> None:
        """Add pending prefill tokens of a prompt sent to an engine."""
        self._pending_prefill_tokens[endpoint] += tokens

    def end_prefill(self, endpoint: str, tokens: int) -> None:
        """Subtract pending prefill tokens that were computed or abandoned."""
        self._pending_prefill_tokens[endpoint] -= tokens
        if self._pending_prefill_tokens[endpoint] <= 0:
            del self._pending_prefill_tokens[endpoint]

    def _build_candidates(
        self, records: Collection[EndpointRecord], service: Service
    ) -> list[PlacementCandidate]:
        names = [record.name for record in records]
        loads = self.loads.estimated_loads({r.name: r.zone for r in records})
        factors = self._work_time_factors(names, service)
        usual_s = self.loads.usual_unit_time_s(names)
        waits_s = self.loads.group_waits_s({r.name: r.zone for r in records})
        return [
            self._build_candidate(
                record,
                service,
                loads[record.name],
                factors[record.name],
                usual_s,
                waits_s[record.zone],
            )
            for record in records
        ]

    def _work_time_factors(
        self, names: list[str], service: Service
    ) -> Mapping[str, float]:
        """Return the work time of endpoints relative to a typical one.

        Those of model engines are known to all nodes alike: with estimates of its own,
        each node would derive other home engines for shared prompt parts.
        """
        if service.model_engine_spec is None:
            return self.loads.relative_time_factors(names)
        paces = self.get_pace_factors(service.name)
        return {name: paces.get(name, 1.0) for name in names}

    def _build_candidate(
        self,
        record: EndpointRecord,
        service: Service,
        load: float,
        time_factor: float,
        usual_s: float,
        wait_s: float,
    ) -> PlacementCandidate:
        state = self.loads.get(record.name)
        kv_capacity_tokens = (
            service.model_engine_spec.kv_capacity_tokens
            if service.model_engine_spec
            else 0
        )
        # Scales this node's token counts to all nodes, on the assumption that
        # generations of other nodes have the same size on average.
        fleet_load_ratio = max(1.0, load / max(1, state.in_flight))
        return PlacementCandidate(
            record.name,
            self.distance(record),
            max(1, record.slots),
            load,
            state.seconds_per_unit or usual_s,
            self._generation_tokens[record.name] * fleet_load_ratio,
            self._pending_prefill_tokens[record.name] * fleet_load_ratio,
            kv_capacity_tokens,
            record.zone,
            self._pacing.is_cold(record),
            time_factor,
            self.loads.slowdown(record.name),
            wait_s,
        )
