"""Compares two sets of configuration objects."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sapphirehoist.configuration import ConfigObject, ObjectKey
from sapphirehoist.configuration.change import object_key


def diff_objects(
    current: Iterable[ConfigObject],
    desired: Iterable[ConfigObject],
    show_removed: bool = False,
) -> list[str]:
    """Return a line for each new object and each changed field in `desired`.

    Parameters
    ----------
    current, desired : iterable of ConfigObject
        Objects before and after the change.
    show_removed : bool
        Whether objects that are only in `current` are shown as removed.
    """
    before = {object_key(obj): obj for obj in current}
    after = {object_key(obj): obj for obj in desired}
    lines = []
    for key, obj in sorted(after.items()):
        old = before.get(key)
        if old is None:
            lines.append(f"+ {key.kind}/{key.name}")
        elif old != obj:
            lines += _diff_fields(key, old, obj)
    if show_removed:
        lines += [
            f"- {key.kind}/{key.name}" for key in sorted(set(before) - set(after))
        ]
    return lines


def _diff_fields(key: ObjectKey, old: ConfigObject, new: ConfigObject) -> list[str]:
    before = msgspec.to_builtins(old)
    after = msgspec.to_builtins(new)
    return [
        f"~ {key.kind}/{key.name}: {field}: {before.get(field)!r} -> {value!r}"
        for field, value in after.items()
        if before.get(field) != value
    ]
