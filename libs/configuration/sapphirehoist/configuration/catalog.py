"""The configuration objects of one version, indexed for lookup and validated."""

from __future__ import annotations

from collections.abc import Iterable

from sapphirehoist.configuration.change import Change, ObjectKey, Snapshot, object_key
from sapphirehoist.configuration.model import (
    ClassOfWork,
    ConfigObject,
    Endpoint,
    Pipeline,
    Team,
)


class Catalog:
    """Immutable set of the configuration objects of one version.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 is the empty configuration.
    objects : iterable of ConfigObject
        The configuration objects.

    Examples
    --------
    >>> Catalog(0, []).validation_errors()
    []
    """

    __slots__ = ("_endpoints_by_pool", "_objects", "_teams_by_token", "version")

    def __init__(self, version: int, objects: Iterable[ConfigObject]) -> None:
        self.version = version
        self._objects = {object_key(obj): obj for obj in objects}
        self._teams_by_token = {t.token_sha256: t for t in self.teams()}
        self._endpoints_by_pool: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints():
            self._endpoints_by_pool.setdefault(endpoint.pool, []).append(endpoint)

    def with_change(self, change: Change) -> Catalog:
        """Return the catalog that results from `change`."""
        objects = dict(self._objects)
        for key in change.deletes:
            objects.pop(key, None)
        for obj in change.puts:
            objects[object_key(obj)] = obj
        return Catalog(change.version, objects.values())

    def snapshot(self) -> Snapshot:
        """Return all objects for transfer to another node."""
        return Snapshot(self.version, list(self._objects.values()))

    def get(self, key: ObjectKey) -> ConfigObject | None:
        """Return the object with this key, or None."""
        return self._objects.get(key)

    def objects(self) -> list[ConfigObject]:
        """Return all objects, ordered by kind and name."""
        return [self._objects[key] for key in sorted(self._objects)]

    def class_of_work(self, name: str) -> ClassOfWork | None:
        """Return the class of work with this name, or None."""
        obj = self._objects.get(ObjectKey("class_of_work", name))
        return obj if isinstance(obj, ClassOfWork) else None

    def pipeline(self, name: str) -> Pipeline | None:
        """Return the pipeline with this name, or None."""
        obj = self._objects.get(ObjectKey("pipeline", name))
        return obj if isinstance(obj, Pipeline) else None

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name, or None."""
        obj = self._objects.get(ObjectKey("endpoint", name))
        return obj if isinstance(obj, Endpoint) else None

    def team_by_token(self, token_sha256: str) -> Team | None:
        """Return the team whose bearer token has this SHA-256, or None."""
        return self._teams_by_token.get(token_sha256)

    def pool_endpoints(self, name: str) -> list[Endpoint]:
        """Return the endpoints of the pool with this name."""
        return self._endpoints_by_pool.get(name, [])

    def teams(self) -> list[Team]:
        """Return all teams."""
        return [obj for obj in self._objects.values() if isinstance(obj, Team)]

    def endpoints(self) -> list[Endpoint]:
        """Return all endpoints."""
        return [obj for obj in self._objects.values() if isinstance(obj, Endpoint)]

    def classes_of_work(self) -> list[ClassOfWork]:
        """Return all classes of work."""
        return [obj for obj in self._objects.values() if isinstance(obj, ClassOfWork)]

    def validation_errors(self) -> list[str]:
        """Return the validation errors, each with the type of object and the field.

        Reports unknown pipelines, duplicate tokens, and streaming stages that are not
        the last of their pipeline.
        """
        errors = []
        for obj in self._objects.values():
            if isinstance(obj, ClassOfWork):
                errors += self._class_of_work_errors(obj)
            elif isinstance(obj, Pipeline):
                errors += _pipeline_errors(obj)
        tokens = [team.token_sha256 for team in self.teams()]
        if len(tokens) != len(set(tokens)):
            errors.append("team.token_sha256: two teams have the same token")
        return errors

    def _class_of_work_errors(self, obj: ClassOfWork) -> list[str]:
        if self.pipeline(obj.pipeline) is not None:
            return []
        pipeline_names = sorted(k.name for k in self._objects if k.kind == "pipeline")
        allowed = ", ".join(pipeline_names) or "none is configured"
        return [
            f"class_of_work {obj.name}: pipeline: {obj.pipeline!r} is unknown; "
            f"allowed: {allowed}"
        ]


def _pipeline_errors(pipeline: Pipeline) -> list[str]:
    return [
        f"pipeline {pipeline.name}: stages: {stage.name!r} streams; "
        "allowed: only the last stage"
        for stage in pipeline.stages[:-1]
        if stage.streams
    ]
