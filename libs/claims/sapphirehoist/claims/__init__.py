"""At-most-once calls, by a durable claim before each call that is not idempotent."""

from __future__ import annotations

from sapphirehoist.claims.claim import (
    Claim,
    ClaimKey,
    ClaimReused,
    ClaimState,
    ClaimTaken,
    ClaimUnavailable,
    StoredClaim,
)
from sapphirehoist.claims.registry import ClaimRegistry, ClaimTimeouts
from sapphirehoist.claims.sweeper import ClaimSweeper
from sapphirehoist.claims.write_batcher import WriteBatcher

__all__ = [
    "Claim",
    "ClaimKey",
    "ClaimRegistry",
    "ClaimReused",
    "ClaimState",
    "ClaimSweeper",
    "ClaimTaken",
    "ClaimTimeouts",
    "ClaimUnavailable",
    "StoredClaim",
    "WriteBatcher",
]
