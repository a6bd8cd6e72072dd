"""Attainment by class and cost by stage, as the users measure them."""

from __future__ import annotations

import msgspec


class ClassAccount(msgspec.Struct):
    """Ends of the requests of one class.

    Attributes
    ----------
    admitted, met, refused : int
        Requests taken, those that met their target, and those refused.
    """

    admitted: int = 0
    met: int = 0
    refused: int = 0


class StageAccount(msgspec.Struct):
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

    classes: dict[str, ClassAccount] = msgspec.field(default_factory=dict)
    stages: dict[str, StageAccount] = msgspec.field(default_factory=dict)

    def of_class(self, name: str) -> ClassAccount:
        """Return the account of a class."""
        return self.classes.setdefault(name, ClassAccount())

    def of_stage(self, name: str) -> StageAccount:
        """Return the account of a stage."""
        return self.stages.setdefault(name, StageAccount())

    def add(self, other: Accounts) -> None:
        """Add the accounts of another node."""
        for name, theirs in other.classes.items():
            _add_fields(self.of_class(name), theirs)
        for name, stage in other.stages.items():
            _add_fields(self.of_stage(name), stage)


def _add_fields(mine: msgspec.Struct, theirs: msgspec.Struct) -> None:
    for name in mine.__struct_fields__:
        setattr(mine, name, getattr(mine, name) + getattr(theirs, name))
