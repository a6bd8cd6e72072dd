"""Child processes that a test or a development tool starts and ends by pid."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path


class ManagedProcess:
    """A Python module that runs as a child process.

    Parameters
    ----------
    module : str
        Name of the module, run with ``python -m``.
    arguments : sequence of str
        Command-line arguments.
    log : Path
        File to which standard output and standard error are appended.
    environment : mapping of str to str, optional
        Variables added to the environment of the parent process.
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
        """Return whether the process has not exited."""
        return self._process.poll() is None

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self._process.kill()
        self._process.wait()

    def terminate(self) -> None:
        """Send SIGTERM, which requests a graceful shutdown."""
        self._process.terminate()

    def send_sighup(self) -> None:
        """Send SIGHUP, on which a daemon reloads its certificates."""
        self._process.send_signal(signal.SIGHUP)

    def suspend(self) -> None:
        """Send SIGSTOP, which suspends the process until `resume`."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT, which resumes a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs after `timeout_s`."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
