"""Log lines through a bounded queue: the writer of a line never waits."""

from __future__ import annotations

import logging
import sys
from collections import deque
from types import TracebackType

import gevent
from gevent import os as gevent_os
from gevent.event import Event
from pythonjsonlogger.json import JsonFormatter

# About a second of lines at ten times the rate of a busy day.
_MAX_QUEUED_LINES = 4_096
_TARGET_BLOCK_BYTES = 32_768
_MAX_TASK_NAME_CHARS = 200

_logger = logging.getLogger(__name__)


class BoundedLogHandler(logging.Handler):
    """Queues formatted lines for a task that writes them.

    A line that finds the queue full is dropped and counted; the count is written once
    there is room.

    Parameters
    ----------
    descriptor : int
        Where lines are written, without blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._has_lines = Event()
        self._is_idle = Event()
        self._unreported_drops = 0
        self.dropped_total = 0
        gevent_os.make_nonblocking(descriptor)
        self._task = gevent.spawn(self._write_queued_lines)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self._unreported_drops += 1
            self.dropped_total += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self._is_idle.clear()
        self._has_lines.set()

    def flush(self, timeout_s: float = 0.0) -> None:
        """Wait up to `timeout_s` until everything is written."""
        if timeout_s:
            self._is_idle.wait(timeout_s)

    def _write_queued_lines(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines or self._unreported_drops:
                self._write(self._next_block())
            self._is_idle.set()

    def _next_block(self) -> bytes:
        block = b""
        while self._lines and len(block) < _TARGET_BLOCK_BYTES:
            block += self._lines.popleft()
        if self._unreported_drops and not self._lines:
            block += (
                b'{"message": "log lines dropped", "count": %d}\n'
                % self._unreported_drops
            )
            self._unreported_drops = 0
        return block

    def _write(self, block: bytes) -> None:
        view = memoryview(block)
        while view:
            try:
                view = view[gevent_os.nb_write(self._descriptor, view) :]
            except OSError:
                # Nobody reads the output any more; there is no other place to say so.
                self.dropped_total += block.count(b"\n")
                return


def configure_bounded_logging(vm: str) -> BoundedLogHandler:
    """Send log lines as JSON to standard output, each naming the VM."""
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s", static_fields={"vm": vm}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Lines name the VM already; looking up threads and processes costs more than them.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    gevent.get_hub().print_exception = _log_task_failure
    return handler


def _log_task_failure(
    context: object, exc_type: type, exc: BaseException, traceback: TracebackType | None
) -> None:
    """Log what ended a task, in place of printing it."""
    _logger.error(
        "task failed",
        exc_info=(exc_type, exc, traceback),
        extra={"task": str(context)[:_MAX_TASK_NAME_CHARS]},
    )
