"""Recent claims of this node, which a restored table may have lost.

The table may come back from a copy that is some seconds old. Each node keeps the last
state of the claims that it made since, and writes it again.
"""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.claims.claim import ClaimKey, StoredClaim
from sapphirehoist.clock import Clock

# Far longer than the age of a copy.
_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class RecentClaim:
    """Last state of a claim; `stored` is None if the claim was released."""

    key: ClaimKey
    attempt_id: str
    claimed_at_ms: int
    stored: StoredClaim | None
    changed_at: float


class RecentClaims:
    """Last state of each claim that this node changed recently.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    __slots__ = ("_claims", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By attempt, the least recently changed first.
        self._claims: dict[str, RecentClaim] = {}

    def record(
        self, key: ClaimKey, claimed: StoredClaim, stored: StoredClaim | None
    ) -> None:
        """Record the last state of a claim.

        Parameters
        ----------
        key : ClaimKey
            The claimed key.
        claimed : StoredClaim
            The row with which the claim was made.
        stored : StoredClaim or None
            The row now; None if it was deleted.
        """
        now = self._clock.monotonic()
        self._claims.pop(claimed.attempt_id, None)
        self._claims[claimed.attempt_id] = RecentClaim(
            key, claimed.attempt_id, claimed.claimed_at_ms, stored, now
        )
        for attempt_id, recent in list(self._claims.items()):
            if now - recent.changed_at < _RETENTION_S:
                break
            del self._claims[attempt_id]

    def list_all(self) -> list[RecentClaim]:
        """Return the retained claims."""
        return list(self._claims.values())
