"""Processes that a test or a development tool starts and ends by pid."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path


class ManagedProcess:
    """A Python module run as a process.

    Parameters
    ----------
    module : str
        Run with ``python -m``.
    arguments : sequence of str
        Its arguments.
    log : Path
        Takes standard output and error.
    environment : mapping of str to str
        Added to this process's environment.
    """

    __slots__ = ("_process", "log")

    def __init__(
        self,
        module: str,
        arguments: Sequence[str],
        log: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.log = log
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """End the process without warning."""
        self._process.kill()
        self._process.wait()

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._process.terminate()

    def send_sighup(self) -> None:
        """Ask the process to read its certificates again."""
        self._process.send_signal(signal.SIGHUP)

    def suspend(self) -> None:
        """Stop the process from running until `thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._process.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process runs on after `timeout_s`."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
