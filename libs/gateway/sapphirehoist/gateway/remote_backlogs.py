"""What this node knows of the backlogs of endpoints that other nodes own."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import URGENCY_LEVELS, urgency_level
from sapphirehoist.gateway.pieces import Backlog
from sapphirehoist.routes import StagePool


@dataclass(frozen=True, slots=True)
class _Told:
    """What an owner told of its endpoint's backlog, and when."""

    backlog: Backlog
    at: float


class RemoteBacklogs:
    """Owners tell a backlog with each answer; this node's own pieces are added.

    Parameters
    ----------
    clock : Clock
        Ages what was told.
    """

    __slots__ = ("_clock", "_outstanding", "_told")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: dict[str, _Told] = {}
        # Pieces by level of urgency.
        self._outstanding: dict[str, list[int]] = {}

    def take(self, endpoint: str, backlog: Backlog) -> None:
        """Take what an owner told."""
        self._told[endpoint] = _Told(backlog, self._clock.monotonic())

    def forget(self, endpoint: str) -> None:
        """Forget what was told of an endpoint that is gone."""
        self._told.pop(endpoint, None)

    def begin(self, endpoint: str, priority: int, pieces: int) -> None:
        """Count pieces that an owner was asked for."""
        own = self._outstanding.setdefault(endpoint, [0] * URGENCY_LEVELS)
        own[urgency_level(priority, is_late=False)] += pieces

    def end(self, endpoint: str, priority: int, pieces: int) -> None:
        """Count pieces that an owner made or failed to make."""
        own = self._outstanding[endpoint]
        own[urgency_level(priority, is_late=False)] -= pieces
        if not any(own):
            del self._outstanding[endpoint]

    def estimate(self, endpoint: str, spec: StagePool | None) -> Backlog:
        """Return the backlog of an endpoint whose pool works as `spec` says."""
        told = self._told.get(endpoint)
        ahead_s = (0.0,) * URGENCY_LEVELS
        if told is not None:
            ahead_s = told.backlog.after(self._clock.monotonic() - told.at).ahead_s
        own = self._outstanding.get(endpoint)
        if spec is None or own is None:
            return Backlog(ahead_s)
        piece_s = (spec.call_s + spec.batch * spec.piece_s) / spec.batch
        own_s = (pieces * piece_s for pieces in accumulate(own))
        return Backlog(tuple(map(max, ahead_s, own_s)))
