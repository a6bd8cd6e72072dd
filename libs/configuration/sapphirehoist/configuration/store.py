"""The configuration in the platform's table.

One transaction per change writes the head, the changed objects and a log row; its
condition on the head orders all changes. A lost answer is settled by reading back
whose change the version belongs to.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.catalog import Catalog
from sapphirehoist.configuration.change import Change, ChangeRequest, name_of
from sapphirehoist.configuration.model import ConfigObject
from sapphirehoist.messages import Malformed, decode_json, encode_json
from sapphirehoist.storage import (
    Committed,
    Condition,
    Conflict,
    Rows,
    TableService,
    Unavailable,
    Undecided,
    Write,
)

_CURRENT = "config/current/"
_HEAD = _CURRENT + "head"
_OBJECTS = _CURRENT + "object/"
_LOG = "config/log/"
_LOG_KEPT = 10_000
_READ_BACK_TRIES = 5
_READ_BACK_PAUSE_S = 0.2


class Head(msgspec.Struct, frozen=True):
    """The newest version and the change that made it."""

    version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class Loaded:
    """The whole configuration and the condition that it is still the newest."""

    catalog: Catalog
    condition: Condition


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The change is decided and ordered."""

    change: Change


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change came first; nothing of this one was written."""

    version: int


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change would break the configuration; nothing was written."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ChangeUndecided:
    """The table could not say whether the change was committed."""

    detail: str


CommitOutcome = (
    ChangeCommitted | ChangeConflict | ChangeInvalid | ChangeUndecided | Unavailable
)


class ConfigStore:
    """Reads and commits configuration.

    Parameters
    ----------
    table : TableService
        The platform's table.
    clock : Clock
        Dates changes and paces reading back.
    """

    __slots__ = ("_clock", "_table")

    def __init__(self, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def load(self) -> Loaded | Unavailable:
        """Read the whole configuration."""
        rows = self._table.read_prefix(_CURRENT)
        if isinstance(rows, Unavailable):
            return rows
        head, revision = _head(rows)
        objects: list[ConfigObject] = []
        for row in rows.rows:
            if row.key.startswith(_OBJECTS):
                obj = decode_json(row.value, ConfigObject)  # type: ignore[arg-type]
                assert not isinstance(obj, Malformed), (row.key, obj)
                objects.append(obj)
        condition = Condition(_HEAD, revision)
        return Loaded(Catalog(head.version, objects), condition)

    def read_head(self) -> int | Unavailable:
        """Return the newest version."""
        rows = self._table.read([_HEAD])
        if isinstance(rows, Unavailable):
            return rows
        return _head(rows)[0].version

    def read_changes(self, after: int, up_to: int) -> list[Change] | Unavailable:
        """Return the changes of the versions in ``(after, up_to]`` that are kept."""
        keys = [_log_key(version) for version in range(after + 1, up_to + 1)]
        rows = self._table.read(keys)
        if isinstance(rows, Unavailable):
            return rows
        changes = [decode_json(row.value, Change) for row in rows.rows]
        return [change for change in changes if isinstance(change, Change)]

    def commit(
        self, request: ChangeRequest, base: Catalog, operator: str
    ) -> CommitOutcome:
        """Commit `request` on top of `base`, which the operator saw."""
        change = Change(
            request.expected_version + 1,
            request.change_id,
            operator,
            self._clock.now().isoformat(timespec="milliseconds"),
            request.puts,
            request.deletes,
        )
        faults = base.with_change(change).faults()
        if faults:
            return ChangeInvalid(tuple(faults))
        rows = self._table.read([_HEAD])
        if isinstance(rows, Unavailable):
            return rows
        head, revision = _head(rows)
        if head.version != request.expected_version:
            return self._settle(change, head.version)
        outcome = self._table.transact([Condition(_HEAD, revision)], _writes(change))
        if isinstance(outcome, Committed):
            return ChangeCommitted(change)
        if isinstance(outcome, Unavailable):
            return outcome
        return self._read_back(change, outcome)

    def _read_back(
        self, change: Change, outcome: Conflict | Undecided
    ) -> CommitOutcome:
        """Find out whose change the version is."""
        for _ in range(_READ_BACK_TRIES):
            head = self.read_head()
            if isinstance(head, Unavailable):
                self._clock.sleep(_READ_BACK_PAUSE_S)
                continue
            if head >= change.version:
                return self._settle(change, head)
            # The write may still be under way; it loses once the head moves on.
            self._clock.sleep(_READ_BACK_PAUSE_S)
        return ChangeUndecided(f"change {change.change_id}: {outcome}")

    def _settle(self, change: Change, head: int) -> CommitOutcome:
        winners = self.read_changes(change.version - 1, change.version)
        if isinstance(winners, Unavailable):
            return ChangeUndecided(winners.detail)
        for winner in winners:
            if winner.change_id == change.change_id:
                return ChangeCommitted(winner)
        return ChangeConflict(head)


def _head(rows: Rows) -> tuple[Head, int]:
    for row in rows.rows:
        if row.key == _HEAD:
            head = decode_json(row.value, Head)
            assert isinstance(head, Head), head
            return head, row.revision
    return Head(0, ""), 0


def _writes(change: Change) -> list[Write]:
    writes = [
        Write(_HEAD, encode_json(Head(change.version, change.change_id))),
        Write(_log_key(change.version), encode_json(change)),
    ]
    for name in change.deletes:
        writes.append(Write(f"{_OBJECTS}{name.kind}/{name.name}", None))
    for obj in change.puts:
        name = name_of(obj)
        key = f"{_OBJECTS}{name.kind}/{name.name}"
        writes.append(Write(key, encode_json(obj)))
    if change.version > _LOG_KEPT:
        writes.append(Write(_log_key(change.version - _LOG_KEPT), None))
    return writes


def _log_key(version: int) -> str:
    return f"{_LOG}{version:012d}"
