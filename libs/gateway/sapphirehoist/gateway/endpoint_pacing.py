"""Paces requests to endpoints at the rates that these declare for themselves."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import EndpointLimits
from sapphirehoist.discovery import EndpointDirectory, EndpointRecord
from sapphirehoist.gateway.brittle_guard import BrittleGuard
from sapphirehoist.gateway.codec import ReplyMetadata
from sapphirehoist.observability import Metrics
from sapphirehoist.routes import Service

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _ColdPeriod:
    """What this node sent a cold endpoint, and what its share allowed."""

    incarnation: int
    counted_at: float
    sent: int = 0
    allowed: float = 0.0


class EndpointPacing:
    """Tells when this node may send a request to a cold or brittle endpoint.

    Parameters
    ----------
    directory : EndpointDirectory
        Knows how much longer each endpoint is cold.
    limits : EndpointLimits
        Paces the requests of this node.
    get_service : callable
        Returns a service of the configuration in force by name; None if it has none.
    get_cold_share : callable
        Returns the fraction of a rate, in requests per second, that this node may use
        at a cold endpoint.
    publish_cold : callable
        Publishes a longer warm-up time, in seconds, that an endpoint stated.
    brittle : BrittleGuard
        Decides about brittle endpoints.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Receives ``cold_sends_total``, ``cold_share_total`` and ``cold_changes_total``.
    """

    __slots__ = (
        "_clock",
        "_brittle",
        "_cold_periods",
        "_directory",
        "_get_cold_share",
        "_get_service",
        "_invalid_fields",
        "_limits",
        "_metrics",
        "_publish_cold",
    )

    def __init__(
        self,
        directory: EndpointDirectory,
        limits: EndpointLimits,
        get_service: Callable[[str], Service | None],
        get_cold_share: Callable[[EndpointRecord, float], float],
        publish_cold: Callable[[EndpointRecord, float], None],
        brittle: BrittleGuard,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._limits = limits
        self._get_service = get_service
        self._get_cold_share = get_cold_share
        self._publish_cold = publish_cold
        self._brittle = brittle
        self._clock = clock
        self._metrics = metrics
        self._cold_periods: dict[str, _ColdPeriod] = {}
        # Statements that were logged as not valid, by endpoint.
        self._invalid_fields: dict[str, tuple[str, ...]] = {}

    def is_cold(self, record: EndpointRecord) -> bool:
        """Return whether requests to `record` are paced because it is cold."""
        return self._cold_rate_per_s(record) > 0

    def wait_s(self, record: EndpointRecord) -> float:
        """Return how long this node waits before its next request to `record`."""
        brittle_wait_s = self._brittle.wait_s(record)
        per_s = self._cold_rate_per_s(record)
        if per_s <= 0:
            return brittle_wait_s
        share = self._get_cold_share(record, per_s)
        wait_s = self._limits.paced_wait_s(record.name, per_s, share)
        wait_s = min(wait_s, self._directory.cold_remaining_s(record.name))
        return max(wait_s, brittle_wait_s)

    def is_brittle(self, record: EndpointRecord) -> bool:
        """Return whether `record` collapses if it has to reject many requests."""
        return self._brittle.is_brittle(record)

    def record_send(self, record: EndpointRecord) -> None:
        """Count a request to `record` if it is cold or brittle."""
        self._brittle.record_send(record)
        if self.is_cold(record):
            self._metrics.count("cold_sends_total", service=record.service)
            period = self._cold_periods.get(record.name)
            if period is not None:
                period.sent += 1

    def record_reply(
        self, record: EndpointRecord, reply: ReplyMetadata, sent_at: float
    ) -> None:
        """Record what a reply to a request sent at `sent_at` declares."""
        self._brittle.record_reply(record, reply, sent_at)
        if reply.invalid_fields != self._invalid_fields.get(record.name, ()):
            self._invalid_fields[record.name] = reply.invalid_fields
            if reply.invalid_fields:
                _logger.warning(
                    "invalid statement of an endpoint ignored",
                    extra={"endpoint": record.name, "detail": reply.invalid_fields},
                )
        if reply.cold_s is not None:
            is_extended = self._directory.record_cold(record, reply.cold_s, sent_at)
            if is_extended:
                self._publish_cold(record, reply.cold_s)

    def discard(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that is gone."""
        self._brittle.discard(endpoint)
        self._cold_periods.pop(endpoint, None)
        self._invalid_fields.pop(endpoint, None)

    def log_changes(self) -> None:
        """Log which endpoints have become cold or warm since the last call."""
        now = self._clock.monotonic()
        for record in self._directory.list_all():
            per_s = self._cold_rate_per_s(record)
            period = self._cold_periods.get(record.name)
            if period is not None and (
                per_s <= 0 or period.incarnation != record.born_ms
            ):
                self._end_cold_period(record, self._cold_periods.pop(record.name))
                period = None
            if per_s <= 0:
                continue
            if period is None:
                period = self._begin_cold_period(record, per_s, now)
            allowed = self._get_cold_share(record, per_s) * per_s
            before = int(period.allowed)
            period.allowed += allowed * (now - period.counted_at)
            period.counted_at = now
            self._metrics.count(
                "cold_share_total", int(period.allowed) - before, service=record.service
            )

    def _begin_cold_period(
        self, record: EndpointRecord, per_s: float, now: float
    ) -> _ColdPeriod:
        period = self._cold_periods[record.name] = _ColdPeriod(record.born_ms, now)
        self._metrics.count("cold_changes_total", change="cold")
        _logger.info(
            "endpoint cold",
            extra={
                "endpoint": record.name,
                "service": record.service,
                "zone": record.zone,
                "cold_s": round(self._directory.cold_remaining_s(record.name), 1),
                "rate_per_s": per_s,
                "share": round(self._get_cold_share(record, per_s), 3),
            },
        )
        return period

    def _end_cold_period(self, record: EndpointRecord, period: _ColdPeriod) -> None:
        self._metrics.count("cold_changes_total", change="warm")
        _logger.info(
            "endpoint warm",
            extra={
                "endpoint": record.name,
                "service": record.service,
                "sent": period.sent,
                "share_requests": round(period.allowed, 1),
            },
        )

    def _cold_rate_per_s(self, record: EndpointRecord) -> float:
        """Return the rate of a cold endpoint; 0 for one that is not paced."""
        if self._directory.cold_remaining_s(record.name) <= 0:
            return 0.0
        service = self._get_service(record.service)
        return service.cold_rate_per_s if service is not None else 0.0
