"""Model assignments: which models an engine must load, and in which role."""

from __future__ import annotations

import msgspec


class ModelAssignment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Models to load and the role of the engine, with the fencing token."""

    fencing: int
    models: list[str]
    role: str = "both"


class AssignmentState:
    """The assignment in effect: the last one that was not rejected.

    Parameters
    ----------
    checks_fencing : bool
        Whether an assignment with an outdated fencing token is rejected.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self.current = ModelAssignment(0, [])
        self.rejected_count = 0

    def apply(self, assignment: ModelAssignment) -> bool:
        """Apply `assignment` unless its fencing token is outdated.

        Returns
        -------
        bool
            Whether the assignment is in effect.
        """
        if self._checks_fencing and assignment.fencing < self.current.fencing:
            self.rejected_count += 1
            return False
        self.current = assignment
        return True
