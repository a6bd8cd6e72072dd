"""Runs measurements: ``make bench``, or one of them with ``make bench CASE=name``."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

from bounds import check_decisions, check_entry_cost  # noqa: E402
from decisions import POLICIES, CaseResult, make_cases, run_policy  # noqa: E402
from entry_cost import measure_entry_cost  # noqa: E402
from gateway_cost import measure_gateway_cost  # noqa: E402

# Baselines run in these cases only, so that the whole stays under five minutes.
_BASELINE_CASES = {"steady_200", "half_pool"}


def main() -> int:
    """Run the chosen cases; return 1 if any bound is missed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="all")
    parser.add_argument("--policy", default="all", choices=["all", *POLICIES])
    arguments = parser.parse_args()
    case = arguments.case
    missed: list[str] = []
    if case == "entry_cost" or (case == "all" and arguments.policy == "all"):
        missed += check_entry_cost(measure_entry_cost())
    if case == "gateway_cost" or (case == "all" and arguments.policy == "all"):
        print("\n".join(measure_gateway_cost().lines()))
    if case not in {"entry_cost", "gateway_cost"}:
        missed += check_decisions(_run_decisions(case, arguments.policy))
    for line in missed:
        print(f"MISSED {line}")
    return 1 if missed else 0


def _run_decisions(case: str, only: str) -> list[CaseResult]:
    """Run one case with every policy, or all cases with ours and some with others."""
    every = {c.name for c in make_cases()} - {"warm"}
    if case != "all" and case not in every:
        allowed = ", ".join(sorted(every | {"all", "entry_cost", "gateway_cost"}))
        sys.exit(f"--case: {case!r} is unknown; allowed: {allowed}")
    results = []
    for policy in POLICIES if only == "all" else [only]:
        is_ours = policy == "sapphirehoist"
        chosen = {case} if case != "all" else every if is_ours else _BASELINE_CASES
        results += run_policy(policy, chosen)
    return results


if __name__ == "__main__":
    sys.exit(main())
