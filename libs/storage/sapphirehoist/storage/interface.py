"""Interfaces to what the platform gives.

A row has a revision, which is 0 while the row is absent and grows with every write.
A transaction commits only if every condition holds; it is decided as a whole.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TypeAlias

import msgspec


class Row(msgspec.Struct, frozen=True):
    """A row of the table: its key, its value and its revision."""

    key: str
    value: bytes
    revision: int


class Condition(msgspec.Struct, frozen=True):
    """Requires that row `key` has `revision`; 0 requires that it is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """Sets row `key` to `value`, or deletes it where `value` is None."""

    key: str
    value: bytes | None


class Committed(msgspec.Struct, frozen=True, tag=True):
    """The transaction took effect; `revision` is the new revision of its rows."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """Nothing was written; `rows` are the current rows whose condition failed.

    A row that is absent has revision 0 and an empty value.
    """

    rows: list[Row]


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """The service did not take the call: nothing was read or written."""

    detail: str


class Undecided(msgspec.Struct, frozen=True, tag=True):
    """The answer was lost: the transaction may or may not have taken effect."""

    detail: str


class Rows(msgspec.Struct, frozen=True, tag=True):
    """Rows read in one consistent read, ordered by key."""

    rows: list[Row]


class VmState(msgspec.Struct, frozen=True):
    """The platform's view of one VM.

    Attributes
    ----------
    vm : str
        Its name; an endpoint's VM has the endpoint's name.
    is_leaving : bool
        Whether the platform is taking it away.
    incarnation : int
        Number of the instance behind the name; 0 where the platform gives none.
    """

    vm: str
    is_leaving: bool = False
    incarnation: int = 0


class VmStates(msgspec.Struct, frozen=True, tag=True):
    """The platform's list; it lags behind the truth."""

    vms: list[VmState]


TransactOutcome: TypeAlias = Committed | Conflict | Unavailable | Undecided


class TableService(ABC):
    """The platform's transactional table."""

    @abstractmethod
    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Return all rows whose key starts with `prefix`."""

    @abstractmethod
    def read(self, keys: list[str]) -> Rows | Unavailable:
        """Return the rows of `keys` that are present, in one consistent read."""

    @abstractmethod
    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` if every condition holds."""


class ObjectStore(ABC):
    """The platform's store of large values."""

    @abstractmethod
    def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, or None where there is none."""

    @abstractmethod
    def put(self, key: str, value: bytes) -> Committed | Unavailable | Undecided:
        """Store the object under `key`."""

    @abstractmethod
    def delete(self, key: str) -> bool:
        """Delete the object; return whether it is known to be absent."""


class VmList(ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abstractmethod
    def read_vms(self) -> VmStates | Unavailable:
        """Return the list as the platform shows it now."""
