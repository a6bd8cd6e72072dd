"""The libraries' dependencies are declared and point one way."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

LIBS = Path(__file__).parent.parent / "libs"
NAMES = sorted(path.name for path in LIBS.iterdir() if path.is_dir())
PREFIX = "sapphirehoist-"


def declared(name: str) -> set[str]:
    project = tomllib.loads((LIBS / name / "pyproject.toml").read_text())["project"]
    own = (d for d in project["dependencies"] if d.startswith(PREFIX))
    return {dependency.removeprefix(PREFIX) for dependency in own}


def imported(name: str) -> set[str]:
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


@pytest.mark.parametrize("name", NAMES)
def test_imports_are_declared(name: str) -> None:
    assert imported(name) == declared(name)


def test_dependencies_point_one_way() -> None:
    left = {name: declared(name) for name in NAMES}
    while left:
        free = [name for name, needs in left.items() if not needs & set(left)]
        assert free, f"a circle among {sorted(left)}"
        for name in free:
            del left[name]


@pytest.mark.parametrize("name", [n for n in NAMES if n not in ("daemon", "testing")])
def test_a_library_is_imported_without_the_daemon(name: str) -> None:
    code = (
        f"import sys, sapphirehoist.{name}\n"
        "assert 'sapphirehoist.daemon' not in sys.modules\n"
        "from gevent import monkey\n"
        "assert not monkey.is_module_patched('socket')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
