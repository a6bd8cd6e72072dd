"""Command line of the benchmarks: ``make bench`` or ``make bench CASE=name``."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

from bounds import check_decisions, check_entry_cost  # noqa: E402
from decisions import POLICIES, CaseResult, make_cases, run_policy  # noqa: E402
from entry_cost import measure_entry_cost  # noqa: E402
from gateway_cost import measure_gateway_cost  # noqa: E402

# Baselines run only in these cases, which keeps the total time under five minutes.
_BASELINE_CASES = {"steady_200", "half_pool"}


def main() -> int:
    """Run the selected cases; return 1 if any bound is missed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="all")
    parser.add_argument("--policy", default="all", choices=["all", *POLICIES])
    arguments = parser.parse_args()
    case_name = arguments.case
    missed_bounds: list[str] = []
    if case_name == "entry_cost" or (case_name == "all" and arguments.policy == "all"):
        missed_bounds += check_entry_cost(measure_entry_cost())
    if case_name == "gateway_cost" or (
        case_name == "all" and arguments.policy == "all"
    ):
        print("\n".join(measure_gateway_cost().report_lines()))
    if case_name not in {"entry_cost", "gateway_cost"}:
        missed_bounds += check_decisions(_run_decisions(case_name, arguments.policy))
    for line in missed_bounds:
        print(f"MISSED {line}")
    return 1 if missed_bounds else 0


def _run_decisions(case_name: str, policy_name: str) -> list[CaseResult]:
    """Run the selected cases with the selected policies.

    If all cases are selected, the baselines run only in `_BASELINE_CASES`.
    """
    case_names = {c.name for c in make_cases()} - {"warm"}
    if case_name != "all" and case_name not in case_names:
        allowed = ", ".join(sorted(case_names | {"all", "entry_cost", "gateway_cost"}))
        sys.exit(f"--case: {case_name!r} is unknown; allowed: {allowed}")
    results = []
    for policy in POLICIES if policy_name == "all" else [policy_name]:
        is_default_policy = policy == "sapphirehoist"
        chosen_names = (
            {case_name}
            if case_name != "all"
            else case_names
            if is_default_policy
            else _BASELINE_CASES
        )
        results += run_policy(policy, chosen_names)
    return results


if __name__ == "__main__":
    sys.exit(main())
