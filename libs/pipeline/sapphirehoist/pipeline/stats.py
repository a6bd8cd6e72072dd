"""Request counts by class of work and resource use by stage."""

from __future__ import annotations

import msgspec


class ClassRequestCounts(msgspec.Struct):
    """Request counts of one class of work.

    Attributes
    ----------
    admitted, met, refused : int
        Requests admitted, admitted requests that met their latency target, and
        requests refused.
    """

    admitted: int = 0
    met: int = 0
    refused: int = 0


class StageStats(msgspec.Struct):
    """Resource use of one stage.

    Attributes
    ----------
    calls, retries : int
        Attempts, and attempts that follow a failed one.
    busy_s : float
        Total duration of the calls that returned output, in seconds.
    tokens, bytes_out : int
        Tokens and bytes of output.
    cross_region_bytes : int
        Bytes of input and output sent between regions.
    """

    calls: int = 0
    retries: int = 0
    busy_s: float = 0.0
    tokens: int = 0
    bytes_out: int = 0
    cross_region_bytes: int = 0


class PipelineStats(msgspec.Struct):
    """Statistics of one node, which can be summed over nodes."""

    classes: dict[str, ClassRequestCounts] = msgspec.field(default_factory=dict)
    stages: dict[str, StageStats] = msgspec.field(default_factory=dict)

    def class_request_counts(self, name: str) -> ClassRequestCounts:
        """Return the statistics of class of work `name`, created at first use."""
        return self.classes.setdefault(name, ClassRequestCounts())

    def stage_stats(self, name: str) -> StageStats:
        """Return the statistics of stage `name`, created at first use."""
        return self.stages.setdefault(name, StageStats())

    def merge(self, other: PipelineStats) -> None:
        """Add the statistics of another node to these."""
        for name, other_class_stats in other.classes.items():
            _add_counters(self.class_request_counts(name), other_class_stats)
        for name, other_stage_stats in other.stages.items():
            _add_counters(self.stage_stats(name), other_stage_stats)


def _add_counters(total: msgspec.Struct, added: msgspec.Struct) -> None:
    for name in total.__struct_fields__:
        setattr(total, name, getattr(total, name) + getattr(added, name))
