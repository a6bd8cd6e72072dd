"""In-memory fakes of the node's interfaces, for tests in one process."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import Endpoint
from sapphirehoist.endpoints import (
    Answered,
    CallOutcome,
    EndpointClient,
    EndpointReport,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    StreamBroken,
    StreamResumeCall,
    TimedOut,
)
from sapphirehoist.storage import (
    Committed,
    Condition,
    MemoryTableService,
    Rows,
    StoreEra,
    TableService,
    TransactOutcome,
    Unavailable,
    Undecided,
    VmList,
    VmState,
    VmStates,
    Write,
)


class FaultyTable(TableService):
    """Table with injected faults of the platform.

    Parameters
    ----------
    table : TableService
        Stores the rows; several nodes may share it.
    clock : Clock
        Clock on which `delay_s` elapses.

    Attributes
    ----------
    is_down : bool
        Whether every call fails as unavailable.
    lose_answers : int
        Number of next transactions that take effect but whose response is lost.
    lose_writes : int
        Number of next transactions that take no effect and whose response is lost.
    delay_s : float
        Delay before each call, in seconds.
    reads : int
        Number of read calls.
    transactions : int
        Number of transactions that reached the table.
    rows_written : int
        Number of rows written by committed transactions.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_table",
        "delay_s",
        "is_down",
        "lose_answers",
        "lose_writes",
        "reads",
        "rows_written",
        "transactions",
    )

    def __init__(self, clock: Clock, table: TableService | None = None) -> None:
        self._table = table or MemoryTableService()
        self._clock = clock
        self._era = StoreEra()
        self.is_down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.delay_s = 0.0
        self.reads = 0
        self.transactions = 0
        self.rows_written = 0

    @property
    def era(self) -> StoreEra:
        """Return the era of the last response that was not lost."""
        return self._era

    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Return all rows whose key starts with `prefix`."""
        self.reads += 1
        return self._check_available() or self._read(self._table.read_prefix(prefix))

    def read(self, keys: list[str]) -> Rows | Unavailable:
        """Return the rows of `keys` that are present."""
        self.reads += 1
        return self._check_available() or self._read(self._table.read(keys))

    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` if every condition holds, subject to the injected faults."""
        unavailable = self._check_available()
        if unavailable is not None:
            return unavailable
        if self.lose_writes:
            self.lose_writes -= 1
            return Undecided("the write was lost")
        self.transactions += 1
        outcome = self._table.transact(conditions, writes)
        if isinstance(outcome, Committed):
            self.rows_written += len(writes)
        if self.lose_answers:
            self.lose_answers -= 1
            return Undecided("the answer was lost")
        self._era.observe(self._table.era.value)
        return outcome

    def _read(self, rows: Rows | Unavailable) -> Rows | Unavailable:
        self._era.observe(self._table.era.value)
        return rows

    def _check_available(self) -> Unavailable | None:
        if self.delay_s:
            self._clock.sleep(self.delay_s)
        if self.is_down:
            return Unavailable("the table is down")
        return None


class FakeVmList(VmList):
    """VM list that a test sets through `states`."""

    __slots__ = ("states",)

    def __init__(self, states: list[VmState] | None = None) -> None:
        self.states = states or []

    def read_vms(self) -> VmStates | Unavailable:
        """Return a copy of `states`."""
        return VmStates(list(self.states))


class FakeStream(Stream):
    """Stream that yields the given blocks."""

    def __init__(self, blocks: list[bytes | StreamBroken]) -> None:
        self.stream_id = "stream-1"
        self.report = EndpointReport()
        self.is_closed = False
        self._blocks = blocks

    def events(self) -> Iterator[bytes | StreamBroken]:
        """Yield the blocks in order."""
        yield from self._blocks

    def close(self) -> None:
        """Record that the stream was closed."""
        self.is_closed = True


class FakeEndpointClient(EndpointClient):
    """Endpoint client that takes outcomes from a function and records calls.

    Parameters
    ----------
    make_outcome : callable, optional
        Returns the outcome of a call; the default echoes the body.

    Attributes
    ----------
    calls : list of (str, StageCall)
        Endpoint name and call, in order.
    streams : list of Stream
        Streams that the next calls to open or resume a stream return, in order.
    cancelled : list of str
        Ids of cancelled requests.
    """

    __slots__ = ("make_outcome", "calls", "cancelled", "streams")

    def __init__(
        self, make_outcome: Callable[[Endpoint, StageCall], CallOutcome] | None = None
    ) -> None:
        self.make_outcome = make_outcome or (
            lambda e, call: Answered(call.body, EndpointReport())
        )
        self.calls: list[tuple[str, StageCall]] = []
        self.streams: list[Stream] = []
        self.cancelled: list[str] = []

    def call(self, endpoint: Endpoint, call: StageCall) -> CallOutcome:
        """Record the call and return its outcome."""
        self.calls.append((endpoint.name, call))
        return self.make_outcome(endpoint, call)

    def open_stream(
        self, endpoint: Endpoint, call: StageCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Record the call and return the next of `streams`."""
        self.calls.append((endpoint.name, call))
        return self.streams.pop(0)

    def resume_stream(
        self, endpoint: Endpoint, resume: StreamResumeCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Return the next of `streams`, or `NotSent` if there is none."""
        return self.streams.pop(0) if self.streams else NotSent("no stream is set")

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Record the cancellation."""
        self.cancelled.append(request_id)
