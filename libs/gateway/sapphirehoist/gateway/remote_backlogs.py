"""Estimates the backlogs of endpoints whose queues other nodes own."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import URGENCY_LEVELS, urgency_level
from sapphirehoist.gateway.pieces import Backlog
from sapphirehoist.routes import StageEndpointSpec


@dataclass(frozen=True, slots=True)
class _ReportedBacklog:
    """The last backlog that an endpoint's owner reported, and when it arrived.

    `backoff_until` is the time until which the endpoint wants no calls from its owner.
    """

    backlog: Backlog
    reported_at: float
    backoff_until: float


class RemoteBacklogs:
    """Combines the owners' reports with this node's outstanding pieces.

    Owners report the backlog of an endpoint with each reply. An estimate is the larger
    of the last report, reduced by its age, and the wait for the outstanding pieces.

    Parameters
    ----------
    clock : Clock
        Monotonic time for the age of reports.
    """

    __slots__ = ("_clock", "_outstanding_counts", "_reported")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: dict[str, _ReportedBacklog] = {}
        # Number of pieces by urgency level, for each endpoint.
        self._outstanding_counts: dict[str, list[int]] = {}

    def record_report(
        self, endpoint: str, backlog: Backlog, backoff_s: float = 0.0
    ) -> None:
        """Record the backlog and the pause that the owner of `endpoint` reported."""
        now = self._clock.monotonic()
        self._reported[endpoint] = _ReportedBacklog(backlog, now, now + backoff_s)

    def is_backing_off(self, endpoint: str) -> bool:
        """Return whether the endpoint wants no calls from its owner now."""
        reported = self._reported.get(endpoint)
        return reported is not None and self._clock.monotonic() < reported.backoff_until

    def discard(self, endpoint: str) -> None:
        """Discard the reports for an endpoint that is gone."""
        self._reported.pop(endpoint, None)

    def add_outstanding(self, endpoint: str, priority: int, piece_count: int) -> None:
        """Count pieces requested from the endpoint's owner."""
        outstanding = self._outstanding_counts.setdefault(
            endpoint, [0] * URGENCY_LEVELS
        )
        outstanding[urgency_level(priority, is_past_target=False)] += piece_count

    def remove_outstanding(
        self, endpoint: str, priority: int, piece_count: int
    ) -> None:
        """Stop counting pieces that have finished or failed."""
        outstanding = self._outstanding_counts[endpoint]
        outstanding[urgency_level(priority, is_past_target=False)] -= piece_count
        if not any(outstanding):
            del self._outstanding_counts[endpoint]

    def estimate(self, endpoint: str, pool_config: StageEndpointSpec | None) -> Backlog:
        """Return the estimated backlog of `endpoint`.

        `pool_config` holds the settings of its pool; without them, the outstanding
        pieces are ignored.
        """
        reported = self._reported.get(endpoint)
        reported_wait_s = (0.0,) * URGENCY_LEVELS
        if reported is not None:
            reported_wait_s = reported.backlog.reduced_by(
                self._clock.monotonic() - reported.reported_at
            ).wait_s_by_level
        outstanding = self._outstanding_counts.get(endpoint)
        if pool_config is None or outstanding is None:
            return Backlog(reported_wait_s)
        piece_s = (
            pool_config.call_overhead_s
            + pool_config.max_batch_pieces * pool_config.per_piece_s
        ) / pool_config.max_batch_pieces
        outstanding_wait_s = (
            pieces_ahead * piece_s for pieces_ahead in accumulate(outstanding)
        )
        return Backlog(tuple(map(max, reported_wait_s, outstanding_wait_s)))
