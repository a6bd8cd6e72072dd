"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)

SeriesKey: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """Counters and latency histograms of one process.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="done")
    >>> metrics.value("requests_total", outcome="done")
    1
    """

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: Counter[SeriesKey] = Counter()
        self._histograms: dict[SeriesKey, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add `amount` to the counter `name` with `labels`."""
        self._counters[_series_key(name, labels)] += amount

    def observe_latency(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in the histogram `name` with `labels`."""
        series = _series_key(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[series] = histogram
        histogram.record_value(max(_MIN_LATENCY_US, int(seconds * 1e6)))

    def value(self, name: str, **labels: str) -> int:
        """Return the value of the counter `name` with exactly `labels`."""
        return self._counters[_series_key(name, labels)]

    def total(self, name: str) -> int:
        """Return the sum of the counter `name` over all label sets."""
        return sum(v for (key, _), v in self._counters.items() if key == name)

    def percentile_s(self, name: str, percent: float, **labels: str) -> float | None:
        """Return a percentile of latencies in seconds, or None without a sample."""
        histogram = self._histograms.get(_series_key(name, labels))
        if histogram is None:
            return None
        return histogram.get_value_at_percentile(percent) / 1e6

    def render_text(self) -> str:
        """Return all series in the Prometheus text exposition format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"sapphirehoist_{name}{_format_labels(labels)} {value}")
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for percent in _PERCENTILES:
                quantile_labels = (*labels, ("quantile", f"{percent / 100:g}"))
                seconds = histogram.get_value_at_percentile(percent) / 1e6
                lines.append(
                    f"sapphirehoist_{name}{_format_labels(quantile_labels)} "
                    f"{seconds:.6f}"
                )
            sample_count = histogram.get_total_count()
            lines.append(
                f"sapphirehoist_{name}_count{_format_labels(labels)} {sample_count}"
            )
        return "\n".join(lines) + "\n"


def _series_key(name: str, labels: dict[str, str]) -> SeriesKey:
    return name, tuple(sorted(labels.items()))


def _format_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
