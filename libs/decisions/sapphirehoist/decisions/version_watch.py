"""Finds out after the fact which software version began a stream.

It is designed for a load in which engines crash again and again while streams go on. A
stream may begin at an engine that has just started again, before its new entry is read.
Its version is not certain then, but the reads that follow tell it, also if the engine
has crashed once more by that time.
"""

from __future__ import annotations

from dataclasses import dataclass

# An engine that starts accepts connections and writes its entry within this time.
_ENTRY_DELAY_S = 0.3
# A process that has not stated another start by then is the one of the known entry.
# Engines write their entries every 1 to 2 s.
_UNCHANGED_ENTRY_DELAY_S = 2.5
# An engine may come and go unseen in a longer time between two reads.
_MAX_READ_GAP_S = 2.5
# Longer than engines are away, in which a stated version may matter.
_STATEMENT_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class _Statement:
    """An incarnation of an endpoint, as an entry has stated it.

    Attributes
    ----------
    at : float
        Monotonic time at which the entry was applied.
    software_version : str
        Version of its software.
    """

    at: float
    software_version: str


class VersionWatch:
    """One stream that began at an endpoint which may have started again.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    base_version : str
        Version that the endpoint had by the entry that was known when it was chosen.
    lost_at : float
        Monotonic time of the last loss at the endpoint; it may have started since.
    connected_at : float
        Monotonic time at which the stream's connection was opened.
    entries_read_at : float or None
        Monotonic time at which the entries had last been read when the stream began.

    Attributes
    ----------
    software_version : str or None
        The version that began the stream, once it is certain.
    is_decided : bool
        Whether nothing more is to be learned.
    """

    __slots__ = (
        "_base_version",
        "_connected_at",
        "_entries_read_at",
        "_has_ended",
        "_heard_at",
        "_lost_at",
        "_proof_if_heard",
        "endpoint",
        "is_decided",
        "software_version",
    )

    def __init__(
        self,
        endpoint: str,
        base_version: str,
        lost_at: float,
        connected_at: float,
        entries_read_at: float | None,
    ) -> None:
        self.endpoint = endpoint
        self._base_version = base_version
        self._lost_at = lost_at
        self._connected_at = connected_at
        self._entries_read_at = entries_read_at
        self._heard_at = connected_at
        self._has_ended = False
        # End of a read that showed the process's own entry, if it still ran, and the
        # version in the entry.
        self._proof_if_heard: tuple[float, str] | None = None
        self.software_version: str | None = None
        self.is_decided = False

    def record_event(self, now: float) -> None:
        """Record that the endpoint has sent a part of the stream."""
        self._heard_at = now
        if self.is_decided or self._proof_if_heard is None:
            return
        read_ended_at, software_version = self._proof_if_heard
        if now > read_ended_at:
            self._decide(software_version)

    def end(self) -> None:
        """Record that the endpoint sends no more of the stream."""
        self._has_ended = True
        if self._proof_if_heard is not None and not self.is_decided:
            self._decide(None)

    def give_up(self) -> None:
        """Leave the version uncertain for good."""
        if not self.is_decided:
            self._decide(None)

    def apply_read(
        self, began_at: float, ended_at: float, statements: list[_Statement]
    ) -> None:
        """Learn from a read of the entries.

        Parameters
        ----------
        began_at, ended_at : float
            Monotonic times between which the store has answered.
        statements : list of _Statement
            Incarnations of the endpoint that were stated lately, the oldest first.
        """
        if self.is_decided or self._proof_if_heard is not None:
            return
        recent = [s.software_version for s in statements if s.at > self._lost_at]
        delay_s = _ENTRY_DELAY_S if recent else _UNCHANGED_ENTRY_DELAY_S
        if began_at < self._connected_at + delay_s:
            return
        is_gapless = (
            self._entries_read_at is not None
            and ended_at - self._entries_read_at <= _MAX_READ_GAP_S
        )
        if recent and is_gapless and set(recent) == {self._base_version}:
            # Whichever of these processes it was, it had this version.
            self._decide(self._base_version)
        elif self._has_ended:
            self._decide(None)
        else:
            latest = recent[-1] if recent else self._base_version
            self._proof_if_heard = ended_at, latest

    def _decide(self, software_version: str | None) -> None:
        self.software_version = software_version
        self.is_decided = True


class VersionWatches:
    """Watches of all streams whose version is not certain yet.

    Examples
    --------
    An engine crashes, comes back with its version, and crashes again:

    >>> watches = VersionWatches()
    >>> watches.apply_read(0.0, 0.1)
    >>> watch = watches.begin("e-1", "v1", lost_at=0.2, connected_at=0.5)
    >>> watch.end()
    >>> watches.apply_entry("e-1", "v1", at=0.6)
    >>> watches.apply_read(0.55, 0.6)
    >>> watch.is_decided
    False
    >>> watches.apply_read(1.0, 1.1)
    >>> watch.software_version
    'v1'

    Another one comes back with an unknown version; it is the one that the entry states
    if the stream goes on after the read:

    >>> watch = watches.begin("e-2", "v1", lost_at=1.2, connected_at=1.5)
    >>> watches.apply_entry("e-2", "v2", at=1.9)
    >>> watches.apply_read(1.85, 1.9)
    >>> watch.is_decided
    False
    >>> watch.record_event(2.0)
    >>> watch.software_version
    'v2'
    """

    __slots__ = ("_last_read_ended_at", "_statements", "_watches")

    def __init__(self) -> None:
        self._watches: list[VersionWatch] = []
        self._statements: dict[str, list[_Statement]] = {}
        self._last_read_ended_at: float | None = None

    def begin(
        self, endpoint: str, base_version: str, lost_at: float, connected_at: float
    ) -> VersionWatch:
        """Watch a stream that has begun; see `VersionWatch` for the parameters."""
        watch = VersionWatch(
            endpoint, base_version, lost_at, connected_at, self._last_read_ended_at
        )
        self._watches.append(watch)
        return watch

    def apply_entry(self, endpoint: str, software_version: str, at: float) -> None:
        """Record that an entry has stated another incarnation, before its read ends."""
        statement = _Statement(at, software_version)
        self._statements.setdefault(endpoint, []).append(statement)

    def apply_read(self, began_at: float, ended_at: float) -> None:
        """Learn from a read whose entries were all applied.

        Parameters
        ----------
        began_at, ended_at : float
            Monotonic times between which the store has answered.
        """
        self._last_read_ended_at = ended_at
        self._forget_statements(ended_at - _STATEMENT_RETENTION_S)
        for watch in self._watches:
            watch.apply_read(
                began_at, ended_at, self._statements.get(watch.endpoint, [])
            )
        self._watches = [watch for watch in self._watches if not watch.is_decided]

    def _forget_statements(self, before: float) -> None:
        self._statements = {
            endpoint: kept
            for endpoint, statements in self._statements.items()
            if (kept := [s for s in statements if s.at > before])
        }
