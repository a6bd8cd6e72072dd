"""Keeps this node's requests to brittle endpoints from being rejected."""

from __future__ import annotations

from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import BrittleEndpoints, EndpointLoads, LimitState
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.codec import ReplyMetadata
from sapphirehoist.observability import Metrics

# An endpoint that collapses is removed before its lost requests are recorded.
_COLLAPSE_RETENTION_S = 30.0


class BrittleGuard:
    """Applies `BrittleEndpoints` to the endpoints of this node.

    Parameters
    ----------
    vm : str
        Name of this VM.
    endpoints : BrittleEndpoints
        Decides about requests to brittle endpoints.
    loads : EndpointLoads
        Requests of this node at each endpoint.
    list_senders : callable
        Returns the VMs that may send requests; a new list for each change.
    has_owner : callable
        Returns whether one VM makes all calls to the endpoints of a service, one at a
        time; they do not reject calls for lack of capacity.
    publish : callable
        Publishes what a reply states about the rejections of an endpoint.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Receives ``brittle_rejections_total`` and ``brittle_risky_sends_total``.
    """

    __slots__ = (
        "_brittle_at",
        "_clock",
        "_endpoints",
        "_has_owner",
        "_list_senders",
        "_loads",
        "_metrics",
        "_publish",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        endpoints: BrittleEndpoints,
        loads: EndpointLoads,
        list_senders: Callable[[], list[str]],
        has_owner: Callable[[str], bool],
        publish: Callable[[LimitState], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._vm = vm
        self._endpoints = endpoints
        self._loads = loads
        self._list_senders = list_senders
        self._has_owner = has_owner
        self._publish = publish
        self._clock = clock
        self._metrics = metrics
        # Times at which incarnations were last known to be brittle.
        self._brittle_at: dict[tuple[str, int], float] = {}

    def is_brittle(self, record: EndpointRecord) -> bool:
        """Return whether `record` is brittle, or was when it was removed."""
        if self._endpoints.is_brittle(record.name, record.born_ms):
            return True
        at = self._brittle_at.get((record.name, record.born_ms))
        return at is not None and self._clock.monotonic() - at < _COLLAPSE_RETENTION_S

    def wait_s(self, record: EndpointRecord) -> float:
        """Return how long this node waits before its next request to `record`."""
        if not self._is_guarded(record):
            return 0.0
        return self._endpoints.wait_s(
            record.name,
            record.born_ms,
            record.slots,
            self._loads.get(record.name).in_flight,
            self._vm,
            self._list_senders(),
        )

    def record_send(self, record: EndpointRecord) -> None:
        """Count a request that may be rejected."""
        if not self._is_guarded(record):
            return
        is_risky = self._endpoints.record_send(
            record.name,
            record.born_ms,
            record.slots,
            self._loads.get(record.name).in_flight,
            self._vm,
            self._list_senders(),
        )
        if is_risky:
            self._metrics.count("brittle_risky_sends_total", service=record.service)

    def record_reply(
        self, record: EndpointRecord, reply: ReplyMetadata, sent_at: float
    ) -> None:
        """Record what a reply to a request sent at `sent_at` states."""
        state = self._endpoints.limits.observe(
            record.name, record.born_ms, reply.survived_rejections_per_s, sent_at
        )
        if state is not None:
            self._publish(state)
        key = (record.name, record.born_ms)
        if reply.survived_rejections_per_s is None:
            self._brittle_at.pop(key, None)
            return
        if reply.load is not None:
            total = reply.load.running + reply.load.waiting
            self._endpoints.record_load(record.name, total, reply.is_not_run)
        if reply.is_not_run:
            self._metrics.count("brittle_rejections_total", service=record.service)

    def discard(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that is gone."""
        now = self._clock.monotonic()
        self._brittle_at = {
            key: at
            for key, at in self._brittle_at.items()
            if now - at < _COLLAPSE_RETENTION_S
        }
        for state in self._endpoints.limits.states():
            if state.endpoint == endpoint and state.per_s is not None:
                self._brittle_at[(endpoint, state.incarnation)] = now
        self._endpoints.discard(endpoint)

    def _is_guarded(self, record: EndpointRecord) -> bool:
        return self._endpoints.is_brittle(
            record.name, record.born_ms
        ) and not self._has_owner(record.service)
