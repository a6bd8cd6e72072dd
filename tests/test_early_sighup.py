"""Processes that get SIGHUP before they have read their settings."""

from __future__ import annotations

import os
from io import FileIO
from pathlib import Path

import pytest
import urllib3

from sapphirehoist.adapter.settings import SETTINGS_VARIABLE
from sapphirehoist.adapter.tests.standins import (
    ListenPorts,
    StoreStandIn,
    config,
    route,
    settings_text,
)
from sapphirehoist.testing import ManagedProcess, wait_until

EXAMPLES = Path(__file__).parent.parent / "examples"


class SlowFile:
    """A file whose reader waits for its content, which arrives with `write`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        os.mkfifo(path)
        self._file: FileIO | None = None

    def is_read(self) -> bool:
        """Return whether a process waits for the content."""
        try:
            descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return False
        self._file = FileIO(descriptor, "wb")
        return True

    def write(self, first: str, later: str) -> None:
        """Deliver the content; a process that opens the file again gets another one."""
        assert self._file is not None
        self.path.unlink()
        self.path.write_text(later)
        self._file.write(first.encode())
        self._file.close()


def test_gateway_goes_on_and_applies_the_new_settings(tmp_path: Path) -> None:
    """Guards against processes that end when settings change while they start."""
    store, ports = StoreStandIn(), ListenPorts.reserve()
    store.put("op", "config", config(1, route("read", "idempotent", "plain")))
    ip = f"127.{3 + os.getpid() % 250}.{os.getpid() // 250 % 250}.7"
    settings = SlowFile(tmp_path / "gateway.toml")
    process = ManagedProcess(
        "sapphirehoist.adapter.main",
        [],
        tmp_path / "gateway.log",
        {SETTINGS_VARIABLE: str(settings.path)},
    )
    try:
        wait_until(settings.is_read, "it reads its settings")
        process.send_sighup()
        text = settings_text("vm-1", ip, ports, store.address)
        settings.write(text, text.replace("graceS = 4", "graceS = -1"))
        url = f"http://{ip}:{ports.ready}/readiness"

        def is_ready() -> bool:
            assert process.is_running()
            try:
                return urllib3.request("GET", url, retries=False).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(is_ready, "it is ready", 20.0)
        assert "settings not usable" in process.log.read_text()
    finally:
        process.kill()
        store.stop()


@pytest.mark.parametrize("signal_count", [1, 3])
def test_daemon_goes_on(tmp_path: Path, signal_count: int) -> None:
    settings = SlowFile(tmp_path / "daemon.jsonc")
    arguments = ["--check", "--settings", str(settings.path)]
    log = tmp_path / "daemon.log"
    process = ManagedProcess("sapphirehoist.daemon.main", arguments, log)
    try:
        wait_until(settings.is_read, "it reads its settings")
        for _ in range(signal_count):
            process.send_sighup()
        text = (EXAMPLES / "studio.jsonc").read_text()
        settings.write(text, text)
        assert process.wait(20.0) == 0
    finally:
        process.kill()
