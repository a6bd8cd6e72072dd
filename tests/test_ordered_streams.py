"""Checks of the soak of streams, and a short soak with one seed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from stream_checker import StreamChecker, make_event

_SOAK_SCRIPT = Path(__file__).parents[1] / "soak" / "ordered_streams.py"
_TIMEOUT_S = 300
_FIRST_EVENTS = make_event("s/0", 1) + b": comment\n\n" + make_event("s/0", 2, 2)


def find_violation(data: bytes, is_complete: bool) -> str:
    checker = StreamChecker("s", 4)
    for number in range(len(data)):
        checker.feed(data[number : number + 1])
    checker.end(is_complete)
    return checker.violation


class TestStreamChecker:
    def test_whole_stream(self) -> None:
        data = _FIRST_EVENTS + make_event("s/0", 4)
        assert not find_violation(data, is_complete=True)
        assert find_violation(data + make_event("s/0", 5), is_complete=True)
        assert find_violation(data + b"id", is_complete=True)

    def test_stream_that_was_cut_off(self) -> None:
        data = _FIRST_EVENTS + make_event("s/0", 4)
        for length in range(len(data)):
            assert not find_violation(data[:length], is_complete=False)
            assert find_violation(data[:length], is_complete=True)

    @pytest.mark.parametrize(
        "bad",
        [
            make_event("s/0", 3),
            make_event("s/0", 1),
            make_event("s/0", 5),
            make_event("t/0", 4),
            make_event("s/1", 4),
            make_event("s/0", 4)[:7] + make_event("s/0", 4),
            b"data: s/0-4\n\n",
            b"upstream connect error\n\n",
            b"upstream connect error",
            b"id: 3\n",
        ],
        ids=[
            "again",
            "back",
            "gap",
            "other stream",
            "other run",
            "part of an event",
            "no id",
            "text",
            "part of a text",
            "part of an event again",
        ],
    )
    def test_what_does_not_follow(self, bad: bytes) -> None:
        assert find_violation(_FIRST_EVENTS + bad, is_complete=False)

    def test_stream_of_another_request(self) -> None:
        assert find_violation(make_event("t/0", 1), is_complete=False)


def run_soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(_SOAK_SCRIPT), *arguments]
    sizes = ["--seconds=8", "--nodes=2", "--callers=150"]
    return subprocess.run(
        [*command, *sizes], capture_output=True, text=True, timeout=_TIMEOUT_S
    )


def test_no_stream_is_out_of_order_behind_sound_engines_that_fall_silent() -> None:
    """Guards against a part of a first event that is joined to the next engine's."""
    completed = run_soak("--seeds=3", "--faults=none")
    assert completed.returncode == 0, completed.stdout + completed.stderr[-4_000:]


def test_no_stream_is_out_of_order_behind_faulty_engines_that_fall_silent() -> None:
    """Guards against events that come twice and answers that continue nothing."""
    completed = run_soak("--seeds=1", "--faults=all")
    assert completed.returncode == 0, completed.stdout + completed.stderr[-4_000:]


def test_no_event_is_lost_where_reads_time_out() -> None:
    """Found chunks that were lost if a timeout interrupted their joining."""
    completed = run_soak("--seeds=5314", "--faults=all")
    assert completed.returncode == 0, completed.stdout + completed.stderr[-4_000:]
