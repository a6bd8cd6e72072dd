"""Requested and committed changes of the configuration, and snapshots of it."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from sapphirehoist.configuration.model import ConfigObject, Name


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a configuration object by the tag of its type and its name."""

    kind: str
    name: Name


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change requested by an operator.

    Attributes
    ----------
    change_id : str
        Unique id, used to determine whether the change was committed if the response
        is lost.
    expected_version : int
        Version that the change is based on. The change conflicts unless this is
        the latest one.
    puts : list of ConfigObject
        Objects to create or replace.
    deletes : list of ObjectKey
        Objects to delete.
    """

    change_id: Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
    expected_version: Annotated[int, msgspec.Meta(ge=0)]
    puts: list[ConfigObject] = []
    deletes: list[ObjectKey] = []


class Change(msgspec.Struct, frozen=True):
    """A committed change; versions are consecutive integers."""

    version: int
    change_id: str
    operator: str
    committed_at: str
    puts: list[ConfigObject] = []
    deletes: list[ObjectKey] = []


class Snapshot(msgspec.Struct, frozen=True):
    """All objects as of `version`."""

    version: int
    objects: list[ConfigObject]


def object_key(obj: ConfigObject) -> ObjectKey:
    """Return the key that identifies `obj`."""
    config: Any = type(obj).__struct_config__
    return ObjectKey(config.tag, obj.name)
