"""Interfaces to the platform's table service, object store and VM list.

Each row of the table has a revision, which is 0 while the row is absent and increases
with every write. Transactions are atomic: all writes take effect if every condition
holds, and none otherwise.

The table may be restored from a copy that is some seconds old. Only then does it lose
writes that it has acknowledged. It begins a new era, and no condition on a revision of
an earlier era holds afterwards.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TypeAlias

import msgspec

from sapphirehoist.storage.era import StoreEra


class Row(msgspec.Struct, frozen=True):
    """A row of the table: its key, its value and its revision."""

    key: str
    value: bytes
    revision: int


class Condition(msgspec.Struct, frozen=True):
    """Requires that row `key` has `revision`; revision 0 requires that it is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """Sets row `key` to `value`, or deletes the row if `value` is None."""

    key: str
    value: bytes | None


class Committed(msgspec.Struct, frozen=True, tag=True):
    """The transaction was applied; `revision` is the new revision of its rows."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """A condition failed and nothing was written.

    Attributes
    ----------
    rows : list of Row
        Current rows whose condition failed. An absent row has revision 0 and an empty
        value.
    """

    rows: list[Row]


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """The service did not process the request: nothing was read or written."""

    detail: str


class Undecided(msgspec.Struct, frozen=True, tag=True):
    """The response was lost or unusable: the write may or may not have been applied."""

    detail: str


class Rows(msgspec.Struct, frozen=True, tag=True):
    """Rows from one consistent read, ordered by key."""

    rows: list[Row]


class VmState(msgspec.Struct, frozen=True):
    """State of one VM as reported by the platform.

    Attributes
    ----------
    vm : str
        Name of the VM; an endpoint's VM has the endpoint's name.
    is_leaving : bool
        Whether the platform is removing the VM.
    incarnation : int
        Number of the VM instance that has this name; 0 if the platform reports none.
    """

    vm: str
    is_leaving: bool = False
    incarnation: int = 0


class VmStates(msgspec.Struct, frozen=True, tag=True):
    """The platform's VM list, which lags behind the actual state."""

    vms: list[VmState]


TransactOutcome: TypeAlias = Committed | Conflict | Unavailable | Undecided


class TableService(ABC):
    """The platform's transactional table."""

    @property
    @abstractmethod
    def era(self) -> StoreEra:
        """Return the latest era that the responses have reported."""

    @abstractmethod
    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Return all rows whose key starts with `prefix`."""

    @abstractmethod
    def read(self, keys: list[str]) -> Rows | Unavailable:
        """Return the existing rows among `keys`, in one consistent read."""

    @abstractmethod
    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` atomically if every condition holds."""


class ObjectStore(ABC):
    """The platform's store of large values."""

    @abstractmethod
    def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object stored under `key`, or None if there is none."""

    @abstractmethod
    def put(self, key: str, value: bytes) -> Committed | Unavailable | Undecided:
        """Store the object under `key`.

        Objects have no revisions: the revision of a `Committed` result is 0.
        """

    @abstractmethod
    def delete(self, key: str) -> bool:
        """Delete the object; return whether it is known to be absent afterwards."""


class VmList(ABC):
    """The platform's list of VMs, which lags behind the actual state."""

    @abstractmethod
    def read_vms(self) -> VmStates | Unavailable:
        """Return the platform's current list."""
