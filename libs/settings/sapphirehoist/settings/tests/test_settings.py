"""Invalid settings are reported with all their errors and the allowed values."""

from __future__ import annotations

from pathlib import Path

import json5
import pytest

from sapphirehoist.settings import (
    Settings,
    SettingsErrors,
    load_settings,
    parse_settings,
)

EXAMPLES = Path(__file__).parents[5] / "examples"


def load_example() -> dict:
    return json5.loads((EXAMPLES / "studio.jsonc").read_text())


@pytest.mark.parametrize("name", ["studio.jsonc", "tomrom.jsonc"])
def test_examples_are_valid(name: str) -> None:
    settings = load_settings(str(EXAMPLES / name))
    assert isinstance(settings, Settings), settings
    assert settings.peers.seeds


def test_all_errors_are_reported_at_once() -> None:
    data = load_example()
    data["region"] = "Mont Réal"
    data["callers"]["port"] = 99_999
    data["peers"]["seeds"][1] = "10.2.0.11"
    data["operators"][0]["token_sha256"] = "short"
    data["colour"] = "blue"
    data["policies"] = {"routing": "best"}
    del data["platform"]["vms"]
    result = parse_settings(json5.dumps(data))
    assert isinstance(result, SettingsErrors)
    paths = [error.split(":")[0] for error in result.errors]
    assert sorted(paths) == [
        "$.callers.port",
        "$.colour",
        "$.operators[0].token_sha256",
        "$.peers.seeds[1]",
        "$.platform.vms",
        "$.policies.routing",
        "$.region",
    ]
    text = "\n".join(result.errors)
    assert "99999 is not allowed: Expected `int` <= 65535" in text
    assert "unknown field; allowed: callers, " in text
    assert "missing; it is required" in text


@pytest.mark.parametrize("text", ["", "{", "[1", "{vm: }", "7", "\x00"])
def test_invalid_text_is_rejected(text: str) -> None:
    assert isinstance(parse_settings(text), SettingsErrors)


def test_unreadable_file_is_reported(tmp_path: Path) -> None:
    result = load_settings(str(tmp_path / "absent.jsonc"))
    assert isinstance(result, SettingsErrors)
    assert "cannot be read" in result.errors[0]
