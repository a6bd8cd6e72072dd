"""Measures how the costs of coordination scale, and fits their slopes.

Counted figures (bytes, messages, table operations, simulated seconds) come from nodes
in one process on a manual clock and are deterministic. Processor time and memory are
measured and vary between runs.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from slopes_claims import measure_claim_slopes  # noqa: E402
from slopes_decisions import measure_decision_slopes  # noqa: E402
from slopes_fleet import measure_change_rates, measure_fleet_slopes  # noqa: E402
from slopes_process import measure_process_slopes  # noqa: E402
from slopes_state import measure_state_slopes  # noqa: E402


def main() -> int:
    """Print every measurement and its fit."""
    measure_fleet_slopes()
    measure_change_rates()
    measure_claim_slopes()
    measure_state_slopes()
    measure_decision_slopes()
    measure_process_slopes()
    return 0


if __name__ == "__main__":
    sys.exit(main())
