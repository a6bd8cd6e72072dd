"""Collects and logs the attempts, timings, forecast and outcome of one request."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.gateway.attempt_outcome import AttemptOutcome

_logger = logging.getLogger("sapphirehoist.request")


@dataclass(frozen=True, slots=True)
class StreamedPart:
    """Part of a stream that one attempt brought.

    Attributes
    ----------
    resumed_after : str
        Id of the event that the attempt was to go on after; empty for none.
    last_event_id : str
        Id of the last event that the caller has after the attempt.
    event_count : int
        Number of events that the attempt brought.
    unforwarded_bytes : int
        Number of bytes that the attempt brought and that were not forwarded.
    """

    resumed_after: str
    last_event_id: str
    event_count: int
    unforwarded_bytes: int

    def describe(self) -> str:
        """Return a short description for the log."""
        begin = f"after {self.resumed_after}: " if self.resumed_after else ""
        return f"{begin}{self.event_count} events to {self.last_event_id}"


class RequestTrace:
    """Collects the attempts, timings and outcome of a request for the log.

    The request is logged once when it ends, and each failed attempt also immediately.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    arrived_at : float
        Monotonic time of the request's first byte.

    Attributes
    ----------
    attempt_count : int
        Number of attempts that have ended.
    request_id, route, service, team : str
        Identify the request; empty until they are known.
    prompt_parts : tuple of str
        Names of the parts of the prompt; empty for a request without a prompt.
    fingerprint : str
        What copies of the request have in common; empty until an attempt has failed.
    resumed_request_id : str
        Id of the caller's request whose stream it takes up; empty for none.
    config_version : int
        Version of the configuration that was used.
    piece_count : int
        Number of pieces of all stages.
    event_count : int
        Number of stream events that were forwarded.
    stages_duration_s : float or None
        Duration of the last run of the stages.
    stage_end_times_s : dict of int to float
        Time from the start of the last run to the end of each stage, by stage index.
    first_event_s : float or None
        Time from the arrival to the first event.
    forecast_s : float or None
        Forecast time from the start of the stages to the first token, if the request
        is served before those that miss their latency target.
    """

    __slots__ = (
        "_arrived_at",
        "_attempts",
        "_clock",
        "_software_versions",
        "_streamed_parts",
        "attempt_count",
        "config_version",
        "event_count",
        "fingerprint",
        "first_event_s",
        "forecast_s",
        "piece_count",
        "prompt_parts",
        "request_id",
        "resumed_request_id",
        "route",
        "service",
        "stage_end_times_s",
        "stages_duration_s",
        "team",
    )

    def __init__(self, clock: Clock, arrived_at: float) -> None:
        self._clock = clock
        self._arrived_at = arrived_at
        self._attempts: list[str] = []
        self._software_versions: list[str] = []
        self._streamed_parts: list[str] = []
        self.attempt_count = 0
        self.request_id = ""
        self.resumed_request_id = ""
        self.route = ""
        self.service = ""
        self.team = ""
        self.prompt_parts: tuple[str, ...] = ()
        self.fingerprint = ""
        self.config_version = 0
        self.piece_count = 0
        self.event_count = 0
        self.stages_duration_s: float | None = None
        self.stage_end_times_s: dict[int, float] = {}
        self.first_event_s: float | None = None
        self.forecast_s: float | None = None

    def elapsed_s(self) -> float:
        """Return the time since the request arrived."""
        return self._clock.monotonic() - self._arrived_at

    def record_attempt(
        self,
        endpoint: str,
        software_version: str,
        outcome: AttemptOutcome,
        duration_s: float,
        load: float,
        detail: str,
        streamed: StreamedPart,
    ) -> None:
        """Record the outcome of an attempt and log it immediately if it failed."""
        self._add_attempt(
            endpoint, software_version, outcome.value, duration_s, streamed
        )
        if outcome is AttemptOutcome.ANSWERED:
            return
        extra = {
            "request_id": self.request_id,
            "service": self.service,
            "endpoint": endpoint,
            "software_version": software_version,
            "end": outcome.value,
            "detail": detail,
            "attempt": self.attempt_count,
            "attempt_ms": round(duration_s * 1000, 1),
            "estimated_load": round(load, 1),
            "elapsed_ms": round(self.elapsed_s() * 1000, 1),
            "fingerprint": self.fingerprint,
        }
        if streamed.resumed_after or streamed.event_count or streamed.unforwarded_bytes:
            extra["resumed_after"] = streamed.resumed_after
            extra["last_event_id"] = streamed.last_event_id
            extra["unforwarded_bytes"] = streamed.unforwarded_bytes
        if self.prompt_parts:
            extra["prompt_parts"] = self.prompt_parts
        _logger.info("attempt failed", extra=extra)

    def record_interruption(
        self,
        endpoint: str,
        software_version: str,
        duration_s: float,
        streamed: StreamedPart,
    ) -> None:
        """Record an attempt without an outcome: its request ended, or its caller left.

        Without it, the log of a request that ends at its limit would lack its last
        attempt.
        """
        self._add_attempt(
            endpoint, software_version, "interrupted", duration_s, streamed
        )

    def _add_attempt(
        self,
        endpoint: str,
        software_version: str,
        label: str,
        duration_s: float,
        streamed: StreamedPart,
    ) -> None:
        self.attempt_count += 1
        self._attempts.append(f"{endpoint} {label} {duration_s * 1000:.0f} ms")
        self._software_versions.append(software_version)
        self._streamed_parts.append(streamed.describe())

    def log_outcome(self, outcome: str, status: int, detail: str = "") -> None:
        """Log the outcome of the request.

        Parameters
        ----------
        outcome : str
            Label of the outcome.
        status : int
            HTTP status code; 0 where no complete response was sent.
        detail : str, optional
            Human-readable details.
        """
        extra = {
            "request_id": self.request_id,
            "outcome": outcome,
            "status": status,
            "route": self.route,
            "service": self.service,
            "team": self.team,
            "config_version": self.config_version,
            "attempts": self._attempts,
            "elapsed_ms": round(self.elapsed_s() * 1000, 1),
        }
        if detail:
            extra["detail"] = detail
        if self.resumed_request_id:
            extra["resumed_request_id"] = self.resumed_request_id
        if self.event_count:
            extra["software_versions"] = self._software_versions
            extra["streamed"] = self._streamed_parts
        if self.forecast_s is not None:
            extra["forecast_ms"] = round(self.forecast_s * 1000, 1)
        if self.stages_duration_s is not None:
            extra["pieces"] = self.piece_count
            extra["stages_ms"] = round(self.stages_duration_s * 1000, 1)
            ends = sorted(self.stage_end_times_s.items())
            extra["stage_ends_ms"] = {str(s): round(t * 1000, 1) for s, t in ends}
        if self.first_event_s is not None:
            extra["events"] = self.event_count
            extra["first_event_ms"] = round(self.first_event_s * 1000, 1)
        _logger.info("request", extra=extra)
