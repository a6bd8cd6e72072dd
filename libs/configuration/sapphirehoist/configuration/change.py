"""A committed change of configuration and an operator's request for one."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from sapphirehoist.configuration.model import ConfigObject, Name


class ObjectName(msgspec.Struct, frozen=True, order=True):
    """Names one object: the tag of its type and its name."""

    kind: str
    name: Name


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an operator asks for.

    Attributes
    ----------
    change_id : str
        Unique id by which a lost answer is settled.
    expected_version : int
        The version that the operator saw.
    puts : list of ConfigObject
        Objects to create or replace.
    deletes : list of ObjectName
        Objects to remove.
    """

    change_id: Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
    expected_version: Annotated[int, msgspec.Meta(ge=0)]
    puts: list[ConfigObject] = []
    deletes: list[ObjectName] = []


class Change(msgspec.Struct, frozen=True):
    """A committed change; versions are consecutive."""

    version: int
    change_id: str
    operator: str
    committed_at: str
    puts: list[ConfigObject] = []
    deletes: list[ObjectName] = []


class Snapshot(msgspec.Struct, frozen=True):
    """All objects as of `version`."""

    version: int
    objects: list[ConfigObject]


def name_of(obj: ConfigObject) -> ObjectName:
    """Return the name of `obj`."""
    config: Any = type(obj).__struct_config__
    return ObjectName(config.tag, obj.name)
