"""Attainment by class and cost by stage, as the users measure them."""

from __future__ import annotations

import msgspec


class ClassStats(msgspec.Struct):
    """Ends of the requests of one class.

    Attributes
    ----------
    admitted, met, refused : int
        Requests taken, those that met their target, and those refused.
    """

    admitted: int = 0
    met: int = 0
    refused: int = 0


class StageStats(msgspec.Struct):
    """Cost of one stage.

    Attributes
    ----------
    calls, retries : int
        Attempts, and those of them that repeat a failed one.
    busy_s : float
        Seconds for which endpoints held calls.
    tokens, bytes_out : int
        Tokens and bytes of output.
    cross_region_bytes : int
        Bytes of input and output that passed between regions.
    """

    calls: int = 0
    retries: int = 0
    busy_s: float = 0.0
    tokens: int = 0
    bytes_out: int = 0
    cross_region_bytes: int = 0


class Accounts(msgspec.Struct):
    """Accounts of one node; those of several nodes can be added."""

    classes: dict[str, ClassStats] = msgspec.field(default_factory=dict)
    stages: dict[str, StageStats] = msgspec.field(default_factory=dict)

    def class_stats(self, name: str) -> ClassStats:
        """Return the account of a class."""
        return self.classes.setdefault(name, ClassStats())

    def stage_stats(self, name: str) -> StageStats:
        """Return the account of a stage."""
        return self.stages.setdefault(name, StageStats())

    def add(self, other: Accounts) -> None:
        """Add the accounts of another node."""
        for name, node_stats in other.classes.items():
            add_counters(self.class_stats(name), node_stats)
        for name, stage in other.stages.items():
            add_counters(self.stage_stats(name), stage)


def add_counters(total: msgspec.Struct, added: msgspec.Struct) -> None:
    for name in total.__struct_fields__:
        setattr(total, name, getattr(total, name) + getattr(added, name))
