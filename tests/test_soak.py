"""Checks of the soak's guarantees, and a short soak with one seed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from guarantees import GuaranteeChecker, RequestKind, Response

_SOAK_SCRIPT = Path(__file__).parents[1] / "soak" / "play.py"
_RECOVERY_TIMEOUT_S = 300


def find_violations(response: Response, executions: int = 1) -> list[str]:
    checker = GuaranteeChecker()
    checker.expect_body(response.request_id, b"whole")
    for _ in range(executions):
        checker.record_execution(response.request_id)
    checker.record_response(response)
    return checker.find_violations()


class TestGuaranteeChecker:
    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_was_executed(self, status: int) -> None:
        refusal = Response("book-1", RequestKind.BOOK, status, b"", True)
        assert find_violations(refusal)
        assert not find_violations(refusal, executions=0)

    def test_booking_was_executed_twice(self) -> None:
        booking = Response("book-1", RequestKind.BOOK, 200, b"whole", True)
        assert find_violations(booking, executions=2)
        assert not find_violations(booking)

    def test_read_may_be_executed_twice(self) -> None:
        assert not find_violations(
            Response("read-1", RequestKind.READ, 200, b"whole", True), executions=2
        )

    @pytest.mark.parametrize("body", [b"who", b"other", b"wholewhole"])
    def test_wrong_body_of_a_complete_response(self, body: bytes) -> None:
        assert find_violations(Response("ask-1", RequestKind.ASK, 200, body, True))

    def test_body_of_a_truncated_response(self) -> None:
        assert not find_violations(
            Response("ask-1", RequestKind.ASK, 200, b"who", False)
        )
        assert find_violations(Response("ask-1", RequestKind.ASK, 200, b"xyz", False))


def test_a_short_soak() -> None:
    """Allows a long recovery time, because the machine may be busy."""
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
