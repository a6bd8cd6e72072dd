"""Era of the store, by which its restores from a copy are noticed."""

from __future__ import annotations

import logging
from collections.abc import Callable

# Revisions of one era are below this number.
_REVISIONS_PER_ERA = 2**40

_logger = logging.getLogger(__name__)


def compose_revision(era: int, version: int) -> int:
    """Return the revision of version `version` of the store in `era`.

    The store gives versions out again after a restore from a copy; revisions of
    different eras are never equal. Version 0, of an absent row, is revision 0.

    Examples
    --------
    >>> revision_era(compose_revision(3, 7))
    3
    >>> compose_revision(3, 0)
    0
    """
    return era * _REVISIONS_PER_ERA + version if version else 0


def revision_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _REVISIONS_PER_ERA


def revision_version(revision: int) -> int:
    """Return the store's version of a revision."""
    return revision % _REVISIONS_PER_ERA


class StoreEra:
    """Latest era that the store has reported in its responses.

    The store starts a new era when it is restored from a copy. Writes that it had
    acknowledged after the copy was made are lost, and revisions that it had given out
    since then are given out again, so revisions are comparable within one era only.

    Attributes
    ----------
    value : int or None
        Latest era; None until the store has reported one.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.on_restore(lambda new_era: print("restored in era", new_era))
    >>> era.observe(4), era.observe(5), era.observe(4)
    restored in era 5
    (True, True, False)
    """

    __slots__ = ("_listeners", "value")

    def __init__(self) -> None:
        self.value: int | None = None
        self._listeners: list[Callable[[int], None]] = []

    def on_restore(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with the new era after each restore of the store."""
        self._listeners.append(listener)

    def observe(self, era: int | None) -> bool:
        """Record the era of a response; return whether the response is current.

        A response of an earlier era may arrive after the restore. It is not current,
        because the state that it describes may be lost. A response without an era
        counts as current.
        """
        if era is None or era == self.value:
            return True
        if self.value is None:
            self.value = era
            return True
        if era < self.value:
            return False
        previous, self.value = self.value, era
        _logger.warning(
            "store was restored from a copy", extra={"era": era, "previous": previous}
        )
        for listener in self._listeners:
            listener(era)
        return True
