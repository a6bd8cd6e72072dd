"""Faults that one seed brings, in series and overlapping."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

import gevent
from fleet import Daemon, SoakFleet
from link import Way

from sapphirehoist.clock import SystemClock
from sapphirehoist.testing import ManagedProcess

# Every fault is over by itself after at most this long.
_LONGEST_S = 2.5
_STOP_S = 8.0
_HANDLERS_S = 2.0
_LOOK_S = 0.05

_logger = logging.getLogger("soak")


class Faults:
    """Brings faults until they are to end, and then mends everything.

    Parameters
    ----------
    fleet : SoakFleet
        What is struck.
    random : Random
        Chooses faults, victims and times.

    Attributes
    ----------
    found : list of str
        Promises that were broken at a planned stop.
    """

    __slots__ = (
        "_busy",
        "_fleet",
        "_kinds",
        "_random",
        "_signals",
        "_tasks",
        "found",
    )

    def __init__(self, fleet: SoakFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._busy: set[str] = set()
        self._tasks: list[gevent.Greenlet] = []
        self.found: list[str] = []
        self._signals = (self._freeze, self._kill, self._stop, self._hang_up)
        self._kinds: tuple[Callable[[], None], ...] = (
            self._signal,
            self._signal,
            self._signal,
            self._store_down,
            self._link_delayed,
            self._link_silenced,
            self._link_reset,
            self._link_cut,
            self._config,
            self._drain,
        )

    def run(self, seconds: float) -> None:
        """Bring faults for some time; return when all are mended."""
        with gevent.Timeout(seconds, False):
            while True:
                gevent.sleep(self._random.uniform(0.05, 0.8))
                kind = self._random.choice(self._kinds)
                self._tasks.append(gevent.spawn(kind))
        gevent.joinall(self._tasks, raise_error=True)

    def _pause(self) -> None:
        gevent.sleep(self._random.uniform(0.1, _LONGEST_S))

    def _signal(self) -> None:
        self._on_a_daemon(self._random.choice(self._signals))

    def _on_a_daemon(self, fault: Callable[[Daemon, ManagedProcess], None]) -> None:
        """Bring `fault` to a daemon that gets no other signal meanwhile."""
        free = [d for d in self._fleet.daemons if d.name not in self._busy]
        if not free:
            return
        daemon = self._random.choice(free)
        assert daemon.process is not None
        _logger.info("%s %s", fault.__name__.strip("_"), daemon.name)
        self._busy.add(daemon.name)
        fault(daemon, daemon.process)
        self._busy.discard(daemon.name)

    def _freeze(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.freeze()
        self._pause()
        process.thaw()

    def _kill(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.kill()
        self._pause()
        self._fleet.start(daemon)

    def _stop(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.terminate()
        with gevent.Timeout(_STOP_S, False):
            while process.is_running():
                gevent.sleep(_LOOK_S)
        if process.is_running():
            self.found.append(f"{daemon.name} ran {_STOP_S} s after its SIGTERM")
            process.kill()
        self._fleet.start(daemon)

    def _hang_up(self, daemon: Daemon, process: ManagedProcess) -> None:
        # Before a program has its handlers, this signal ends it, as it does any other.
        if SystemClock().monotonic() - daemon.started_at > _HANDLERS_S:
            process.hang_up()

    def _store_down(self) -> None:
        _logger.info("store down")
        self._fleet.store.is_down = True
        self._pause()
        self._fleet.store.is_down = False

    def _link_delayed(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        _logger.info("link delayed")
        link.delay_s = self._random.uniform(0.01, 0.4)
        self._pause()
        link.heal()

    def _link_silenced(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        way = self._random.choice(list(Way))
        _logger.info("link silenced %s", way.value)
        link.silenced.add(way)
        self._pause()
        link.heal()

    def _link_reset(self) -> None:
        _logger.info("link reset")
        self._random.choice(self._fleet.daemons).link.reset()

    def _link_cut(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        _logger.info("link cut")
        link.is_cut = True
        link.reset()
        self._pause()
        link.heal()

    def _config(self) -> None:
        _logger.info("configuration changes")
        self._fleet.change_config()

    def _drain(self) -> None:
        endpoint = self._random.choice(self._fleet.endpoints)
        _logger.info("drain %s", endpoint.name)
        endpoint.write(state="draining")
        self._pause()
        # It starts again under its name, as a new incarnation.
        endpoint.write(state="in_service", born=endpoint.entry["born"] + 1)
