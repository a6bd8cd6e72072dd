"""Formats plain-text tables for a terminal."""

from __future__ import annotations

from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return `rows` as text with left-aligned columns under `header`.

    Examples
    --------
    >>> print(format_table(["vm", "version"], [["entry-1", 7]]))
    vm       version
    entry-1  7
    """
    lines = [list(header), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
