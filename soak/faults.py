"""Faults that one seed brings, in series and overlapping."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

import gevent
from fleet import Daemon, SoakFleet
from link import Way

from sapphirehoist.clock import SystemClock

# Every fault is over by itself after at most this long.
_LONGEST_S = 2.5
_STOP_S = 8.0
_HANDLERS_S = 2.0

_logger = logging.getLogger("soak")


class Faults:
    """Brings faults until they are to end, and then mends everything.

    Parameters
    ----------
    fleet : SoakFleet
        What is struck.
    random : Random
        Chooses faults, victims and times.
    """

    __slots__ = ("_busy", "_fleet", "_kinds", "_random", "_tasks")

    def __init__(self, fleet: SoakFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._busy: set[str] = set()
        self._tasks: list[gevent.Greenlet] = []
        self._kinds: tuple[Callable[[], None], ...] = (
            self._freeze,
            self._kill,
            self._stop,
            self._hang_up,
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

    def _victim(self) -> Daemon | None:
        """Return a daemon that no other signal is sent to meanwhile."""
        free = [d for d in self._fleet.daemons if d.name not in self._busy]
        if not free:
            return None
        daemon = self._random.choice(free)
        self._busy.add(daemon.name)
        return daemon

    def _freeze(self) -> None:
        daemon = self._victim()
        if daemon is None or daemon.process is None:
            return
        _logger.info("freeze %s", daemon.name)
        daemon.process.freeze()
        self._pause()
        daemon.process.thaw()
        self._busy.discard(daemon.name)

    def _kill(self) -> None:
        daemon = self._victim()
        if daemon is None or daemon.process is None:
            return
        _logger.info("kill %s", daemon.name)
        daemon.process.kill()
        self._pause()
        self._fleet.start(daemon)
        self._busy.discard(daemon.name)

    def _stop(self) -> None:
        daemon = self._victim()
        if daemon is None or daemon.process is None:
            return
        _logger.info("stop %s", daemon.name)
        daemon.process.terminate()
        with gevent.Timeout(_STOP_S):
            while daemon.process.is_running():
                gevent.sleep(0.05)
        self._fleet.start(daemon)
        self._busy.discard(daemon.name)

    def _hang_up(self) -> None:
        daemon = self._victim()
        if daemon is None or daemon.process is None:
            return
        # Before a program has its handlers, this signal ends it, as it does any other.
        if SystemClock().monotonic() - daemon.started_at > _HANDLERS_S:
            _logger.info("hang up %s", daemon.name)
            daemon.process.hang_up()
        self._busy.discard(daemon.name)

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
