"""In-memory table service and object store with the platform's semantics."""

from __future__ import annotations

from sapphirehoist.storage.era import StoreEra, compose_revision
from sapphirehoist.storage.interface import (
    Committed,
    Condition,
    Conflict,
    ObjectStore,
    Row,
    Rows,
    TableService,
    TransactOutcome,
    Write,
)


class MemoryTableService(TableService):
    """Table service in memory, which can be restored from copies of its rows.

    For the platform's stand-in, and for tests of applications that embed the libraries.

    Examples
    --------
    >>> table = MemoryTableService()
    >>> table.transact([Condition("a", 0)], [Write("a", b"1")])
    Committed(revision=1)
    >>> table.transact([Condition("a", 0)], [Write("a", b"2")])
    Conflict(rows=[Row(key='a', value=b'1', revision=1)])
    """

    __slots__ = ("_era", "_rows", "_version")

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._version = 0
        self._era = StoreEra()
        self._era.observe(0)

    @property
    def era(self) -> StoreEra:
        """Return the era, which rises by one with each restore."""
        return self._era

    def make_copy(self) -> tuple[dict[str, Row], int]:
        """Return a copy of the rows and of the version."""
        return dict(self._rows), self._version

    def restore(self, copy: tuple[dict[str, Row], int]) -> None:
        """Replace the rows and the version by a copy, and begin a new era.

        Examples
        --------
        >>> table = MemoryTableService()
        >>> copy = table.make_copy()
        >>> committed = table.transact([], [Write("a", b"1")])
        >>> table.restore(copy)
        >>> table.read(["a"])
        Rows(rows=[])
        """
        rows, self._version = copy
        self._rows = dict(rows)
        self._era.observe((self._era.value or 0) + 1)

    def read_prefix(self, prefix: str) -> Rows:
        """Return all rows whose key starts with `prefix`."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return Rows([self._rows[key] for key in keys])

    def read(self, keys: list[str]) -> Rows:
        """Return the existing rows among `keys`."""
        return Rows([self._rows[key] for key in keys if key in self._rows])

    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` atomically if every condition holds."""
        placeholders = {c.key: Row(c.key, b"", 0) for c in conditions}
        current = [self._rows.get(c.key, placeholders[c.key]) for c in conditions]
        mismatched = [
            row
            for row, condition in zip(current, conditions, strict=True)
            if row.revision != condition.revision
        ]
        if mismatched:
            return Conflict(mismatched)
        self._version += 1
        revision = compose_revision(self._era.value or 0, self._version)
        for write in writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, write.value, revision)
        return Committed(revision)


class MemoryObjectStore(ObjectStore):
    """Object store in memory, for tests of applications that embed the libraries.

    Examples
    --------
    >>> store = MemoryObjectStore()
    >>> store.put("a", b"1")
    Committed(revision=0)
    >>> store.get("a"), store.get("b")
    (b'1', None)
    """

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def get(self, key: str) -> bytes | None:
        """Return the object stored under `key`, or None if there is none."""
        return self._objects.get(key)

    def put(self, key: str, value: bytes) -> Committed:
        """Store the object under `key`."""
        self._objects[key] = value
        return Committed(0)

    def delete(self, key: str) -> bool:
        """Delete the object."""
        self._objects.pop(key, None)
        return True
