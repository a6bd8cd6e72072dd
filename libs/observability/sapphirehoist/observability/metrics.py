"""Counters, gauges and latency histograms with a text exposition."""

from __future__ import annotations

from collections import Counter
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)

Series: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """Counters and hdrhistogram latencies of one process.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="done")
    >>> metrics.value("requests_total", outcome="done")
    1
    """

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: Counter[Series] = Counter()
        self._histograms: dict[Series, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add `amount` to the counter `name` with `labels`."""
        self._counters[_series(name, labels)] += amount

    def observe_latency(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in the histogram `name` with `labels`."""
        series = _series(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        histogram.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def value(self, name: str, **labels: str) -> int:
        """Return the counter `name` with exactly `labels`."""
        return self._counters[_series(name, labels)]

    def total(self, name: str) -> int:
        """Return the sum of the counter `name` over all labels."""
        return sum(v for (key, _), v in self._counters.items() if key == name)

    def quantile_s(self, name: str, percent: float, **labels: str) -> float | None:
        """Return a latency quantile in seconds, or None without a sample."""
        histogram = self._histograms.get(_series(name, labels))
        if histogram is None:
            return None
        return histogram.get_value_at_percentile(percent) / 1e6

    def render_text(self) -> str:
        """Return every series in the usual scrape format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"sapphirehoist_{name}{_labels(labels)} {value}")
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for percent in _QUANTILES:
                quantile = (*labels, ("quantile", f"{percent / 100:g}"))
                seconds = histogram.get_value_at_percentile(percent) / 1e6
                lines.append(f"sapphirehoist_{name}{_labels(quantile)} {seconds:.6f}")
            total = histogram.get_total_count()
            lines.append(f"sapphirehoist_{name}_count{_labels(labels)} {total}")
        return "\n".join(lines) + "\n"


def _series(name: str, labels: dict[str, str]) -> Series:
    return name, tuple(sorted(labels.items()))


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
