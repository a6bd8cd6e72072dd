"""A request as it passes through the stages of its pipeline."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b, sha256

from sapphirehoist.configuration import ClassOfWork, Pipeline, Team

_CACHE_PREFIX_BYTES = 256


@dataclass(slots=True)
class PipelineRequest:
    """A validated request of a caller.

    Attributes
    ----------
    request_id : str
        Id that is unique over all teams and entry VMs, unlike the caller's own id.
    team : Team
        Team of the caller.
    class_of_work : ClassOfWork
        Class of work, with its latency target.
    pipeline : Pipeline
        Stages to run.
    body : bytes
        Input of the first stage.
    started_at, deadline : float
        Monotonic times, in seconds.
    idempotency_key : str
        The caller's idempotency key; empty if it sent none.
    expected_bytes : float
        The caller's estimate of the output size of the last stage, in bytes; 0 if it
        sent none.
    was_sent : bool
        Whether any byte of the request was sent to an endpoint.
    may_send : callable or None
        Returns whether a call to a stage that is not idempotent may still be sent;
        called right before each such call.
    """

    request_id: str
    team: Team
    class_of_work: ClassOfWork
    pipeline: Pipeline
    body: bytes
    started_at: float
    deadline: float
    idempotency_key: str = ""
    expected_bytes: float = 0.0
    was_sent: bool = field(default=False)
    may_send: Callable[[], bool] | None = None

    def body_sha256(self) -> str:
        """Return the hash of class and body to which the idempotency key is bound."""
        return sha256(self.class_of_work.name.encode() + b"\0" + self.body).hexdigest()

    def cache_affinity_key(self) -> str:
        """Return the routing key shared by requests that can reuse a prompt cache.

        It consists of the team and a hash of the start of the body.
        """
        digest = blake2b(self.body[:_CACHE_PREFIX_BYTES], digest_size=8).hexdigest()
        return f"{self.team.name}/{digest}"
