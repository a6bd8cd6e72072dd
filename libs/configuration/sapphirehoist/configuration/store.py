"""Stores the configuration in the platform's table.

Each change is one transaction that writes the head row, which holds the latest version,
the changed objects and a log row. The transaction is conditional on the revision of the
head row, which serializes all changes. If the response to a transaction is lost, the
log row of the version is read back to determine which change was committed.

If the table is restored from an older copy, it may lack versions that are in force. The
nodes commit them again, and no new change is committed until they had time for that.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from sapphirehoist.clock import Clock
from sapphirehoist.configuration.catalog import Catalog
from sapphirehoist.configuration.change import Change, ChangeRequest, object_key
from sapphirehoist.configuration.model import ConfigObject
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
from sapphirehoist.storage import (
    Committed,
    Condition,
    Conflict,
    RestoreGuard,
    Rows,
    TableService,
    Unavailable,
    Undecided,
    Write,
)

_CURRENT_PREFIX = "config/current/"
_HEAD_KEY = _CURRENT_PREFIX + "head"
_OBJECT_PREFIX = _CURRENT_PREFIX + "object/"
_LOG_PREFIX = "config/log/"
_LOG_RETENTION_VERSIONS = 10_000
_READ_BACK_ATTEMPTS = 5
_READ_BACK_INTERVAL_S = 0.2


class Head(msgspec.Struct, frozen=True):
    """The latest committed version and the id of its change."""

    version: int
    change_id: str


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """The whole configuration and the condition that it is still the latest."""

    catalog: Catalog
    condition: Condition


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The change is committed; its version is final."""

    change: Change


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """A concurrent change was committed first; nothing of this one was written.

    Attributes
    ----------
    version : int
        The latest committed version.
    """

    version: int


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The resulting configuration would be invalid; nothing was written."""

    errors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ChangeUndecided:
    """It could not be determined whether the change was committed."""

    detail: str


CommitOutcome = (
    ChangeCommitted | ChangeConflict | ChangeInvalid | ChangeUndecided | Unavailable
)


class ConfigStore:
    """Reads the configuration from the table and commits changes to it.

    Parameters
    ----------
    table : TableService
        The platform's table.
    clock : Clock
        Source of commit times, and of the delays between attempts to read back.
    restore_guard : RestoreGuard
        Tells whether lost versions were committed again after a restore of the table.
    """

    __slots__ = ("_clock", "_restore_guard", "_table")

    def __init__(
        self, table: TableService, clock: Clock, restore_guard: RestoreGuard
    ) -> None:
        self._table = table
        self._clock = clock
        self._restore_guard = restore_guard

    def load(self) -> LoadedConfig | Unavailable:
        """Read the whole configuration."""
        rows = self._table.read_prefix(_CURRENT_PREFIX)
        if isinstance(rows, Unavailable):
            return rows
        head, revision = _decode_head(rows)
        objects: list[ConfigObject] = []
        for row in rows.rows:
            if row.key.startswith(_OBJECT_PREFIX):
                obj = decode_json(row.value, ConfigObject)  # type: ignore[arg-type]
                assert not isinstance(obj, MalformedMessage), (row.key, obj)
                objects.append(obj)
        condition = Condition(_HEAD_KEY, revision)
        return LoadedConfig(Catalog(head.version, objects), condition)

    def read_head_version(self) -> int | Unavailable:
        """Return the latest committed version."""
        rows = self._table.read([_HEAD_KEY])
        if isinstance(rows, Unavailable):
            return rows
        return _decode_head(rows)[0].version

    def read_changes(self, after: int, up_to: int) -> list[Change] | Unavailable:
        """Return the retained changes of the versions in ``(after, up_to]``."""
        keys = [_log_key(version) for version in range(after + 1, up_to + 1)]
        rows = self._table.read(keys)
        if isinstance(rows, Unavailable):
            return rows
        changes = [decode_json(row.value, Change) for row in rows.rows]
        return [change for change in changes if isinstance(change, Change)]

    def commit(
        self, request: ChangeRequest, base: Catalog, operator: str
    ) -> CommitOutcome:
        """Commit `request` on top of `base`.

        Parameters
        ----------
        request : ChangeRequest
            The requested change.
        base : Catalog
            Configuration that the change is based on and validated against.
        operator : str
            Name of the operator who requested the change.
        """
        change = Change(
            request.expected_version + 1,
            request.change_id,
            operator,
            self._clock.now().isoformat(timespec="milliseconds"),
            request.puts,
            request.deletes,
        )
        errors = base.with_change(change).validation_errors()
        if errors:
            return ChangeInvalid(tuple(errors))
        rows = self._table.read([_HEAD_KEY])
        if isinstance(rows, Unavailable):
            return rows
        if not self._restore_guard.is_settled():
            detail = "the table was restored; lost versions are being committed again"
            return Unavailable(detail)
        head, revision = _decode_head(rows)
        if head.version != request.expected_version:
            return self._resolve_outcome(change, head.version)
        outcome = self._table.transact(
            [Condition(_HEAD_KEY, revision)], _build_writes(change)
        )
        if isinstance(outcome, Committed):
            return ChangeCommitted(change)
        if isinstance(outcome, Unavailable):
            return outcome
        return self._read_back(change, outcome)

    def commit_again(self, change: Change) -> bool:
        """Commit a change that a restore of the table has lost.

        Returns
        -------
        bool
            Whether the table has the change's version now.
        """
        rows = self._table.read([_HEAD_KEY])
        if isinstance(rows, Unavailable):
            return False
        head, revision = _decode_head(rows)
        if head.version != change.version - 1:
            return head.version >= change.version
        outcome = self._table.transact(
            [Condition(_HEAD_KEY, revision)], _build_writes(change)
        )
        return isinstance(outcome, Committed)

    def write_again(self, catalog: Catalog) -> bool:
        """Write a whole configuration, of which a restored table has lost versions.

        Returns
        -------
        bool
            Whether the table has the version of `catalog` now.
        """
        stored = self.load()
        if isinstance(stored, Unavailable):
            return False
        if stored.catalog.version >= catalog.version:
            return True
        snapshot = catalog.snapshot()
        current_keys = {object_key(obj) for obj in snapshot.objects}
        change = Change(
            catalog.version,
            f"restore-{catalog.version}",
            "",
            self._clock.now().isoformat(timespec="milliseconds"),
            snapshot.objects,
            [
                key
                for obj in stored.catalog.snapshot().objects
                if (key := object_key(obj)) not in current_keys
            ],
        )
        outcome = self._table.transact([stored.condition], _build_writes(change))
        return isinstance(outcome, Committed)

    def _read_back(
        self, change: Change, outcome: Conflict | Undecided
    ) -> CommitOutcome:
        """Determine whether `change` was committed, by polling the head."""
        for _ in range(_READ_BACK_ATTEMPTS):
            head_version = self.read_head_version()
            if isinstance(head_version, Unavailable):
                self._clock.sleep(_READ_BACK_INTERVAL_S)
                continue
            if head_version >= change.version:
                return self._resolve_outcome(change, head_version)
            # The transaction may still be in progress. Once another change advances
            # the head, its condition can no longer hold.
            self._clock.sleep(_READ_BACK_INTERVAL_S)
        return ChangeUndecided(f"change {change.change_id}: {outcome}")

    def _resolve_outcome(self, change: Change, head_version: int) -> CommitOutcome:
        """Compare `change` with the change that was committed as its version."""
        committed_changes = self.read_changes(change.version - 1, change.version)
        if isinstance(committed_changes, Unavailable):
            return ChangeUndecided(committed_changes.detail)
        for committed_change in committed_changes:
            if committed_change.change_id == change.change_id:
                return ChangeCommitted(committed_change)
        return ChangeConflict(head_version)


def _decode_head(rows: Rows) -> tuple[Head, int]:
    for row in rows.rows:
        if row.key == _HEAD_KEY:
            head = decode_json(row.value, Head)
            assert isinstance(head, Head), head
            return head, row.revision
    return Head(0, ""), 0


def _build_writes(change: Change) -> list[Write]:
    writes = [
        Write(_HEAD_KEY, encode_json(Head(change.version, change.change_id))),
        Write(_log_key(change.version), encode_json(change)),
    ]
    for key in change.deletes:
        writes.append(Write(f"{_OBJECT_PREFIX}{key.kind}/{key.name}", None))
    for obj in change.puts:
        key = object_key(obj)
        row_key = f"{_OBJECT_PREFIX}{key.kind}/{key.name}"
        writes.append(Write(row_key, encode_json(obj)))
    if change.version > _LOG_RETENTION_VERSIONS:
        writes.append(Write(_log_key(change.version - _LOG_RETENTION_VERSIONS), None))
    return writes


def _log_key(version: int) -> str:
    return f"{_LOG_PREFIX}{version:012d}"
