"""Reads settings and names every fault with its path, value and what is allowed."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args, get_type_hints

import json5
import msgspec

from sapphirehoist.settings.model import Settings


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """The settings cannot be used; each fault names a path and what is allowed."""

    faults: tuple[str, ...]


def load_settings(path: str) -> Settings | SettingsFaults:
    """Read the settings file at `path`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return SettingsFaults((f"{path}: cannot be read: {exc}",))
    return parse_settings(text)


def parse_settings(text: str) -> Settings | SettingsFaults:
    """Parse JSON with comments into `Settings`.

    Examples
    --------
    >>> parse_settings("[]").faults
    ('$: [] is not allowed: Expected `object`, got `array`',)
    """
    try:
        data = json5.loads(text)
    except ValueError as exc:
        return SettingsFaults((f"$: not JSON with comments: {exc}",))
    if not isinstance(data, dict):
        return SettingsFaults((_fault("$", data, Settings),))
    faults = _struct_faults("$", data, Settings)
    if faults:
        return SettingsFaults(tuple(faults))
    return msgspec.convert(data, Settings)


def _struct_faults(path: str, data: dict[str, Any], kind: type) -> list[str]:
    """Return all faults of one object, so that one run shows them all."""
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    faults = []
    for name in sorted(set(data) - set(fields)):
        allowed = ", ".join(sorted(fields))
        faults.append(f"{path}.{name}: unknown field; allowed: {allowed}")
    for name, field in fields.items():
        if name not in data:
            if field.required:
                faults.append(f"{path}.{name}: missing; it is required")
            continue
        faults.extend(_value_faults(f"{path}.{name}", data[name], hints[name]))
    return faults


def _value_faults(path: str, value: Any, kind: Any) -> list[str]:
    struct = _struct_type(kind)
    if struct is not None and isinstance(value, dict):
        return _struct_faults(path, value, struct)
    item = _item_type(kind)
    if item is not None and isinstance(value, list):
        faults = []
        for index, entry in enumerate(value):
            faults.extend(_value_faults(f"{path}[{index}]", entry, item))
        return faults
    fault = _fault(path, value, kind)
    return [fault] if fault else []


def _struct_type(kind: Any) -> type | None:
    candidates = (kind, *get_args(kind))
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _item_type(kind: Any) -> Any | None:
    if getattr(kind, "__origin__", None) is list:
        return get_args(kind)[0]
    return None


def _fault(path: str, value: Any, kind: Any) -> str:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        return f"{path}: {value!r} is not allowed: {exc}"
    return ""
