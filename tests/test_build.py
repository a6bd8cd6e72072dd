"""The build for the users' site, beside processes that start from its result."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

import gevent
import pytest

_ROOT = Path(__file__).parents[1]
_MAIN = "target/deps/sapphirehoist/adapter/main.py"


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Give a checkout whose requirements are installed already."""
    for name in ("deploy", "libs", "platform"):
        shutil.copytree(
            _ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__")
        )
    deps = tmp_path / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / ".installed").touch()
    return tmp_path


def build(checkout: Path) -> None:
    subprocess.run(["bash", "deploy/build.sh"], cwd=checkout, check=True)


def test_libraries_without_tests(checkout: Path) -> None:
    build(checkout)
    built = checkout / "target" / "deps" / "sapphirehoist"
    assert (checkout / _MAIN).exists()
    assert (built / "gateway" / "node.py").exists()
    assert not list(built.rglob("tests"))
    assert [path.name for path in (checkout / "target").iterdir()] == ["deps"]


def test_programs_can_start_while_it_is_built_again(checkout: Path) -> None:
    build(checkout)
    missing = []

    def look() -> None:
        while True:
            if not (checkout / _MAIN).exists():
                missing.append(_MAIN)
            gevent.sleep(0.001)

    looking = gevent.spawn(look)
    for _ in range(5):
        build(checkout)
    looking.kill()
    assert not missing


def test_a_change_gets_in_and_a_removed_module_does_not_stay(checkout: Path) -> None:
    build(checkout)
    clock = checkout / "libs" / "clock" / "sapphirehoist" / "clock"
    (clock / "added.py").write_text("ADDED = 1\n")
    build(checkout)
    added = checkout / "target" / "deps" / "sapphirehoist" / "clock" / "added.py"
    assert added.exists()
    (clock / "added.py").unlink()
    build(checkout)
    assert not added.exists()
