"""A claim: the right of one attempt to make one call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

import msgspec

from sapphirehoist.outcomes import Reason


class ClaimState(StrEnum):
    """What is known of the call."""

    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """A team and the idempotency key that it chose.

    Examples
    --------
    >>> ClaimKey("a", "b/c").row_key != ClaimKey("a/b", "c").row_key
    True
    """

    team: str
    idempotency_key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        digest = sha256(self.idempotency_key.encode()).hexdigest()[:40]
        return f"claim/{self.team}/{digest}"


class StoredClaim(msgspec.Struct, frozen=True):
    """The row of a claim.

    Attributes
    ----------
    attempt_id : str
        Unique id of the attempt that holds the claim.
    body_sha256 : str
        Hash of the class of work and the body; the key admits no other body.
    vm : str
        VM that makes the call.
    claimed_at_ms : int
        Wall time of the claim, in ms since the Unix epoch.
    deadline_ms : int
        Wall time after which the claimer no longer waits for the call.
    state : ClaimState
        What is known of the call.
    reason, detail, body
        The stored end of the call.
    is_body_apart : bool
        Whether the answer is an object under `object_key`, because it is large.
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
        """Return the key of a large answer in the object store."""
        return f"claim-answer/{self.attempt_id}"


@dataclass(frozen=True, slots=True)
class Claim:
    """This attempt holds the claim.

    Attributes
    ----------
    key : ClaimKey
        What is claimed.
    stored : StoredClaim
        The row as written.
    revision : int
        The row's revision.
    won_at : float
        Monotonic time before the claim was sent.
    """

    key: ClaimKey
    stored: StoredClaim
    revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """Another attempt holds the claim; `stored` is its row."""

    stored: StoredClaim


@dataclass(frozen=True, slots=True)
class ClaimReused:
    """The key was used before with another body."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The table did not confirm the claim: the call must not be made."""

    detail: str
