"""Comparison of measurements with the bounds in ``bounds.jsonc``."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5
from decisions import (
    ENGINE_CAPACITY,
    ENGINES_BY_REGION,
    CaseResult,
)
from entry_cost import TARGET_TOKENS_PER_S, EntryCost

_ENGINE_SLOTS = sum(ENGINES_BY_REGION) * ENGINE_CAPACITY
_BOUNDS: dict[str, Any] = json5.loads(
    Path(__file__).with_name("bounds.jsonc").read_text()
)


def check_entry_cost(cost: EntryCost) -> list[str]:
    """Print each figure with its bound; return a line for each missed bound."""
    bounds = _BOUNDS["entry_cost"]
    cores_at_target_rate = cost.token_cores * TARGET_TOKENS_PER_S / cost.tokens_per_s
    print(f"entry: {cost.tokens_per_s:.0f} tokens/s used {cost.token_cores:.3f} cores")
    print(f"entry: {cost.requests_per_s:.1f} requests/s")
    print(f"entry: idle {cost.idle_cores:.4f} cores, {cost.idle_mb:.1f} MB resident")
    figures = {
        "cores_at_3500_tokens_s": cores_at_target_rate,
        "cores_at_15_requests_s": cost.request_cores,
        "added_p50_ms": cost.added_p50_ms,
        "added_p99_ms": cost.added_p99_ms,
    }
    return check_upper_bounds("entry_cost", figures, bounds)


def check_upper_bounds(
    case: str, figures: dict[str, float], upper_bounds: dict[str, float]
) -> list[str]:
    """Print figures with their upper bounds; return a line for each missed bound."""
    missed = []
    for name, figure in figures.items():
        line = f"{case} {name}: {figure:.4g} (at most {upper_bounds[name]:g})"
        print(line)
        if figure > upper_bounds[name]:
            missed.append(line)
    return missed


def check_decisions(results: list[CaseResult]) -> list[str]:
    """Print a table of all results; return a line for each missed bound."""
    _print_results(results)
    own_results = {r.case: r for r in results if r.policy == "sapphirehoist"}
    missed = []
    for case, result in own_results.items():
        baseline_results = [r for r in results if r.case == case and r is not result]
        missed += _check_case(result)
        missed += _check_against_baselines(result, baseline_results)
    return missed


def _check_case(result: CaseResult) -> list[str]:
    bounds = _BOUNDS["decisions"]
    missed = []
    if result.retries > bounds["retry_share"] * result.calls:
        missed.append(
            f"{result.case}: {result.retries} retries of {result.calls} calls"
        )
    if result.refusal_p99_ms > bounds["refusal_p99_ms"]:
        missed.append(f"{result.case}: refusals took {result.refusal_p99_ms:.0f} ms")
    if result.case == "steady_70":
        for class_name, fraction in result.attainment.items():
            if fraction < bounds["attainment_at_70"]:
                missed.append(f"steady_70: {class_name} met {fraction:.3f}")
        if result.cross_region_bytes:
            missed.append(
                f"steady_70: {result.cross_region_bytes} bytes left the region"
            )
    if result.case == "steady_200":
        goodput_fraction = result.goodput_slots / _ENGINE_SLOTS
        print(f"steady_200: useful work {goodput_fraction:.3f} of capacity")
        if goodput_fraction < bounds["useful_work_at_200"]:
            missed.append(f"steady_200: useful work {goodput_fraction:.3f} of capacity")
    if result.case == "team_burst":
        for team, fraction in result.team_attainment.items():
            if team != "west" and fraction < bounds["other_teams_in_a_burst"]:
                missed.append(f"team_burst: team {team} met {fraction:.3f}")
    return missed


def _check_against_baselines(
    result: CaseResult, baseline_results: list[CaseResult]
) -> list[str]:
    if not baseline_results:
        return []
    best_baseline = max(baseline_results, key=lambda other: other.offered_attainment)
    if result.offered_attainment >= best_baseline.offered_attainment:
        return []
    return [
        f"{result.case}: met {result.offered_attainment:.3f} of all, "
        f"{best_baseline.policy} met {best_baseline.offered_attainment:.3f}"
    ]


def _print_results(results: list[CaseResult]) -> None:
    print(
        f"{'case':13} {'policy':16} {'offered':>7} {'refused':>7} {'met':>5} "
        f"{'of all':>6} {'of adm':>6} {'quick':>6} {'long':>6} {'refusal':>8} "
        f"{'retries':>7} {'x-region':>8} {'busy s':>7} {'useful':>6}  teams"
    )
    for r in sorted(results, key=lambda r: r.case):
        teams = " ".join(f"{share:.2f}" for share in r.team_attainment.values())
        print(
            f"{r.case:13} {r.policy:16} {r.offered:7} {r.refused:7} {r.met:5} "
            f"{r.offered_attainment:6.3f} {r.admitted_attainment:6.3f} "
            f"{r.attainment['quick']:6.3f} {r.attainment['long']:6.3f} "
            f"{r.refusal_p99_ms:6.0f}ms {r.retries:7} {r.cross_region_bytes:8} "
            f"{r.busy_s:7.1f} {r.goodput_slots / _ENGINE_SLOTS:6.3f}  {teams}"
        )
