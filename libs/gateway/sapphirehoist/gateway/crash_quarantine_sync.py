"""Shares the quarantine of crashing requests, and the reports that lead to it.

Requests that crash engines arrive at any node, so that each node alone sees few of the
crashes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import ClassVar

import gevent

from sapphirehoist.decisions import (
    CrashQuarantine,
    EngineCrash,
    PathVerdict,
    QuarantineHold,
    QuarantineState,
    is_request_trait,
)
from sapphirehoist.discovery import EndpointRecord
from sapphirehoist.gateway.crash_quarantine_journal import (
    CrashQuarantineJournal,
    QuarantineUpdate,
)
from sapphirehoist.gateway.path_check import EndpointPathCheck
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.messages import element_digest
from sapphirehoist.observability import Metrics
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_PEER_REQUEST_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class EngineCrashReport(PeerMessage, frozen=True, array_like=True):
    """Reports that an engine crashed on requests of the sender.

    Attributes
    ----------
    engine : str
        Endpoint name of the engine.
    born_ms : int
        Start time in milliseconds, which identifies the engine's incarnation.
    traits : list of str
        Suspect traits of these requests.
    """

    KIND: ClassVar[str] = "gateway.engine_crash"

    engine: str
    born_ms: int
    traits: list[str]


class ClearedTraitsUpdate(PeerMessage, frozen=True, array_like=True):
    """Reports that traits which were suspect are cleared."""

    KIND: ClassVar[str] = "gateway.started_parts"

    traits: list[str]


class QuarantineRequest(PeerMessage, frozen=True, array_like=True):
    """Requests the states of all traits that the receiver knows."""

    KIND: ClassVar[str] = "gateway.quarantine_request"


class QuarantineReply(PeerMessage, frozen=True, array_like=True):
    """The states of all traits that the sender knows."""

    KIND: ClassVar[str] = "gateway.quarantine_reply"

    updates: list[QuarantineUpdate]


class CrashQuarantineSync:
    """Applies what this node and its peers learn about traits of requests.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Decides which traits are quarantined.
    fleet : Fleet
        Floods reports and states, and compares digests of the states.
    bus : PeerBus
        Requests the states of a peer.
    path_check : EndpointPathCheck
        Compares what this node sees of an endpoint with what others see.
    journal : CrashQuarantineJournal
        Keeps the states in the store.
    metrics : Metrics
        Receives ``engine_crashes_total``, ``prompt_quarantines_total``,
        ``prompt_trials_total``, ``request_quarantines_total`` and
        ``request_trials_total``.

    Attributes
    ----------
    on_crash : callable
        Called with each verified crash, also with those that peers report.
    """

    __slots__ = (
        "_bus",
        "_fleet",
        "_journal",
        "_metrics",
        "_path_check",
        "_quarantine",
        "_unverified_traits",
        "on_crash",
    )

    def __init__(
        self,
        quarantine: CrashQuarantine,
        fleet: Fleet,
        bus: PeerBus,
        path_check: EndpointPathCheck,
        journal: CrashQuarantineJournal,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._journal = journal
        journal.on_load = self._apply_states
        self._fleet = fleet
        self._bus = bus
        self._path_check = path_check
        self._metrics = metrics
        # Traits of requests that were lost at an engine, until it is known whether the
        # engine crashed.
        self._unverified_traits: dict[EngineCrash, list[str]] = {}
        self.on_crash: Callable[[EngineCrash], None] = lambda _: None
        fleet.add_digest(Digest("quarantine", self._read_digest, self._reconcile))
        fleet.subscribe_updates(EngineCrashReport, self._handle_crash)
        fleet.subscribe_updates(ClearedTraitsUpdate, self._handle_cleared)
        fleet.subscribe_updates(QuarantineUpdate, self._handle_state)
        bus.subscribe(QuarantineRequest, self._handle_request)

    @property
    def is_idle(self) -> bool:
        """Return whether no trait is suspect or quarantined, or was lately."""
        return self._quarantine.is_idle

    def check(self, traits: Sequence[str]) -> QuarantineHold | None:
        """Return why a request with `traits` may not be sent now, or None if it may."""
        return self._quarantine.check(traits)

    def begin_trial(self, traits: Sequence[str]) -> bool:
        """Announce that a request is sent; return whether it is a trial of a trait."""
        states = self._quarantine.begin_trial(traits)
        self._publish(states)
        for state in states:
            kind = "request" if is_request_trait(state.trait) else "prompt"
            self._metrics.count(f"{kind}_trials_total")
        return bool(states)

    def record_start(self, traits: Sequence[str]) -> None:
        """Record that requests with `traits` do not crash engines."""
        suspect = [trait for trait in traits if self._quarantine.is_suspect(trait)]
        self._publish(self._quarantine.record_start(traits))
        if suspect:
            self._fleet.broadcast(ClearedTraitsUpdate(suspect))

    def record_lost(self, engine: EndpointRecord, traits: Sequence[str]) -> None:
        """Record that a request was lost at an engine, which makes `traits` suspect.

        The engine has crashed if neither this node nor others can connect to it.
        """
        if not traits:
            return
        crash = EngineCrash(engine.name, engine.born_ms)
        pending = self._unverified_traits.get(crash)
        if pending is not None:
            pending.extend(traits)
            return
        self._unverified_traits[crash] = list(traits)
        gevent.spawn(self._report_if_crashed, crash, engine)

    def report_crash(self, crash: EngineCrash, traits: Sequence[str]) -> None:
        """Report to all nodes that an engine crashed on requests with `traits`."""
        report = EngineCrashReport(
            crash.engine, crash.incarnation, list(dict.fromkeys(traits))
        )
        if self._handle_crash(report):
            self._fleet.broadcast(report)

    def remove_expired(self) -> None:
        """Discard what is too old to matter."""
        self._publish(self._quarantine.remove_expired())

    def _report_if_crashed(self, crash: EngineCrash, engine: EndpointRecord) -> None:
        try:
            verdict = self._path_check.check(engine)
        finally:
            traits = self._unverified_traits.pop(crash)
        if verdict is PathVerdict.ENDPOINT_DOWN:
            self.report_crash(crash, traits)

    def _handle_crash(self, report: EngineCrashReport) -> bool:
        """Apply a report; return whether it is new and has to be forwarded."""
        crash = EngineCrash(report.engine, report.born_ms)
        new_traits = self._quarantine.unreported_traits(crash, report.traits)
        if not new_traits:
            return False
        self._path_check.record_down(report.engine)
        self.on_crash(crash)
        self._metrics.count("engine_crashes_total")
        _logger.info(
            "engine crashed",
            extra={
                "endpoint": report.engine,
                "born_ms": report.born_ms,
                "prompt_parts": [t for t in new_traits if not is_request_trait(t)],
                "request_traits": [t for t in new_traits if is_request_trait(t)],
            },
        )
        self._publish(self._quarantine.record_crash(crash, new_traits))
        return True

    def _handle_cleared(self, update: ClearedTraitsUpdate) -> bool:
        is_new = any(self._quarantine.is_suspect(trait) for trait in update.traits)
        self._publish(self._quarantine.record_start(update.traits))
        return is_new

    def _handle_state(self, update: QuarantineUpdate) -> bool:
        return self._apply_state(update.to_state())

    def _apply_states(self, states: Sequence[QuarantineState]) -> None:
        for state in states:
            self._apply_state(state)

    def _apply_state(self, state: QuarantineState) -> bool:
        is_new = self._quarantine.apply(state)
        if is_new:
            self._log_state(state)
        return is_new

    def _publish(self, states: Sequence[QuarantineState]) -> None:
        """Broadcast the states that this node has changed."""
        for state in states:
            self._log_state(state)
            self._journal.add(state)
            self._fleet.broadcast(QuarantineUpdate.from_state(state))

    def _log_state(self, state: QuarantineState) -> None:
        is_request = is_request_trait(state.trait)
        if state.is_quarantined and not state.started_trials:
            kind = "request" if is_request else "prompt"
            self._metrics.count(f"{kind}_quarantines_total")
        subject = "request" if is_request else "prompt part"
        _logger.info(
            f"{subject} quarantined" if state.is_quarantined else f"{subject} released",
            extra={
                "request_trait" if is_request else "prompt_part": state.trait,
                "revision": state.revision,
                "trials": state.started_trials,
                "failed_trials": state.failed_trials,
                "hold_s": state.hold_s,
            },
        )

    def _read_digest(self) -> int:
        digest = 0
        for state in self._quarantine.states():
            if state.is_quarantined:
                digest ^= element_digest(f"{state.trait} {state.precedence()}")
        return digest

    def _reconcile(self, member: Member, remote_digest: int) -> None:
        reply = self._bus.request(
            member.peer_address,
            QuarantineRequest(),
            QuarantineReply,
            _PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, NoReply):
            return
        for update in reply.updates:
            if self._handle_state(update):
                self._fleet.broadcast(update)

    def _handle_request(
        self, sender: str, request: QuarantineRequest
    ) -> QuarantineReply:
        states = self._quarantine.states()
        return QuarantineReply([QuarantineUpdate.from_state(s) for s in states])
