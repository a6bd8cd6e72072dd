"""Every fault in the settings is named at once, with what is allowed."""

from __future__ import annotations

from pathlib import Path

import json5
import pytest

from sapphirehoist.settings import (
    Settings,
    SettingsFaults,
    load_settings,
    parse_settings,
)

EXAMPLES = Path(__file__).parents[5] / "examples"


def example() -> dict:
    return json5.loads((EXAMPLES / "studio.jsonc").read_text())


@pytest.mark.parametrize("name", ["studio.jsonc", "tomrom.jsonc"])
def test_examples_are_good(name: str) -> None:
    settings = load_settings(str(EXAMPLES / name))
    assert isinstance(settings, Settings), settings
    assert settings.peers.seeds


def test_all_faults_are_named_at_once() -> None:
    data = example()
    data["region"] = "Mont Réal"
    data["callers"]["port"] = 99_999
    data["peers"]["seeds"][1] = "10.2.0.11"
    data["operators"][0]["token_sha256"] = "short"
    data["colour"] = "blue"
    data["policies"] = {"routing": "best"}
    del data["platform"]["vms"]
    found = parse_settings(json5.dumps(data))
    assert isinstance(found, SettingsFaults)
    starts = [fault.split(":")[0] for fault in found.faults]
    assert sorted(starts) == [
        "$.callers.port",
        "$.colour",
        "$.operators[0].token_sha256",
        "$.peers.seeds[1]",
        "$.platform.vms",
        "$.policies.routing",
        "$.region",
    ]
    text = "\n".join(found.faults)
    assert "99999 is not allowed: Expected `int` <= 65535" in text
    assert "unknown field; allowed: callers, " in text
    assert "missing; it is required" in text


@pytest.mark.parametrize("text", ["", "{", "[1", "{vm: }", "7", "\x00"])
def test_text_that_is_not_settings(text: str) -> None:
    assert isinstance(parse_settings(text), SettingsFaults)


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    found = load_settings(str(tmp_path / "absent.jsonc"))
    assert isinstance(found, SettingsFaults)
    assert "cannot be read" in found.faults[0]
