"""Orders to an engine: which models, adapters and versions it is to have loaded."""

from __future__ import annotations

import msgspec


class ModelAssignment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is to be loaded, under a fencing number."""

    fencing: int
    models: list[str]
    role: str = "both"


class AssignmentState:
    """The last order that was taken.

    Parameters
    ----------
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self.current = ModelAssignment(0, [])
        self.rejected_count = 0

    def apply(self, assignment: ModelAssignment) -> bool:
        """Carry out `order`; return whether it was taken."""
        if self._checks_fencing and assignment.fencing < self.current.fencing:
            self.rejected_count += 1
            return False
        self.current = assignment
        return True
