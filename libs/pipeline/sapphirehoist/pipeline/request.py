"""One request as the pipeline carries it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b, sha256

from sapphirehoist.configuration import ClassOfWork, Pipeline, Team

_CACHE_PREFIX_BYTES = 256


@dataclass(slots=True)
class WorkRequest:
    """A request that passed the checks of the entry.

    Attributes
    ----------
    request_id : str
        Unique over all teams and entry VMs; not the caller's own id.
    team : Team
        Who asks.
    work : ClassOfWork
        Its class.
    pipeline : Pipeline
        Its stages.
    body : bytes
        Input of the first stage.
    started_at, deadline : float
        Monotonic times.
    idempotency_key : str
        The caller's key, empty where it gave none.
    units : float
        The caller's hint of the work in the last stage; 0 where it gave none.
    was_sent : bool
        Whether any byte left for an endpoint.
    may_send : callable or None
        Checked right before a call that may not be repeated.
    """

    request_id: str
    team: Team
    work: ClassOfWork
    pipeline: Pipeline
    body: bytes
    started_at: float
    deadline: float
    idempotency_key: str = ""
    units: float = 0.0
    was_sent: bool = field(default=False)
    may_send: Callable[[], bool] | None = None

    def body_sha256(self) -> str:
        """Return the hash that an idempotency key is bound to."""
        return sha256(self.work.name.encode() + b"\0" + self.body).hexdigest()

    def cache_affinity_key(self) -> str:
        """Return what requests must share to gain from the same engine's cache."""
        digest = blake2b(self.body[:_CACHE_PREFIX_BYTES], digest_size=8).hexdigest()
        return f"{self.team.name}/{digest}"
