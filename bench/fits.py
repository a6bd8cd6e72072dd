"""Least-squares fits and their spread."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import log2
from statistics import linear_regression, stdev


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = intercept + slope * shape(size)``, and the residuals' deviation."""

    intercept: float
    slope: float
    spread: float
    shape: str

    def at(self, size: float) -> float:
        """Return the fitted value at `size`."""
        return self.intercept + self.slope * _SHAPES[self.shape](size)


_SHAPES: dict[str, Callable[[float], float]] = {"n": float, "log2(n)": log2}


def fit(sizes: Sequence[float], values: Sequence[float], shape: str = "n") -> Fit:
    """Fit `values` over `sizes`.

    Examples
    --------
    >>> round(fit([1, 2, 3], [10, 20, 30]).at(10))
    100
    """
    scaled = [_SHAPES[shape](size) for size in sizes]
    slope, intercept = linear_regression(scaled, values)
    residuals = [
        value - intercept - slope * x for x, value in zip(scaled, values, strict=True)
    ]
    return Fit(intercept, slope, stdev(residuals), shape)


def print_points(
    what: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> None:
    """Print measurements by size."""
    points = ", ".join(f"{s:g}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    print(f"{what} [{unit}]")
    print(f"  measured  {points}")


def print_fit(
    what: str, unit: str, sizes: Sequence[float], values: Sequence[float], shape: str
) -> Fit:
    """Print measurements, their fit and its spread; return the fit."""
    fitted = fit(sizes, values, shape)
    print_points(what, unit, sizes, values)
    print(
        f"  fit       {fitted.intercept:.4g} + {fitted.slope:.4g} * {shape}"
        f"  (spread {fitted.spread:.2g})"
    )
    return fitted
