"""Claims, which grant one attempt the right to make one call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

import msgspec

from sapphirehoist.outcomes import Reason


class ClaimState(StrEnum):
    """State of a claimed call."""

    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Idempotency key of a caller, scoped to its team.

    Examples
    --------
    >>> ClaimKey("a", "b/c").row_key != ClaimKey("a/b", "c").row_key
    True
    """

    team: str
    idempotency_key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row in the table."""
        digest = sha256(self.idempotency_key.encode()).hexdigest()[:40]
        return f"claim/{self.team}/{digest}"


class StoredClaim(msgspec.Struct, frozen=True):
    """Row of a claim in the table.

    Attributes
    ----------
    attempt_id : str
        Unique id of the attempt that holds the claim.
    body_sha256 : str
        Hash of the class of work and the body. The key must not be used again with
        another class or body.
    vm : str
        VM that makes the call.
    claimed_at_ms : int
        Wall time of the claim, in ms since the Unix epoch.
    deadline_ms : int
        Wall time of the request's deadline, in ms since the Unix epoch.
    state : ClaimState
        State of the call.
    reason, detail, body : Reason or None, str, bytes
        Outcome of the call; None and empty until it is stored.
    is_body_apart : bool
        Whether the response body is too large for a row and is stored as the object
        `object_key`.
    """

    attempt_id: str
    body_sha256: str
    vm: str
    claimed_at_ms: int
    deadline_ms: int
    state: ClaimState = ClaimState.CLAIMED
    reason: Reason | None = None
    detail: str = ""
    body: bytes = b""
    is_body_apart: bool = False

    @property
    def object_key(self) -> str:
        """Return the key of a large response body in the object store."""
        return f"claim-answer/{self.attempt_id}"


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim is held by this attempt, which may make the call.

    Attributes
    ----------
    key : ClaimKey
        The claimed key.
    stored : StoredClaim
        The row as written.
    revision : int
        Revision of the row; 0 if it is not known.
    sent_at : float
        Monotonic time, in seconds, at or before the sending of the insert that took
        effect.
    """

    key: ClaimKey
    stored: StoredClaim
    revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The claim is held by another attempt; `stored` is its row."""

    stored: StoredClaim


@dataclass(frozen=True, slots=True)
class ClaimReused:
    """The key was used before with another class of work or body."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The table did not confirm the claim, so the call must not be made."""

    detail: str
