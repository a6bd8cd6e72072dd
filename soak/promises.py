"""What callers and endpoints saw, and which promises that breaks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

# Statuses by which a caller is promised that its request did not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_OK_STATUS = 200


class RequestKind(Enum):
    """Kinds of request; `BOOK` may run once at most."""

    READ = "read"
    BOOK = "book"
    ASK = "ask"
    PLAN = "plan"


@dataclass(frozen=True, slots=True)
class Response:
    """What a caller has of one request.

    Attributes
    ----------
    request_id, kind : str, Kind
        The request.
    status : int
        Status of the answer; 0 where there was none.
    body : bytes
        What arrived of its body.
    is_whole : bool
        Whether the answer ended as complete.
    """

    request_id: str
    kind: RequestKind
    status: int
    body: bytes
    is_complete: bool


class GuaranteeChecker:
    """Collects runs and answers of one soak.

    Examples
    --------
    >>> witness = Witness()
    >>> witness.ran("r-1")
    >>> witness.answered(Answer("r-1", Kind.BOOK, 503, b"", True))
    >>> witness.broken_promises()
    ['r-1 (book): answered 503, and ran 1 times']
    """

    __slots__ = ("_responses", "_expected_bodies", "_executions")

    def __init__(self) -> None:
        self._executions: Counter[str] = Counter()
        self._responses: list[Response] = []
        self._expected_bodies: dict[str, bytes] = {}

    def record_execution(self, request_id: str) -> None:
        """Count a run at an endpoint."""
        self._executions[request_id] += 1

    def expect_body(self, request_id: str, body: bytes) -> None:
        """Say which body a successful answer has to have."""
        self._expected_bodies[request_id] = body

    def record_response(self, response: Response) -> None:
        """Take what a caller got."""
        self._responses.append(response)

    def count_complete_successes(self) -> int:
        """Return how many callers have a whole success."""
        return sum(a.status == _OK_STATUS and a.is_complete for a in self._responses)

    def count_by_status(self) -> dict[int, int]:
        """Return the number of answers by status."""
        return dict(sorted(Counter(a.status for a in self._responses).items()))

    def find_violations(self) -> list[str]:
        """Return one line for each promise that was broken."""
        violations = [
            f"{request_id}: booked {executions} times"
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
            return f"answered {response.status}, and ran {executions} times"
        if response.status != _OK_STATUS:
            return ""
        expected = self._expected_bodies.get(response.request_id, b"")
        if response.is_complete and response.body != expected:
            return f"{response.body[:60]!r} looks complete; expected {expected[:60]!r}"
        if not expected.startswith(response.body):
            return f"{response.body[:60]!r} is no part of {expected[:60]!r}"
        return ""
