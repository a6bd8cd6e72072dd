"""Processes under test in a crowd of misbehaving clients, and what they may use."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
import urllib3
from crowd import Crowd

from sapphirehoist.testing import ManagedProcess, wait_until

__all__ = ["PLAY_S", "CrowdedProcess", "is_answered", "limited_descriptors", "playing"]

# Descriptors that a process may open, and those that its own calls have to find free.
MAX_DESCRIPTORS, FREE_DESCRIPTORS = 512, 64
# How long a crowd plays before the process is examined.
PLAY_S = 1.5
# For a request that is made again when it is refused; no statement about speed.
ANSWER_WAIT_S = 20.0
_TRY_TIMEOUT_S = 5.0
_SAMPLE_INTERVAL_S = 0.05
_TESTS = Path(__file__).parent
_pool = urllib3.PoolManager(retries=False, timeout=_TRY_TIMEOUT_S, maxsize=1)


@contextmanager
def limited_descriptors() -> Iterator[None]:
    """Limit the descriptors of the processes that are started in this context."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextmanager
def playing(crowd: Crowd, folder: Path) -> Iterator[ManagedProcess]:
    """Run a crowd; its connections stay open until the context ends."""
    path = os.pathsep.join([str(_TESTS), os.environ.get("PYTHONPATH", "")])
    process = ManagedProcess(
        "crowd", [crowd.to_argument()], folder / "crowd.log", {"PYTHONPATH": path}
    )
    try:
        yield process
    finally:
        process.kill()


def is_answered(
    method: str,
    url: str,
    headers: Callable[[], dict[str, str]] = dict,
    body: bytes = b"",
    pool: urllib3.PoolManager = _pool,
) -> bool:
    """Send a request on a new connection; return whether its answer is 200."""
    named = headers() | {"Connection": "close"}
    try:
        response = pool.request(method, url, body=body or None, headers=named)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


class CrowdedProcess:
    """What a process uses while a crowd is connected to it.

    Parameters
    ----------
    process : ManagedProcess
        Process under test.
    max_memory_bytes : int
        Largest resident memory that it may ever have had.
    """

    __slots__ = ("_max_memory_bytes", "_process", "most_descriptors")

    def __init__(self, process: ManagedProcess, max_memory_bytes: int) -> None:
        self._process = process
        self._max_memory_bytes = max_memory_bytes
        self.most_descriptors = 0

    @property
    def memory_bytes(self) -> int:
        """Return the resident memory now."""
        return self._status("VmRSS")

    @property
    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory since `forget_peak`, or ever."""
        return self._status("VmHWM")

    def forget_peak(self) -> None:
        """Measure the largest resident memory from now on."""
        Path(f"/proc/{self._process.pid}/clear_refs").write_text("5")

    def check(
        self,
        crowd: Crowd,
        folder: Path,
        is_ordinary_answered: Callable[[], bool],
        play_s: float = PLAY_S,
    ) -> None:
        """Assert what must hold while `crowd` is connected and afterwards.

        Memory and descriptors stay in their bounds, and an ordinary request is
        answered, during the crowd and after it; it may be refused before.
        """
        with playing(crowd, folder) as crowd_process:
            sampler = gevent.spawn(self._sample_descriptors)
            gevent.sleep(play_s)
            self._check_answered(is_ordinary_answered, "in the crowd")
            assert crowd_process.is_running(), crowd_process.log.read_text()[-2_000:]
            self._check_bounds()
        self._check_answered(is_ordinary_answered, "after the crowd")
        sampler.kill()
        self._check_bounds()

    def _check_answered(
        self, is_ordinary_answered: Callable[[], bool], when: str
    ) -> None:
        wait_until(
            is_ordinary_answered,
            f"an ordinary request is answered {when}",
            ANSWER_WAIT_S,
            describe_failure=self._describe,
        )

    def _check_bounds(self) -> None:
        assert self._process.is_running(), self._process.log.read_text()[-2_000:]
        peak_bytes = self.peak_memory_bytes
        assert peak_bytes <= self._max_memory_bytes, self._describe()
        limit = MAX_DESCRIPTORS - FREE_DESCRIPTORS
        assert self.most_descriptors <= limit, self._describe()

    def _describe(self) -> str:
        if not self._process.is_running():
            return "the process has ended"
        return (
            f"{self.peak_memory_bytes / 1e6:.0f} MB of"
            f" {self._max_memory_bytes / 1e6:.0f}, {self.most_descriptors} descriptors"
        )

    def _sample_descriptors(self) -> None:
        while self._process.is_running():
            try:
                descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            except OSError:
                return
            self.most_descriptors = max(self.most_descriptors, descriptors)
            gevent.sleep(_SAMPLE_INTERVAL_S)

    def _status(self, name: str) -> int:
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(name))
        return int(line.split()[1]) * 1_024
