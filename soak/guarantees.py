"""Checks the observations of callers and endpoints against the guarantees."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

# Statuses that guarantee that the request has not run and will not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_OK_STATUS = 200


class RequestKind(Enum):
    """Kinds of request; `BOOK` may run at most once."""

    READ = "read"
    BOOK = "book"
    ASK = "ask"
    PLAN = "plan"


@dataclass(frozen=True, slots=True)
class Response:
    """The part of a response that a caller received.

    Attributes
    ----------
    request_id, kind : str, RequestKind
        Id and kind of the request.
    status : int
        HTTP status, or 0 if no response arrived.
    body : bytes
        Received part of the body.
    is_complete : bool
        Whether the response ended without an error.
    """

    request_id: str
    kind: RequestKind
    status: int
    body: bytes
    is_complete: bool


class GuaranteeChecker:
    """Records the executions and responses of one soak and finds violations.

    Examples
    --------
    >>> checker = GuaranteeChecker()
    >>> checker.record_execution("r-1")
    >>> checker.record_response(Response("r-1", RequestKind.BOOK, 503, b"", True))
    >>> checker.find_violations()
    ['r-1 (book): status 503, but executed 1 times']
    """

    __slots__ = ("_executions", "_expected_bodies", "_responses")

    def __init__(self) -> None:
        self._executions: Counter[str] = Counter()
        self._responses: list[Response] = []
        self._expected_bodies: dict[str, bytes] = {}

    def record_execution(self, request_id: str) -> None:
        """Record an execution at an endpoint."""
        self._executions[request_id] += 1

    def expect_body(self, request_id: str, body: bytes) -> None:
        """Set the body that a successful response must have."""
        self._expected_bodies[request_id] = body

    def record_response(self, response: Response) -> None:
        """Record what a caller received."""
        self._responses.append(response)

    def count_complete_successes(self) -> int:
        """Return the number of complete responses with status 200."""
        return sum(r.status == _OK_STATUS and r.is_complete for r in self._responses)

    def count_by_status(self) -> dict[int, int]:
        """Return the number of responses by status."""
        return dict(sorted(Counter(r.status for r in self._responses).items()))

    def find_violations(self) -> list[str]:
        """Return one message for each violated guarantee."""
        violations = [
            f"{request_id}: executed {executions} times"
            for request_id, executions in self._executions.items()
            if executions > 1 and request_id.startswith(RequestKind.BOOK.value)
        ]
        for response in self._responses:
            violation = self._find_violation(response)
            if violation:
                violations.append(
                    f"{response.request_id} ({response.kind.value}): {violation}"
                )
        return violations

    def _find_violation(self, response: Response) -> str:
        executions = self._executions[response.request_id]
        is_at_most_once = response.kind is RequestKind.BOOK
        if response.status in _NOT_RUN_STATUSES and is_at_most_once and executions:
            return f"status {response.status}, but executed {executions} times"
        if response.status != _OK_STATUS:
            return ""
        expected = self._expected_bodies.get(response.request_id, b"")
        if response.is_complete and response.body != expected:
            return (
                f"{response.body[:60]!r} ended as complete; expected {expected[:60]!r}"
            )
        if not expected.startswith(response.body):
            return f"{response.body[:60]!r} is no prefix of {expected[:60]!r}"
        return ""
