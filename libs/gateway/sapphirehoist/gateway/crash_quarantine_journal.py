"""Keeps the quarantine of requests that crash engines in the store.

Nodes that are all killed at once lose what they hold in memory, and each request in
quarantine would crash further engines before it is known again. The node that changes
the state of a trait writes it; a node that starts reads all of them once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import QuarantineState
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
from sapphirehoist.peers import PeerMessage
from sapphirehoist.storage import Committed, TableService, Unavailable, Write

_WRITE_INTERVAL_S = 0.2
_RETRY_INTERVAL_S = 1.0
_MAX_ROWS_PER_WRITE = 40
_PREFIX = "quarantine/"

_logger = logging.getLogger(__name__)


class QuarantineUpdate(PeerMessage, frozen=True, array_like=True):
    """The state of the quarantine of one trait; see `QuarantineState`."""

    KIND: ClassVar[str] = "gateway.quarantine"

    trait: str
    revision: int
    started_trials: int
    failed_trials: int

    @classmethod
    def from_state(cls, state: QuarantineState) -> QuarantineUpdate:
        """Return the update that publishes a state."""
        return cls(
            state.trait, state.revision, state.started_trials, state.failed_trials
        )

    def to_state(self) -> QuarantineState:
        """Return the state of this update."""
        return QuarantineState(
            self.trait, self.revision, self.started_trials, self.failed_trials
        )


class CrashQuarantineJournal:
    """Writes states of traits to the store, and reads those of before.

    Parameters
    ----------
    table : TableService
        The platform's table.
    clock : Clock
        Determines the time between writes.

    Attributes
    ----------
    on_load : callable
        Called once with the states that were read.
    """

    __slots__ = ("_clock", "_quarantined", "_table", "_unwritten", "on_load")

    def __init__(self, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        # By trait; those that this node has changed.
        self._unwritten: dict[str, QuarantineState] = {}
        self._quarantined: dict[str, QuarantineState] = {}
        self.on_load: Callable[[Sequence[QuarantineState]], None] = lambda _: None
        table.era.on_restore(lambda era: self._write_again())

    def add(self, state: QuarantineState) -> None:
        """Have a state that this node has changed written soon."""
        self._unwritten[state.trait] = state
        if state.is_quarantined:
            self._quarantined[state.trait] = state
        else:
            self._quarantined.pop(state.trait, None)

    def run(self) -> None:
        """Read the states of before, then write at a fixed interval, until killed."""
        while not self._load():
            self._clock.sleep(_RETRY_INTERVAL_S)
        while True:
            is_written = self._write()
            self._clock.sleep(_WRITE_INTERVAL_S if is_written else _RETRY_INTERVAL_S)

    def _load(self) -> bool:
        rows = self._table.read_prefix(_PREFIX)
        if isinstance(rows, Unavailable):
            return False
        updates = [decode_json(row.value, QuarantineUpdate) for row in rows.rows]
        states = [u.to_state() for u in updates if not isinstance(u, MalformedMessage)]
        if states:
            _logger.info("recalled quarantines", extra={"traits": len(states)})
        self.on_load(states)
        return True

    def _write(self) -> bool:
        """Write what has changed, in one transaction.

        Return False if the store did not confirm it; it is then written again.
        """
        states = list(self._unwritten.values())[:_MAX_ROWS_PER_WRITE]
        if not states:
            return True
        writes = []
        for state in states:
            update = encode_json(QuarantineUpdate.from_state(state))
            value = update if state.is_quarantined else None
            writes.append(Write(_row_key(state.trait), value))
        if not isinstance(self._table.transact([], writes), Committed):
            return False
        for state in states:
            if self._unwritten.get(state.trait) is state:
                del self._unwritten[state.trait]
        return True

    def _write_again(self) -> None:
        """Write all quarantines again; the restored store may lack them."""
        self._unwritten = {**self._quarantined, **self._unwritten}


def _row_key(trait: str) -> str:
    """Return the key of a trait, which may be longer than a key."""
    return _PREFIX + blake2b(trait.encode(), digest_size=16).hexdigest()
