"""Least-squares fits of costs over sizes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import log2
from statistics import linear_regression, stdev


@dataclass(frozen=True, slots=True)
class Fit:
    """A fit ``value = intercept + slope * basis(size)``.

    Attributes
    ----------
    intercept, slope : float
        Coefficients of the fit.
    residual_stdev : float
        Standard deviation of the residuals.
    basis : str
        Basis function of the size: ``n`` or ``log2(n)``.
    """

    intercept: float
    slope: float
    residual_stdev: float
    basis: str

    def predict(self, size: float) -> float:
        """Return the fitted value at `size`."""
        return self.intercept + self.slope * _BASIS_FUNCTIONS[self.basis](size)


_BASIS_FUNCTIONS: dict[str, Callable[[float], float]] = {"n": float, "log2(n)": log2}


def fit_least_squares(
    sizes: Sequence[float], values: Sequence[float], basis: str = "n"
) -> Fit:
    """Fit `values` over `sizes` by least squares.

    Examples
    --------
    >>> round(fit_least_squares([1, 2, 3], [10, 20, 30]).predict(10))
    100
    """
    basis_values = [_BASIS_FUNCTIONS[basis](size) for size in sizes]
    slope, intercept = linear_regression(basis_values, values)
    residuals = [
        value - intercept - slope * x
        for x, value in zip(basis_values, values, strict=True)
    ]
    return Fit(intercept, slope, stdev(residuals), basis)


def print_measurements(
    label: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> None:
    """Print measured values by size."""
    points = ", ".join(f"{s:g}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    print(f"{label} [{unit}]")
    print(f"  measured  {points}")


def print_fit(
    label: str, unit: str, sizes: Sequence[float], values: Sequence[float], basis: str
) -> Fit:
    """Print measured values by size and their fit; return the fit."""
    fitted = fit_least_squares(sizes, values, basis)
    print_measurements(label, unit, sizes, values)
    print(
        f"  fit       {fitted.intercept:.4g} + {fitted.slope:.4g} * {basis}"
        f"  (residual stdev {fitted.residual_stdev:.2g})"
    )
    return fitted
