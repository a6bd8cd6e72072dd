"""Polls a condition, so that tests wait for events instead of fixed durations."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

_POLL_INTERVAL_S = 0.02


def wait_until(
    condition: Callable[[], T],
    expectation: str,
    timeout_s: float = 20.0,
    describe_failure: Callable[[], str] = str,
) -> T:
    """Return the first truthy value of `condition`.

    Raises
    ------
    AssertionError
        If there is none within `timeout_s`; the message contains `expectation` and the
        result of `describe_failure`.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise AssertionError(
                f"{expectation}: not within {timeout_s} s {describe_failure()}"
            )
        time.sleep(_POLL_INTERVAL_S)
