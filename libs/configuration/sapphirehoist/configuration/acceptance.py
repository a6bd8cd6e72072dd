"""Whether a committed version is in force on every member of the roster."""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.membership import Member


@dataclass(frozen=True, slots=True)
class Acceptance:
    """State of one committed version.

    Attributes
    ----------
    version : int
        The version.
    missing : tuple of str
        VMs of the roster that have not reported it in force.
    """

    version: int
    missing: tuple[str, ...]

    @property
    def is_accepted(self) -> bool:
        """Return whether every member of the roster has it in force."""
        return not self.missing


class AcceptanceTracker:
    """Collects reports of versions in force.

    Examples
    --------
    >>> tracker = AcceptanceTracker()
    >>> member = Member("vm-1", 7, "vest", "a", "", "")
    >>> tracker.check(3, [member]).missing
    ('vm-1',)
    >>> tracker.report("vm-1", 7, 3)
    >>> tracker.check(3, [member]).is_accepted
    True
    """

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        self._reported: dict[tuple[str, int], int] = {}

    def report(self, vm: str, incarnation: int, version: int) -> None:
        """Take a report; an older one changes nothing."""
        key = (vm, incarnation)
        self._reported[key] = max(version, self._reported.get(key, 0))

    def check(self, version: int, roster: list[Member]) -> Acceptance:
        """Return which members of `roster` have not reported `version`."""
        missing = [
            member.vm
            for member in roster
            if self._reported.get((member.vm, member.incarnation), 0) < version
        ]
        return Acceptance(version, tuple(sorted(missing)))

    def forget_absent(self, roster: list[Member]) -> None:
        """Drop the reports of members that left the roster."""
        present = {(member.vm, member.incarnation) for member in roster}
        self._reported = {k: v for k, v in self._reported.items() if k in present}
