"""Tests that logging never blocks, even if the reader of the pipe stalls or closes."""

from __future__ import annotations

import logging
import os
from collections.abc import Iterator

import gevent
import pytest
from gevent import os as gevent_os

from sapphirehoist.observability import BoundedLogHandler
from sapphirehoist.testing import wait_until

BURST_LINES = 20_000


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    gevent_os.make_nonblocking(reader)
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue  # already closed by the test


def emit_lines(handler: BoundedLogHandler, count: int) -> None:
    for number in range(count):
        record = logging.LogRecord("n", 20, "p", 1, f"line {number}", (), None)
        handler.emit(record)


def read_all(reader: int) -> bytes:
    data = b""
    while True:
        with gevent.Timeout(0.3, False):
            data += gevent_os.nb_read(reader, 65_536)
            continue
        return data


def test_stalled_reader_causes_counted_drops(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    handler = BoundedLogHandler(writer)
    emit_lines(handler, 1_000)
    gevent.sleep(0.05)
    emit_lines(handler, BURST_LINES)
    assert handler.dropped_total > 0
    lines = read_all(reader).splitlines()
    assert lines[0] == b"line 0"
    dropped = handler.dropped_total
    assert b'"count": %d' % dropped in lines[-1]
    assert len(lines) - 1 + dropped == 1_000 + BURST_LINES


def test_closed_reader_causes_counted_drops(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    handler = BoundedLogHandler(writer)
    os.close(reader)

    def is_dropping() -> bool:
        before = handler.dropped_total
        emit_lines(handler, 10)
        gevent.sleep(0.01)
        return handler.dropped_total == before + 10

    # gevent closes a descriptor in its loop, so the first writes may still succeed.
    wait_until(is_dropping, "lines are dropped")
    assert is_dropping()
