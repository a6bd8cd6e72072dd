"""Holds requests within the memory budget, and refuses those that do not fit."""

from __future__ import annotations

from random import Random

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import MemoryBudget
from sapphirehoist.gateway.codec import CallCodec, DecodeFailure
from sapphirehoist.gateway.error_response import ErrorReason, ErrorResponse
from sapphirehoist.gateway.trace import RequestTrace
from sapphirehoist.http1 import BudgetedRequestMemory, RequestHead, ResponseHead
from sapphirehoist.observability import Metrics

# Requests are held until their response is complete, which takes about a second.
_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S = 0.5, 0.75


class GatewayRequestMemory(BudgetedRequestMemory):
    """Reserves memory for connections and requests before they are received.

    Parameters
    ----------
    budget : MemoryBudget
        Memory of the VM that requests share with buffered responses.
    codec : CallCodec
        Decodes the heads of refused requests, for the log.
    clock : Clock
        Monotonic time.
    random : Random
        Spreads the retries of refused callers.
    metrics : Metrics
        Receives the counter ``requests_total``.
    """

    __slots__ = ("_clock", "_codec", "_metrics", "_random")

    def __init__(
        self,
        budget: MemoryBudget,
        codec: CallCodec,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        super().__init__(budget)
        self._codec = codec
        self._clock = clock
        self._random = random
        self._metrics = metrics

    def refuse(
        self, head: RequestHead, first_byte_at: float
    ) -> tuple[ResponseHead, bytes]:
        """Log and return the response to a request that does not fit."""
        trace = RequestTrace(self._clock, first_byte_at)
        metadata = self._codec.decode_request(head)
        if not isinstance(metadata, DecodeFailure):
            trace.request_id = metadata.request_id
        error = ErrorResponse(
            ErrorReason.MEMORY_FULL,
            f"{self._budget.used_bytes} of {self._budget.capacity_bytes} B are held,"
            f" {self._budget.request_bytes} B of them for requests",
            self._random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S),
        )
        trace.log_outcome(error.reason.value, error.status, error.detail)
        self._metrics.count("requests_total", outcome=error.reason.value)
        return error.head(), error.body()
