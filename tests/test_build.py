"""The build for the users' site, and rebuilds while processes start from its files."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

import gevent
import pytest

_ROOT = Path(__file__).parents[1]
_MAIN_MODULE_PATH = "target/deps/sapphirehoist/adapter/main.py"


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a copy of the sources in which the requirements count as installed."""
    for name in ("deploy", "libs", "platform"):
        shutil.copytree(
            _ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__")
        )
    deps = tmp_path / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / ".installed").touch()
    return tmp_path


def run_build(checkout: Path) -> None:
    subprocess.run(["bash", "deploy/build.sh"], cwd=checkout, check=True)


def test_build_excludes_tests(checkout: Path) -> None:
    run_build(checkout)
    built = checkout / "target" / "deps" / "sapphirehoist"
    assert (checkout / _MAIN_MODULE_PATH).exists()
    assert (built / "gateway" / "node.py").exists()
    assert not list(built.rglob("tests"))
    assert [path.name for path in (checkout / "target").iterdir()] == ["deps"]


def test_main_module_exists_throughout_a_rebuild(checkout: Path) -> None:
    run_build(checkout)
    missing = []

    def poll_main_module() -> None:
        while True:
            if not (checkout / _MAIN_MODULE_PATH).exists():
                missing.append(_MAIN_MODULE_PATH)
            gevent.sleep(0.001)

    poller = gevent.spawn(poll_main_module)
    for _ in range(5):
        run_build(checkout)
    poller.kill()
    assert not missing


def test_rebuild_adds_new_modules_and_deletes_removed_ones(checkout: Path) -> None:
    run_build(checkout)
    clock = checkout / "libs" / "clock" / "sapphirehoist" / "clock"
    (clock / "added.py").write_text("ADDED = 1\n")
    run_build(checkout)
    added = checkout / "target" / "deps" / "sapphirehoist" / "clock" / "added.py"
    assert added.exists()
    (clock / "added.py").unlink()
    run_build(checkout)
    assert not added.exists()
