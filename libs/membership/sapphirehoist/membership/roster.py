"""The roster: one row in the platform's table for each daemon that may serve requests.

A member is removed only by its own planned stop, or when the platform's VM list says
that its VM is gone. A configuration is accepted only once every member of the roster
has applied it.
"""

from __future__ import annotations

from dataclasses import dataclass

from sapphirehoist.membership.member import Member
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
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

_KEY_PREFIX = "roster/"


@dataclass(frozen=True, slots=True)
class Joined:
    """The roster contains this member."""


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
        rows = self._table.read_prefix(_KEY_PREFIX)
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
            Holds as long as this node has the newest version of the configuration.

        Returns
        -------
        Joined, Conflict, Unavailable or Undecided
            `Conflict` if the configuration or this member's row changed meanwhile.
        """
        key = _KEY_PREFIX + member.vm
        rows = self._table.read([key])
        if isinstance(rows, Unavailable):
            return rows
        row = _find_row(rows, key)
        if row is not None and row.value == encode_json(member):
            return Joined()
        row_condition = Condition(key, row.revision if row else 0)
        write = Write(key, encode_json(member))
        outcome = self._table.transact([condition, row_condition], [write])
        if isinstance(outcome, Committed):
            return Joined()
        return outcome

    def remove(self, member: Member) -> bool:
        """Remove this incarnation only; return whether it is known to be absent."""
        key = _KEY_PREFIX + member.vm
        rows = self._table.read([key])
        if isinstance(rows, Unavailable):
            return False
        row = _find_row(rows, key)
        if row is None:
            return True
        current = decode_json(row.value, Member)
        if isinstance(current, Member) and current.incarnation != member.incarnation:
            return True
        outcome = self._table.transact(
            [Condition(key, row.revision)], [Write(key, None)]
        )
        return isinstance(outcome, Committed)


def _find_row(rows: Rows, key: str) -> Row | None:
    return next((row for row in rows.rows if row.key == key), None)


def _decode_members(rows: list[Row]) -> list[Member]:
    members = [decode_json(row.value, Member) for row in rows]
    return [member for member in members if not isinstance(member, MalformedMessage)]
