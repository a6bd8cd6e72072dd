"""The soak's checks, and a short run of it with a seed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from promises import GuaranteeChecker, RequestKind, Response

_SOAK_SCRIPT = Path(__file__).parents[1] / "soak" / "play.py"
_RECOVERY_TIMEOUT_S = 300


def find_violations(response: Response, executions: int = 1) -> list[str]:
    checker = GuaranteeChecker()
    checker.expect_body(response.request_id, b"whole")
    for _ in range(executions):
        checker.record_execution(response.request_id)
    checker.record_response(response)
    return checker.find_violations()


class TestPromises:
    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_refusal_of_what_ran(self, status: int) -> None:
        refused = Response("book-1", RequestKind.BOOK, status, b"", True)
        assert find_violations(refused)
        assert not find_violations(refused, executions=0)

    def test_a_booking_that_ran_twice(self) -> None:
        booked = Response("book-1", RequestKind.BOOK, 200, b"whole", True)
        assert find_violations(booked, executions=2)
        assert not find_violations(booked)

    def test_a_read_may_run_twice(self) -> None:
        assert not find_violations(
            Response("read-1", RequestKind.READ, 200, b"whole", True), executions=2
        )

    @pytest.mark.parametrize("body", [b"who", b"other", b"wholewhole"])
    def test_an_answer_that_looks_complete(self, body: bytes) -> None:
        assert find_violations(Response("ask-1", RequestKind.ASK, 200, body, True))

    def test_an_answer_that_is_seen_to_be_cut(self) -> None:
        assert not find_violations(
            Response("ask-1", RequestKind.ASK, 200, b"who", False)
        )
        assert find_violations(Response("ask-1", RequestKind.ASK, 200, b"xyz", False))


def test_a_short_soak() -> None:
    """Recovery is not timed here: the machine may be busy."""
    completed = subprocess.run(
        [
            sys.executable,
            str(_SOAK_SCRIPT),
            "--seeds=11",
            "--seconds=5",
            "--nodes=3",
            f"--recovery_s={_RECOVERY_TIMEOUT_S}",
        ],
        capture_output=True,
        text=True,
        timeout=3 * _RECOVERY_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr[-4_000:]
