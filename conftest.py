"""Runs every test on gevent's cooperative standard library; passes over KNOWN-RED.txt.

An entry of KNOWN-RED.txt is a few lines, the first of them ``test: NODE_ID``. Such a
test runs, and its failure is expected; the file is printed at the end of the run.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from pathlib import Path  # noqa: E402

import pytest  # noqa: E402

_KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
_TEST = "test: "


def _known_red() -> str:
    return _KNOWN_RED.read_text() if _KNOWN_RED.exists() else ""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the failure of the tests that KNOWN-RED.txt names, and of no others."""
    lines = _known_red().splitlines()
    named = {line.removeprefix(_TEST) for line in lines if line.startswith(_TEST)}
    for item in items:
        if item.nodeid in named:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is known to be red."""
    text = _known_red()
    if text:
        terminalreporter.section("known red")
        terminalreporter.write_line(text)
