"""Loads and validates settings; reports all errors with path, value and constraint."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args, get_type_hints

import json5
import msgspec

from sapphirehoist.settings.model import Settings


@dataclass(frozen=True, slots=True)
class SettingsErrors:
    """Errors in invalid settings; each names the path and the violated constraint."""

    errors: tuple[str, ...]


def load_settings(path: str) -> Settings | SettingsErrors:
    """Load and validate the settings file at `path`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return SettingsErrors((f"{path}: cannot be read: {exc}",))
    return parse_settings(text)


def parse_settings(text: str) -> Settings | SettingsErrors:
    """Parse and validate settings from JSON with comments.

    Examples
    --------
    >>> parse_settings("[]").errors
    ('$: [] is not allowed: Expected `object`, got `array`',)
    """
    try:
        data = json5.loads(text)
    except ValueError as exc:
        return SettingsErrors((f"$: not JSON with comments: {exc}",))
    if not isinstance(data, dict):
        return SettingsErrors((_conversion_error("$", data, Settings),))
    errors = _struct_errors("$", data, Settings)
    if errors:
        return SettingsErrors(tuple(errors))
    return msgspec.convert(data, Settings)


def _struct_errors(path: str, data: dict[str, Any], struct_type: type) -> list[str]:
    """Return all errors of one object, so that they can be corrected at once."""
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    hints = get_type_hints(struct_type, include_extras=True)
    errors = []
    for name in sorted(set(data) - set(fields)):
        allowed = ", ".join(sorted(fields))
        errors.append(f"{path}.{name}: unknown field; allowed: {allowed}")
    for name, field in fields.items():
        if name not in data:
            if field.required:
                errors.append(f"{path}.{name}: missing; it is required")
            continue
        errors.extend(_value_errors(f"{path}.{name}", data[name], hints[name]))
    return errors


def _value_errors(path: str, value: Any, expected_type: Any) -> list[str]:
    struct_type = _struct_type(expected_type)
    if struct_type is not None and isinstance(value, dict):
        return _struct_errors(path, value, struct_type)
    item_type = _item_type(expected_type)
    if item_type is not None and isinstance(value, list):
        errors = []
        for index, element in enumerate(value):
            errors.extend(_value_errors(f"{path}[{index}]", element, item_type))
        return errors
    error = _conversion_error(path, value, expected_type)
    return [error] if error else []


def _struct_type(expected_type: Any) -> type | None:
    candidates = (expected_type, *get_args(expected_type))
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _item_type(expected_type: Any) -> Any | None:
    if getattr(expected_type, "__origin__", None) is list:
        return get_args(expected_type)[0]
    return None


def _conversion_error(path: str, value: Any, expected_type: Any) -> str:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as exc:
        return f"{path}: {value!r} is not allowed: {exc}"
    return ""
