"""The roster: the table's record of every daemon that may serve.

A member leaves it only by its own planned stop, or when the platform's list says that
its VM is gone. Accepting a configuration waits for every member of the roster.
"""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.membership.member import Member
from sapphirehoist.messages import Malformed, decode_json, encode_json
from sapphirehoist.storage import (
    Committed,
    Condition,
    Conflict,
    Row,
    Rows,
    TableService,
    Unavailable,
    Undecided,
    Write,
)

_PREFIX = "roster/"


@dataclass(frozen=True, slots=True)
class Joined:
    """The roster names this member."""


class Roster:
    """Reads and writes the roster.

    Parameters
    ----------
    table : TableService
        The platform's table.
    """

    __slots__ = ("_table",)

    def __init__(self, table: TableService) -> None:
        self._table = table

    def read(self) -> list[Member] | Unavailable:
        """Return all members of the roster."""
        rows = self._table.read_prefix(_PREFIX)
        if isinstance(rows, Unavailable):
            return rows
        return _decode_members(rows.rows)

    def join(
        self, member: Member, condition: Condition
    ) -> Joined | Conflict | Unavailable | Undecided:
        """Add `member` in one transaction with a condition on the configuration.

        Parameters
        ----------
        member : Member
            This node.
        condition : Condition
            Holds only while the configuration's head is the one this node has.

        Returns
        -------
        Joined, Conflict, Unavailable or Undecided
            `Conflict` where the configuration's head or this member's row moved.
        """
        key = _PREFIX + member.vm
        rows = self._table.read([key])
        if isinstance(rows, Unavailable):
            return rows
        row = _find(rows, key)
        if row is not None and row.value == encode_json(member):
            return Joined()
        mine = Condition(key, row.revision if row else 0)
        write = Write(key, encode_json(member))
        outcome = self._table.transact([condition, mine], [write])
        if isinstance(outcome, Committed):
            return Joined()
        return outcome

    def remove(self, member: Member) -> bool:
        """Remove exactly this incarnation; return whether it is known to be absent."""
        key = _PREFIX + member.vm
        rows = self._table.read([key])
        if isinstance(rows, Unavailable):
            return False
        row = _find(rows, key)
        if row is None:
            return True
        found = decode_json(row.value, Member)
        if isinstance(found, Member) and found.incarnation != member.incarnation:
            return True
        outcome = self._table.transact(
            [Condition(key, row.revision)], [Write(key, None)]
        )
        return isinstance(outcome, Committed)


def _find(rows: Rows, key: str) -> Row | None:
    return next((row for row in rows.rows if row.key == key), None)


def _decode_members(rows: list[Row]) -> list[Member]:
    members = [decode_json(row.value, Member) for row in rows]
    return [member for member in members if not isinstance(member, Malformed)]
