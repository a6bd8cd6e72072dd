"""Tells changes of rows that matter to other nodes from the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from sapphirehoist.discovery.table import TableRow


class RowChanges:
    """Remembers the content of a table's rows, and returns the rows that differ.

    Endpoints write their entries again all the time; most of these writes change
    nothing that another node needs.

    Parameters
    ----------
    get_content : callable
        Returns what matters of a row's value; rows with equal content are the same to
        all nodes.

    Examples
    --------
    >>> from sapphirehoist.discovery import TableRow
    >>> changes = RowChanges(lambda value: value[:1])
    >>> changes.apply_full_read((TableRow("a", b"x1"), TableRow("b", b"y1")))
    (TableRow(key='a', value=b'x1'), TableRow(key='b', value=b'y1'))
    >>> changes.apply((TableRow("a", b"x2"), TableRow("b", b"z1")))
    (TableRow(key='b', value=b'z1'),)
    >>> changes.apply_full_read((TableRow("a", b"x3"),))
    (TableRow(key='b', value=None),)
    """

    __slots__ = ("_contents", "_get_content")

    def __init__(self, get_content: Callable[[bytes], object]) -> None:
        self._get_content = get_content
        self._contents: dict[str, int] = {}

    def apply(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Record changed rows; return those whose content differs."""
        return tuple(row for row in rows if self._record(row))

    def apply_full_read(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Record all rows of the table; return changed and removed ones."""
        present = list(rows)
        missing = self._contents.keys() - {row.key for row in present}
        removed = [TableRow(key, None) for key in sorted(missing)]
        return self.apply([*present, *removed])

    def _record(self, row: TableRow) -> bool:
        if row.value is None:
            return self._contents.pop(row.key, None) is not None
        # A hash keeps the memory of a large table small.
        content = hash(self._get_content(row.value))
        is_changed = self._contents.get(row.key) != content
        self._contents[row.key] = content
        return is_changed
