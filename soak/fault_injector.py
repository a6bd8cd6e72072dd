"""Injects random faults into a soak fleet, sequentially and concurrently."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

import gevent
from faulty_link import Direction
from fleet import Daemon, SoakFleet

from sapphirehoist.clock import SystemClock
from sapphirehoist.testing import ManagedProcess

# Longest random duration of a fault.
_MAX_FAULT_S = 2.5
_STOP_TIMEOUT_S = 8.0
_SIGNAL_HANDLER_SETUP_S = 2.0
_POLL_INTERVAL_S = 0.05

_logger = logging.getLogger("soak")


class FaultInjector:
    """Injects faults for a given time and reverts each of them.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet to inject faults into.
    random : Random
        Chooses faults, their targets and their timing.

    Attributes
    ----------
    violations : list of str
        Violated guarantees of graceful shutdown.
    """

    __slots__ = (
        "_faults",
        "_faulty_daemons",
        "_fleet",
        "_process_faults",
        "_random",
        "_tasks",
        "violations",
    )

    def __init__(self, fleet: SoakFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._faulty_daemons: set[str] = set()
        self._tasks: list[gevent.Greenlet] = []
        self.violations: list[str] = []
        self._process_faults = (
            self._suspend,
            self._kill,
            self._terminate,
            self._send_sighup,
        )
        self._faults: tuple[Callable[[], None], ...] = (
            self._inject_process_fault,
            self._inject_process_fault,
            self._inject_process_fault,
            self._take_store_down,
            self._delay_link,
            self._stall_link,
            self._reset_link,
            self._partition_link,
            self._change_config,
            self._drain_endpoint,
        )

    def run(self, seconds: float) -> None:
        """Inject faults for `seconds`; return when all of them have been reverted."""
        with gevent.Timeout(seconds, False):
            while True:
                gevent.sleep(self._random.uniform(0.05, 0.8))
                fault = self._random.choice(self._faults)
                self._tasks.append(gevent.spawn(fault))
        gevent.joinall(self._tasks, raise_error=True)

    def _wait_random_duration(self) -> None:
        gevent.sleep(self._random.uniform(0.1, _MAX_FAULT_S))

    def _inject_process_fault(self) -> None:
        self._inject_into_daemon(self._random.choice(self._process_faults))

    def _inject_into_daemon(
        self, fault: Callable[[Daemon, ManagedProcess], None]
    ) -> None:
        """Inject `fault` into a daemon without another process fault in progress."""
        available = [
            d for d in self._fleet.daemons if d.name not in self._faulty_daemons
        ]
        if not available:
            return
        daemon = self._random.choice(available)
        assert daemon.process is not None
        _logger.info("%s %s", fault.__name__.strip("_"), daemon.name)
        self._faulty_daemons.add(daemon.name)
        fault(daemon, daemon.process)
        self._faulty_daemons.discard(daemon.name)

    def _suspend(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.suspend()
        self._wait_random_duration()
        process.resume()

    def _kill(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.kill()
        self._wait_random_duration()
        self._fleet.start(daemon)

    def _terminate(self, daemon: Daemon, process: ManagedProcess) -> None:
        process.terminate()
        with gevent.Timeout(_STOP_TIMEOUT_S, False):
            while process.is_running():
                gevent.sleep(_POLL_INTERVAL_S)
        if process.is_running():
            self.violations.append(
                f"{daemon.name} still ran {_STOP_TIMEOUT_S} s after SIGTERM"
            )
            process.kill()
        self._fleet.start(daemon)

    def _send_sighup(self, daemon: Daemon, process: ManagedProcess) -> None:
        # SIGHUP terminates a process that has not installed its signal handlers yet.
        if SystemClock().monotonic() - daemon.started_at > _SIGNAL_HANDLER_SETUP_S:
            process.send_sighup()

    def _take_store_down(self) -> None:
        _logger.info("store down")
        self._fleet.store.is_down = True
        self._wait_random_duration()
        self._fleet.store.is_down = False

    def _delay_link(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        _logger.info("link delayed")
        link.delay_s = self._random.uniform(0.01, 0.4)
        self._wait_random_duration()
        link.heal()

    def _stall_link(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        direction = self._random.choice(list(Direction))
        _logger.info("link stalled %s", direction.value)
        link.stalled_directions.add(direction)
        self._wait_random_duration()
        link.heal()

    def _reset_link(self) -> None:
        _logger.info("link reset")
        self._random.choice(self._fleet.daemons).link.reset()

    def _partition_link(self) -> None:
        link = self._random.choice(self._fleet.daemons).link
        _logger.info("link partitioned")
        link.refuses_connections = True
        link.reset()
        self._wait_random_duration()
        link.heal()

    def _change_config(self) -> None:
        _logger.info("configuration change")
        self._fleet.change_config()

    def _drain_endpoint(self) -> None:
        endpoint = self._random.choice(self._fleet.endpoints)
        _logger.info("drain %s", endpoint.name)
        endpoint.update_entry(state="draining")
        self._wait_random_duration()
        # The endpoint restarts under the same name as a new incarnation.
        endpoint.update_entry(state="in_service", born=endpoint.entry["born"] + 1)
