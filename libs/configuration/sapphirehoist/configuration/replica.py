"""The configuration in force on this node; its version never decreases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sapphirehoist.configuration.catalog import Catalog
from sapphirehoist.configuration.change import Change, Snapshot
from sapphirehoist.observability import Timeline

_RECENT_CHANGES = 256


class ConfigReplica:
    """Holds the configuration that is in force and the changes that led to it.

    Parameters
    ----------
    timeline : Timeline
        Takes an event for each version put in force.
    """

    __slots__ = ("_listeners", "_recent", "_timeline", "catalog")

    def __init__(self, timeline: Timeline) -> None:
        self.catalog = Catalog(0, [])
        self._timeline = timeline
        self._recent: deque[Change] = deque(maxlen=_RECENT_CHANGES)
        self._listeners: list[Callable[[Catalog], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.catalog.version

    def on_change(self, listener: Callable[[Catalog], None]) -> None:
        """Call `listener` whenever a newer catalog is in force."""
        self._listeners.append(listener)

    def apply_change(self, change: Change) -> bool:
        """Put the next version in force; return whether `change` was the next one."""
        if change.version != self.version + 1:
            return False
        self._recent.append(change)
        self._put_in_force(self.catalog.with_change(change))
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Put a whole configuration in force if it is newer."""
        if snapshot.version <= self.version:
            return False
        self._recent.clear()
        self._put_in_force(Catalog(snapshot.version, snapshot.objects))
        return True

    def changes_since(self, version: int) -> list[Change] | None:
        """Return the changes after `version`, or None where they are not all kept."""
        changes = [change for change in self._recent if change.version > version]
        return changes if len(changes) == self.version - version else None

    def _put_in_force(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._timeline.record("config_in_force", str(catalog.version))
        for listener in self._listeners:
            listener(catalog)
