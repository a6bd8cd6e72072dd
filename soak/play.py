"""Soak test: ``python soak/play.py --seeds=1,2,3 --seconds=20 --nodes=4``.

The exit status is 1 if a guarantee was violated; the directory with the logs of a
failed seed is kept.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import urllib3  # noqa: E402
from callers import Callers  # noqa: E402
from fault_injector import FaultInjector  # noqa: E402
from fleet import SoakFleet  # noqa: E402
from guarantees import RequestKind  # noqa: E402

# Recovery time that the users' sites require, counted from the end of the last fault.
RECOVERY_TIMEOUT_S = 12.0
_POLL_INTERVAL_S = 0.1
_CALLER_COUNT = 6


def run_seed(
    seed: int, seconds: float, nodes: int, recovery_s: float, folder: Path
) -> list[str]:
    """Run one seed; return the violated guarantees."""
    random = Random(seed)
    fleet = SoakFleet(nodes, folder)
    try:
        callers = Callers(fleet, Random(seed + 1))
        if not _wait_all_serving(fleet, callers, recovery_s):
            return ["not every node served after startup"]
        tasks = [gevent.spawn(callers.run) for _ in range(_CALLER_COUNT)]
        faults = FaultInjector(fleet, random)
        faults.run(seconds)
        is_recovered = _wait_all_serving(fleet, callers, recovery_s)
        callers.is_stopped = True
        gevent.joinall(tasks, raise_error=True)
        violations = faults.violations + fleet.checker.find_violations()
        if not is_recovered:
            violations.append(
                f"not every node served {recovery_s} s after the last fault"
            )
        violations += [
            f"{d.name} exited unexpectedly"
            for d in fleet.daemons
            if d.process is None or not d.process.is_running()
        ]
        logging.getLogger("soak").info(
            "seed %d: responses by status %s, %d complete successes",
            seed,
            fleet.checker.count_by_status(),
            fleet.checker.count_complete_successes(),
        )
        return violations
    finally:
        fleet.close()


def _wait_all_serving(fleet: SoakFleet, callers: Callers, timeout_s: float) -> bool:
    """Return whether every node serves each kind of request within `timeout_s`."""
    pool = urllib3.PoolManager(retries=False, timeout=timeout_s)
    with gevent.Timeout(timeout_s, False):
        for daemon in fleet.daemons:
            for kind in RequestKind:
                while True:
                    response = callers.send_request(pool, daemon.caller_address, kind)
                    fleet.checker.record_response(response)
                    if response.status == 200 and response.is_complete:
                        break
                    gevent.sleep(_POLL_INTERVAL_S)
        return True
    return False


def main(
    seeds: int | tuple[int, ...],
    seconds: float = 20,
    nodes: int = 4,
    recovery_s: float = RECOVERY_TIMEOUT_S,
) -> None:
    """Run each seed and print the violated guarantees.

    Parameters
    ----------
    seeds : comma-separated int
        Seeds to run.
    seconds : float
        Duration of fault injection for each seed.
    nodes : int
        Number of daemons.
    recovery_s : float
        Time after the last fault within which every node must serve.
    """
    logging.basicConfig(level=logging.INFO, format="%(relativeCreated)6d %(message)s")
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    has_failed = False
    for seed in seeds if isinstance(seeds, tuple) else (seeds,):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run_seed(seed, seconds, nodes, recovery_s, folder)
        for violation in violations:
            print(f"seed {seed}: {violation}; logs in {folder}")
        print(f"seed {seed}: {len(violations)} guarantees violated")
        has_failed |= bool(violations)
        if not violations:
            shutil.rmtree(folder)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
