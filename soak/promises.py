"""What callers and endpoints saw, and which promises that breaks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

# Statuses by which a caller is promised that its request did not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_OK = 200


class Kind(Enum):
    """Kinds of request; `BOOK` may run once at most."""

    READ = "read"
    BOOK = "book"
    ASK = "ask"
    PLAN = "plan"


@dataclass(frozen=True, slots=True)
class Answer:
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
    kind: Kind
    status: int
    body: bytes
    is_whole: bool


class Witness:
    """Collects runs and answers of one soak.

    Examples
    --------
    >>> witness = Witness()
    >>> witness.ran("r-1")
    >>> witness.answered(Answer("r-1", Kind.BOOK, 503, b"", True))
    >>> witness.broken_promises()
    ['r-1 (book): answered 503, and ran 1 times']
    """

    __slots__ = ("_answers", "_expected", "_runs")

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()
        self._answers: list[Answer] = []
        self._expected: dict[str, bytes] = {}

    def ran(self, request_id: str) -> None:
        """Count a run at an endpoint."""
        self._runs[request_id] += 1

    def expect(self, request_id: str, body: bytes) -> None:
        """Say which body a successful answer has to have."""
        self._expected[request_id] = body

    def answered(self, answer: Answer) -> None:
        """Take what a caller got."""
        self._answers.append(answer)

    def count_served(self) -> int:
        """Return how many callers have a whole success."""
        return sum(a.status == _OK and a.is_whole for a in self._answers)

    def statuses(self) -> dict[int, int]:
        """Return the number of answers by status."""
        return dict(sorted(Counter(a.status for a in self._answers).items()))

    def broken_promises(self) -> list[str]:
        """Return one line for each promise that was broken."""
        found = [
            f"{request_id}: booked {runs} times"
            for request_id, runs in self._runs.items()
            if runs > 1 and request_id.startswith(Kind.BOOK.value)
        ]
        for answer in self._answers:
            fault = self._fault(answer)
            if fault:
                found.append(f"{answer.request_id} ({answer.kind.value}): {fault}")
        return found

    def _fault(self, answer: Answer) -> str:
        runs = self._runs[answer.request_id]
        is_single = answer.kind is Kind.BOOK
        if answer.status in _NOT_RUN and is_single and runs:
            return f"answered {answer.status}, and ran {runs} times"
        if answer.status != _OK:
            return ""
        expected = self._expected.get(answer.request_id, b"")
        if answer.is_whole and answer.body != expected:
            return f"{answer.body[:60]!r} looks complete; expected {expected[:60]!r}"
        if not expected.startswith(answer.body):
            return f"{answer.body[:60]!r} is no part of {expected[:60]!r}"
        return ""
