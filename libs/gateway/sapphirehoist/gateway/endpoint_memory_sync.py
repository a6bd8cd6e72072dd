"""Shares how many bytes of request bodies endpoints held when they crashed.

Each VM reports what it had in flight, and all of them add the reports up.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterable
from typing import ClassVar

from sapphirehoist.decisions import (
    EndpointMemory,
    EngineCrash,
    HeldBytes,
    PlacementCandidate,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.attempt_outcome import AttemptOutcome
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.crash_quarantine_sync import CrashQuarantineSync
from sapphirehoist.gateway.error_response import ErrorReason, ErrorResponse
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.messages import element_digest
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage
from sapphirehoist.routes import Service

_PEER_REQUEST_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class HeldBytesUpdate(PeerMessage, frozen=True, array_like=True):
    """Publishes what one VM had in flight at a crash; see `HeldBytes`."""

    KIND: ClassVar[str] = "gateway.held_bytes"

    service: str
    endpoint: str
    born_ms: int
    vm: str
    held_bytes: int
    survived_bytes: int


class HeldBytesRequest(PeerMessage, frozen=True, array_like=True):
    """Requests all reports that the receiver knows."""

    KIND: ClassVar[str] = "gateway.held_bytes_request"


class HeldBytesReply(PeerMessage, frozen=True, array_like=True):
    """All reports that the sender knows."""

    KIND: ClassVar[str] = "gateway.held_bytes_reply"

    updates: list[HeldBytesUpdate]


class EndpointMemorySync:
    """Keeps requests from endpoints that have no memory for their bodies.

    Parameters
    ----------
    memory : EndpointMemory
        Decides how many bytes an endpoint bears.
    endpoints : EndpointCandidates
        Load of each endpoint, which scales this VM's view to the fleet.
    crash_quarantine : CrashQuarantineSync
        Tells of verified crashes.
    fleet : Fleet
        Floods reports and compares digests of them.
    bus : PeerBus
        Requests the reports of a peer.
    """

    __slots__ = ("_bus", "_endpoints", "_fleet", "_memory")

    def __init__(
        self,
        memory: EndpointMemory,
        endpoints: EndpointCandidates,
        crash_quarantine: CrashQuarantineSync,
        fleet: Fleet,
        bus: PeerBus,
    ) -> None:
        self._memory = memory
        self._endpoints = endpoints
        self._fleet = fleet
        self._bus = bus
        crash_quarantine.on_crash = self._handle_crash
        fleet.add_digest(Digest("held_bytes", self._read_digest, self._reconcile))
        fleet.subscribe_updates(HeldBytesUpdate, self._handle_update)
        bus.subscribe(HeldBytesRequest, self._handle_request)

    def limit_bytes(self, service: str) -> int | None:
        """Return the bytes that an endpoint of `service` bears; None if not known."""
        return self._memory.limit_bytes(service)

    def with_room(
        self, service: str, body_bytes: int, candidates: Iterable[PlacementCandidate]
    ) -> list[PlacementCandidate]:
        """Return the candidates that bear a further body of `body_bytes`."""
        loads = self._endpoints.loads
        return [
            candidate
            for candidate in candidates
            if self._memory.fits(
                service,
                candidate.name,
                body_bytes,
                candidate.load,
                loads.get(candidate.name).in_flight,
            )
        ]

    def check(
        self,
        service: Service,
        body_bytes: int,
        tried: Collection[str],
        software_version: str | None,
    ) -> ErrorResponse | None:
        """Return an error response if only memory keeps endpoints from a body."""
        limit_bytes = self.limit_bytes(service.name)
        if limit_bytes is None:
            return None
        candidates = self._endpoints.candidates(service, tried, software_version)
        if not candidates or self.with_room(service.name, body_bytes, candidates):
            return None
        return ErrorResponse(
            ErrorReason.ENDPOINTS_FULL,
            f"no endpoint of {service.name} has memory for {body_bytes} B more;"
            f" {limit_bytes} B of bodies are taken as what one bears",
        )

    def begin(self, record: EndpointRecord, body_bytes: int) -> float:
        """Add a body that is sent; return the estimated bytes at the endpoint."""
        self._memory.begin(record.service, record.name, body_bytes)
        loads = self._endpoints.loads
        return self._memory.estimated_bytes(
            record.service,
            record.name,
            loads.estimated_load(record.name),
            loads.get(record.name).in_flight,
            body_bytes,
        )

    def end(
        self,
        record: EndpointRecord,
        body_bytes: int,
        held_bytes: float,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Remove a body; `held_bytes` is what `begin` returned."""
        is_lost = outcome in (AttemptOutcome.LOST, AttemptOutcome.BROKEN)
        self._memory.end(record.service, record.name, body_bytes, is_lost)
        if outcome is AttemptOutcome.ANSWERED:
            self._memory.record_answer(record.service, held_bytes)

    def _handle_crash(self, crash: EngineCrash) -> None:
        report = self._memory.record_crash(crash.engine, crash.incarnation)
        if report is not None:
            self._log_report(report, "its own requests")
            self._fleet.broadcast(_to_update(report))

    def _handle_update(self, update: HeldBytesUpdate) -> bool:
        if update.held_bytes <= 0 or update.survived_bytes < 0:
            return False
        report = HeldBytes(
            update.service,
            update.endpoint,
            update.born_ms,
            update.vm,
            update.held_bytes,
            update.survived_bytes,
        )
        is_new = self._memory.apply(report)
        if is_new:
            self._log_report(report, "a peer")
        return is_new

    def _log_report(self, report: HeldBytes, source: str) -> None:
        _logger.info(
            "endpoint crashed with request bodies",
            extra={
                "endpoint": report.endpoint,
                "service": report.service,
                "held_bytes": report.held_bytes,
                "held_by": report.node,
                "survived_bytes": report.survived_bytes,
                "limit_bytes": self._memory.limit_bytes(report.service),
                "source": source,
            },
        )

    def _read_digest(self) -> int:
        digest = 0
        for report in self._memory.reports():
            digest ^= element_digest(
                f"{report.service} {report.endpoint} {report.incarnation} {report.node}"
            )
        return digest

    def _reconcile(self, member: Member, remote_digest: int) -> None:
        reply = self._bus.request(
            member.peer_address,
            HeldBytesRequest(),
            HeldBytesReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return
        for update in reply.updates:
            if self._handle_update(update):
                self._fleet.broadcast(update)

    def _handle_request(self, sender: str, request: HeldBytesRequest) -> HeldBytesReply:
        return HeldBytesReply([_to_update(r) for r in self._memory.reports()])


def _to_update(report: HeldBytes) -> HeldBytesUpdate:
    return HeldBytesUpdate(
        report.service,
        report.endpoint,
        report.incarnation,
        report.node,
        report.held_bytes,
        report.survived_bytes,
    )
