"""All configuration objects as of one version, checked for their references."""

from __future__ import annotations

from collections.abc import Iterable

from sapphirehoist.configuration.change import Change, ObjectName, Snapshot, name_of
from sapphirehoist.configuration.model import (
    ClassOfWork,
    ConfigObject,
    Endpoint,
    Pipeline,
    Team,
)


class Catalog:
    """Immutable set of configuration objects.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 is empty.
    objects : iterable of ConfigObject
        Its objects.

    Examples
    --------
    >>> Catalog(0, []).faults()
    []
    """

    __slots__ = ("_objects", "_pools", "_teams_by_token", "version")

    def __init__(self, version: int, objects: Iterable[ConfigObject]) -> None:
        self.version = version
        self._objects = {name_of(obj): obj for obj in objects}
        self._teams_by_token = {t.token_sha256: t for t in self.teams()}
        self._pools: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints():
            self._pools.setdefault(endpoint.pool, []).append(endpoint)

    def with_change(self, change: Change) -> Catalog:
        """Return the catalog after `change`."""
        objects = dict(self._objects)
        for name in change.deletes:
            objects.pop(name, None)
        for obj in change.puts:
            objects[name_of(obj)] = obj
        return Catalog(change.version, objects.values())

    def snapshot(self) -> Snapshot:
        """Return all objects for transfer to another node."""
        return Snapshot(self.version, list(self._objects.values()))

    def get(self, name: ObjectName) -> ConfigObject | None:
        """Return an object by its name."""
        return self._objects.get(name)

    def objects(self) -> list[ConfigObject]:
        """Return all objects, ordered by kind and name."""
        return [self._objects[name] for name in sorted(self._objects)]

    def class_of_work(self, name: str) -> ClassOfWork | None:
        """Return a class of work."""
        obj = self._objects.get(ObjectName("class_of_work", name))
        return obj if isinstance(obj, ClassOfWork) else None

    def pipeline(self, name: str) -> Pipeline | None:
        """Return a pipeline."""
        obj = self._objects.get(ObjectName("pipeline", name))
        return obj if isinstance(obj, Pipeline) else None

    def endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint."""
        obj = self._objects.get(ObjectName("endpoint", name))
        return obj if isinstance(obj, Endpoint) else None

    def team_by_token(self, token_sha256: str) -> Team | None:
        """Return the team whose token has this hash."""
        return self._teams_by_token.get(token_sha256)

    def pool(self, name: str) -> list[Endpoint]:
        """Return the endpoints of a pool."""
        return self._pools.get(name, [])

    def teams(self) -> list[Team]:
        """Return all teams."""
        return [obj for obj in self._objects.values() if isinstance(obj, Team)]

    def endpoints(self) -> list[Endpoint]:
        """Return all endpoints."""
        return [obj for obj in self._objects.values() if isinstance(obj, Endpoint)]

    def classes_of_work(self) -> list[ClassOfWork]:
        """Return all classes of work."""
        return [obj for obj in self._objects.values() if isinstance(obj, ClassOfWork)]

    def faults(self) -> list[str]:
        """Return each broken reference and duplicate, naming field and value."""
        faults = []
        for obj in self._objects.values():
            if isinstance(obj, ClassOfWork):
                faults += self._class_faults(obj)
            elif isinstance(obj, Pipeline):
                faults += _pipeline_faults(obj)
        tokens = [team.token_sha256 for team in self.teams()]
        if len(tokens) != len(set(tokens)):
            faults.append("team.token_sha256: two teams have the same token")
        return faults

    def _class_faults(self, obj: ClassOfWork) -> list[str]:
        if self.pipeline(obj.pipeline) is not None:
            return []
        known = sorted(n.name for n in self._objects if n.kind == "pipeline")
        allowed = ", ".join(known) or "none is configured"
        return [
            f"class_of_work {obj.name}: pipeline: {obj.pipeline!r} is unknown; "
            f"allowed: {allowed}"
        ]


def _pipeline_faults(pipeline: Pipeline) -> list[str]:
    return [
        f"pipeline {pipeline.name}: stages: {stage.name!r} streams; "
        "allowed: only the last stage"
        for stage in pipeline.stages[:-1]
        if stage.streams
    ]
