"""Dependencies between libraries are declared and acyclic, and layers are kept."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

LIBS = Path(__file__).parent.parent / "libs"
LIB_NAMES = sorted(path.name for path in LIBS.iterdir() if path.is_dir())
PREFIX = "sapphirehoist-"


def read_declared(name: str) -> set[str]:
    project = tomllib.loads((LIBS / name / "pyproject.toml").read_text())["project"]
    internal = (d for d in project["dependencies"] if d.startswith(PREFIX))
    return {dependency.removeprefix(PREFIX) for dependency in internal}


def find_imported(name: str) -> set[str]:
    found = set()
    for path in (LIBS / name).rglob("*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                parts = node.module.split(".")
                if parts[0] == "sapphirehoist":
                    found.add("testing" if parts[1] == "standins" else parts[1])
    return found - {name}


@pytest.mark.parametrize("name", LIB_NAMES)
def test_imports_are_declared(name: str) -> None:
    assert find_imported(name) == read_declared(name)


def test_dependencies_are_acyclic() -> None:
    unresolved = {name: read_declared(name) for name in LIB_NAMES}
    while unresolved:
        independent = [
            name for name, needs in unresolved.items() if not needs & set(unresolved)
        ]
        assert independent, f"dependency cycle among {sorted(unresolved)}"
        for name in independent:
            del unresolved[name]


@pytest.mark.parametrize(
    "name", [n for n in LIB_NAMES if n not in ("daemon", "testing")]
)
def test_library_import_needs_neither_daemon_nor_monkey_patching(name: str) -> None:
    code = (
        f"import sys, sapphirehoist.{name}\n"
        "assert 'sapphirehoist.daemon' not in sys.modules\n"
        "from gevent import monkey\n"
        "assert not monkey.is_module_patched('socket')"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert completed.returncode == 0, completed.stderr


ADAPTER = LIBS.parent / "platform" / "sapphirehoist" / "adapter"
GATEWAY_LIBS = ("gateway", "http1", "routes", "discovery", "decisions", "sockets")


def list_sources(root: Path) -> list[Path]:
    return [path for path in root.rglob("*.py") if "tests" not in path.parts]


def find_wire_names() -> set[str]:
    """Return the headers, paths and field names among the adapter's literals."""
    names = set()
    for path in list_sources(ADAPTER):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                text = node.value
                is_header = text.startswith(("X-", "Kv-"))
                is_path = text.startswith("/") and text.count("/") == 1 and text[1:]
                if (
                    is_header
                    or is_path
                    or text in ("in_service", "handleId", "hasMore")
                ):
                    names.add(text)
    return names


def test_only_the_adapter_contains_wire_names() -> None:
    names = find_wire_names() - {"in_service", "/metrics"}
    assert {"X-Server-Seal", "/stage-run", "handleId"} <= names
    for lib in GATEWAY_LIBS:
        for path in list_sources(LIBS / lib):
            literals = [
                node.value
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.Constant) and isinstance(node.value, str)
            ]
            assert not names & set(literals), path


def test_adapter_imports_no_decision_logic() -> None:
    for path in list_sources(ADAPTER):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            imported_names = {alias.name for alias in node.names}
            if node.module.startswith("sapphirehoist.decisions"):
                assert imported_names <= {"PromptPart"}, path
            assert not node.module.startswith("sapphirehoist.gateway."), path
