"""Checks measurements against the bounds in ``bounds.jsonc``."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5
from entry_cost import TOKENS_PER_S, EntryCost

_BOUNDS: dict[str, Any] = json5.loads(
    Path(__file__).with_name("bounds.jsonc").read_text()
)


def check_entry_cost(cost: EntryCost) -> list[str]:
    """Print each figure beside its bound; return the lines of those missed."""
    bounds = _BOUNDS["entry_cost"]
    scaled = cost.token_cores * TOKENS_PER_S / cost.token_rate
    print(f"entry: {cost.token_rate:.0f} tokens/s used {cost.token_cores:.3f} cores")
    print(f"entry: {cost.request_rate:.1f} requests/s")
    print(f"entry: idle {cost.idle_cores:.4f} cores, {cost.idle_mb:.1f} MB resident")
    figures = {
        "cores_at_3500_tokens_s": scaled,
        "cores_at_15_requests_s": cost.request_cores,
        "added_p50_ms": cost.added_p50_ms,
        "added_p99_ms": cost.added_p99_ms,
    }
    return check("entry_cost", figures, bounds)


def check(case: str, figures: dict[str, float], most: dict[str, float]) -> list[str]:
    """Print figures and their upper bounds; return a line for each one missed."""
    missed = []
    for name, figure in figures.items():
        line = f"{case} {name}: {figure:.4g} (at most {most[name]:g})"
        print(line)
        if figure > most[name]:
            missed.append(line)
    return missed
