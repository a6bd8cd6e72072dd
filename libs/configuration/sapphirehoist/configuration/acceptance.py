"""Tracks on which members of the roster a committed version is in force."""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.membership import Member


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Members of the roster on which a committed version is not known to be in force.

    Attributes
    ----------
    version : int
        The committed version.
    missing : tuple of str
        VMs on the roster that have not reported the version as in force.
    """

    version: int
    missing: tuple[str, ...]

    @property
    def is_accepted(self) -> bool:
        """Return whether the version is in force on every member of the roster."""
        return not self.missing


class AcceptanceTracker:
    """Collects the members' reports of versions in force.

    Examples
    --------
    >>> tracker = AcceptanceTracker()
    >>> member = Member("vm-1", 7, "vest", "a", "", "")
    >>> tracker.check(3, [member]).missing
    ('vm-1',)
    >>> tracker.record_report("vm-1", 7, 3)
    >>> tracker.check(3, [member]).is_accepted
    True
    """

    __slots__ = ("_reported_versions",)

    def __init__(self) -> None:
        self._reported_versions: dict[tuple[str, int], int] = {}

    def record_report(self, vm: str, incarnation: int, version: int) -> None:
        """Record a report; one with an older version is ignored."""
        key = (vm, incarnation)
        self._reported_versions[key] = max(version, self._reported_versions.get(key, 0))

    def check(self, version: int, roster: list[Member]) -> Acceptance:
        """Return which members of `roster` have not reported `version` as in force."""
        missing = [
            member.vm
            for member in roster
            if self._reported_versions.get((member.vm, member.incarnation), 0) < version
        ]
        return Acceptance(version, tuple(sorted(missing)))

    def discard_departed(self, roster: list[Member]) -> None:
        """Discard the reports of members that are no longer on the roster."""
        present = {(member.vm, member.incarnation) for member in roster}
        self._reported_versions = {
            k: v for k, v in self._reported_versions.items() if k in present
        }
