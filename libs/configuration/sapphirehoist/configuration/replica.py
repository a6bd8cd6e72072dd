"""The configuration in force on this node; its version never decreases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sapphirehoist.configuration.catalog import Catalog
from sapphirehoist.configuration.change import Change, Snapshot
from sapphirehoist.observability import Timeline

_MAX_RECENT_CHANGES = 256


class ConfigReplica:
    """Holds the configuration in force and the most recent changes.

    Parameters
    ----------
    timeline : Timeline
        Records an event for each applied version.
    """

    __slots__ = ("_listeners", "_recent_changes", "_timeline", "catalog")

    def __init__(self, timeline: Timeline) -> None:
        self.catalog = Catalog(0, [])
        self._timeline = timeline
        self._recent_changes: deque[Change] = deque(maxlen=_MAX_RECENT_CHANGES)
        self._listeners: list[Callable[[Catalog], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.catalog.version

    def on_change(self, listener: Callable[[Catalog], None]) -> None:
        """Register `listener`, which is called with each newly applied catalog."""
        self._listeners.append(listener)

    def apply_change(self, change: Change) -> bool:
        """Apply `change` if it is the next version; return whether it was applied."""
        if change.version != self.version + 1:
            return False
        self._recent_changes.append(change)
        self._apply_catalog(self.catalog.with_change(change))
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply `snapshot` if it is newer; return whether it was applied."""
        if snapshot.version <= self.version:
            return False
        self._recent_changes.clear()
        self._apply_catalog(Catalog(snapshot.version, snapshot.objects))
        return True

    def changes_since(self, version: int) -> list[Change] | None:
        """Return the changes after `version`, or None if some are not retained."""
        changes = [
            change for change in self._recent_changes if change.version > version
        ]
        return changes if len(changes) == self.version - version else None

    def _apply_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._timeline.record("config_in_force", str(catalog.version))
        for listener in self._listeners:
            listener(catalog)
