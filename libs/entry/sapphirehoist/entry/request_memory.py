"""Holds requests within a memory budget, and refuses those that do not fit."""

from __future__ import annotations

from sapphirehoist.decisions import MemoryBudget
from sapphirehoist.entry.responses import error_body
from sapphirehoist.http1 import (
    BudgetedRequestMemory,
    Headers,
    RequestHead,
    ResponseHead,
)
from sapphirehoist.messages import encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import NotRun, Reason

_STATUS_SERVICE_UNAVAILABLE = 503


class EntryRequestMemory(BudgetedRequestMemory):
    """Reserves memory for connections and requests before they are received.

    Parameters
    ----------
    budget : MemoryBudget
        Memory of all interfaces of the daemon.
    metrics : Metrics
        Receives the counter ``refusals_total``.
    """

    __slots__ = ("_metrics",)

    def __init__(self, budget: MemoryBudget, metrics: Metrics) -> None:
        super().__init__(budget)
        self._metrics = metrics

    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a request that does not fit."""
        self._metrics.count("refusals_total", reason=Reason.OVERLOADED.value)
        outcome = NotRun(Reason.OVERLOADED, "the memory for requests is full")
        headers = Headers(
            [
                ("Content-Type", "application/json"),
                ("X-Outcome", "not_run"),
                ("Retry-After", str(int(outcome.retry_after_s))),
            ]
        )
        body = encode_json(error_body(outcome))
        return ResponseHead(_STATUS_SERVICE_UNAVAILABLE, headers), body
