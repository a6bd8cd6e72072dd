"""Buffers responses of slow callers, so that endpoints are read at their own pace.

Bytes that the caller's socket accepts are written directly. Only what remains is
buffered, counts in the VM's memory budget, and is written by a task of its own.
"""

from __future__ import annotations

import logging
from collections import deque

import gevent
from gevent.event import Event

from sapphirehoist.decisions import MemoryBudget
from sapphirehoist.http1 import CallerDisconnected, Exchange
from sapphirehoist.observability import Metrics

_BLOCK_BYTES = 65_536
# A caller that accepts no byte for this long is treated as gone.
READ_TIMEOUT_S = 10.0

_logger = logging.getLogger(__name__)


class ResponseCut(BaseException):
    """Raised in the handler of a request whose response must not go on.

    Not an `Exception`, so that handlers' ``except Exception`` does not catch it.
    """


class ResponseBuffer:
    """Writes one response at the pace of its caller, behind the handler's back.

    Parameters
    ----------
    exchange : Exchange
        Accepts bytes for the caller.
    budget : MemoryBudget
        Memory of the VM that buffered bytes occupy.
    metrics : Metrics
        Receives the counters ``responses_buffered_total`` and
        ``responses_shed_total``.

    Attributes
    ----------
    request_id : str
        Id of the request, for the log.
    """

    __slots__ = (
        "_budget",
        "_collected_bytes",
        "_cut_detail",
        "_drained",
        "_exchange",
        "_handler_task",
        "_leaving_bytes",
        "_metrics",
        "_pending",
        "_writer_task",
        "request_id",
    )

    def __init__(
        self, exchange: Exchange, budget: MemoryBudget, metrics: Metrics
    ) -> None:
        self._exchange = exchange
        self._budget = budget
        self._metrics = metrics
        # Views of the written bytes, which are not copied.
        self._pending: deque[memoryview] = deque()
        self._collected_bytes = 0
        self._leaving_bytes = 0
        self._cut_detail = ""
        self._drained: Event | None = None
        self._writer_task: gevent.Greenlet | None = None
        # None once an interrupt must no longer reach it.
        self._handler_task: gevent.Greenlet | None = gevent.getcurrent()
        self.request_id = ""

    def collect(self, byte_count: int) -> None:
        """Reserve memory for a part of a body that is read before it is written.

        It is held until the end of the response, beside what is buffered of it.

        Raises
        ------
        ResponseCut
            If this response is the largest one and does not fit.
        """
        self._reserve(byte_count)
        self._collected_bytes += byte_count

    def release_collected(self) -> None:
        """Release the memory of a body that is discarded."""
        if self._collected_bytes:
            self._budget.release(self, self._collected_bytes)
            self._collected_bytes = 0

    def write(self, data: bytes) -> None:
        """Write what the caller's socket accepts now and buffer the rest.

        Raises
        ------
        ResponseCut
            If this response was shed, or is the largest one and does not fit.
        """
        if self._cut_detail:
            self._raise_cut(self._cut_detail)
        written_count = 0
        if self._writer_task is None:
            written_count = self._exchange.write_now(data)
            if written_count == len(data):
                return
        self._reserve(len(data) - written_count)
        self._pending.append(memoryview(data)[written_count:])
        if self._writer_task is None:
            self._metrics.count("responses_buffered_total")
            self._writer_task = gevent.spawn(self._write_pending)

    def flush(self) -> None:
        """Wait until the caller has accepted everything."""
        if self._writer_task is not None:
            self._drained = Event()
            self._drained.wait()

    def close(self) -> None:
        """Discard what is buffered and interrupt the handler no more."""
        self._handler_task = None
        self._discard()
        self._budget.end_leaving(self._leaving_bytes)
        self._leaving_bytes = 0

    def _reserve(self, byte_count: int) -> None:
        while not self._budget.reserve(self, byte_count):
            if self._budget.leaving_bytes >= byte_count:
                # The handlers of responses that were shed are about to let go of it.
                gevent.sleep(0)
                continue
            victim = self._budget.largest(self, byte_count)
            assert isinstance(victim, ResponseBuffer)
            detail = victim._shed()
            if victim is self:
                self._raise_cut(detail)

    def _shed(self) -> str:
        """Discard what is buffered, end the response, and return the reason."""
        held_bytes = self._budget.held_bytes(self)
        self._metrics.count("responses_shed_total")
        _logger.info(
            "response shed",
            extra={
                "request_id": self.request_id,
                "held_bytes": held_bytes,
                "used_bytes": self._budget.used_bytes,
                "budget_bytes": self._budget.capacity_bytes,
            },
        )
        detail = f"shed with {held_bytes} B unread, the memory is full"
        self._cut(detail)
        return detail

    def _cut(self, detail: str) -> None:
        """Discard what is buffered and interrupt the handler soon."""
        # A response that has not begun is replaced by an error response.
        if self._exchange.has_begun:
            self._cut_detail = detail
        self._discard()
        self._interrupt_soon(ResponseCut(detail))

    def _interrupt_soon(self, exc: BaseException) -> None:
        gevent.get_hub().loop.run_callback(self._interrupt, exc)

    def _interrupt(self, exc: BaseException) -> None:
        task, self._handler_task = self._handler_task, None
        if task is not None:
            task.throw(exc)
        elif self._drained is not None:
            self._drained.set()

    def _raise_cut(self, detail: str) -> None:
        self._handler_task = None
        raise ResponseCut(detail)

    def _discard(self) -> None:
        if self._handler_task in (None, gevent.getcurrent()):
            self._budget.release(self, self._budget.held_bytes(self))
        else:
            self._leaving_bytes += self._budget.begin_leaving(self)
        # The frames of a task that is killed keep its views for a while.
        for view in self._pending:
            view.release()
        self._pending = deque()
        self._collected_bytes = 0
        if self._writer_task not in (None, gevent.getcurrent()):
            self._writer_task.kill(block=False)

    def _write_pending(self) -> None:
        """Write the buffer until it is empty."""
        pending = self._pending
        try:
            while pending:
                with (
                    pending[0][:_BLOCK_BYTES] as block,
                    gevent.Timeout(READ_TIMEOUT_S),
                ):
                    written_count = self._exchange.write_some(block)
                if pending is not self._pending:
                    return
                with pending.popleft() as view:
                    if written_count < len(view):
                        pending.appendleft(view[written_count:])
                self._budget.release(self, written_count)
        except gevent.Timeout:
            self._cut(f"the caller read nothing for {READ_TIMEOUT_S:.0f} s")
            return
        except OSError as exc:
            self._discard()
            self._interrupt_soon(CallerDisconnected(str(exc)))
            return
        self._writer_task = None
        if self._drained is not None:
            self._drained.set()
