"""Non-blocking logging through a bounded queue."""

from __future__ import annotations

import logging
import sys
from collections import deque
from types import TracebackType

import gevent
from gevent import os as gevent_os
from gevent.event import Event
from pythonjsonlogger.json import JsonFormatter

# About one second of lines at ten times the rate of a busy day.
_MAX_QUEUED_LINES = 4_096
_TARGET_CHUNK_BYTES = 32_768
_MAX_TASK_NAME_CHARS = 200

_logger = logging.getLogger(__name__)


class BoundedLogHandler(logging.Handler):
    """Queues formatted lines for a greenlet that writes them.

    Lines are dropped and counted while the queue is full; a line with their number is
    written once the queue is empty.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.

    Attributes
    ----------
    dropped_total : int
        Number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._queued_lines: deque[bytes] = deque()
        self._has_queued_lines = Event()
        self._is_idle = Event()
        self._unreported_drops = 0
        self.dropped_total = 0
        gevent_os.make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._write_queued_lines)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one formatted record, or drop it where the queue is full."""
        if len(self._queued_lines) >= _MAX_QUEUED_LINES:
            self._unreported_drops += 1
            self.dropped_total += 1
            return
        self._queued_lines.append(self.format(record).encode() + b"\n")
        self._is_idle.clear()
        self._has_queued_lines.set()

    def flush(self, timeout_s: float = 0.0) -> None:
        """Wait up to `timeout_s` until all queued lines are written."""
        if timeout_s:
            self._is_idle.wait(timeout_s)

    def _write_queued_lines(self) -> None:
        while True:
            self._has_queued_lines.wait()
            self._has_queued_lines.clear()
            while self._queued_lines or self._unreported_drops:
                self._write(self._next_chunk())
            self._is_idle.set()

    def _next_chunk(self) -> bytes:
        chunk = b""
        while self._queued_lines and len(chunk) < _TARGET_CHUNK_BYTES:
            chunk += self._queued_lines.popleft()
        if self._unreported_drops and not self._queued_lines:
            chunk += (
                b'{"message": "log lines dropped", "count": %d}\n'
                % self._unreported_drops
            )
            self._unreported_drops = 0
        return chunk

    def _write(self, chunk: bytes) -> None:
        view = memoryview(chunk)
        while view:
            try:
                view = view[gevent_os.nb_write(self._descriptor, view) :]
            except OSError:
                # The reading end is closed; there is no other output to report this to.
                self.dropped_total += chunk.count(b"\n")
                return


def configure_bounded_logging(vm: str) -> BoundedLogHandler:
    """Write log records as JSON lines with the VM name to standard output.

    Writing does not block the caller. Exceptions that end a greenlet are logged too.
    """
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s", static_fields={"vm": vm}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # The VM name identifies the process; looking up the thread and process of each
    # record costs more than the record itself.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    gevent.get_hub().print_exception = _log_task_failure
    return handler


def _log_task_failure(
    context: object, exc_type: type, exc: BaseException, traceback: TracebackType | None
) -> None:
    """Log the exception that ended a greenlet instead of printing it."""
    _logger.error(
        "greenlet ended with an unhandled exception",
        exc_info=(exc_type, exc, traceback),
        extra={"task": str(context)[:_MAX_TASK_NAME_CHARS]},
    )
