"""What operators configure: classes of work, pipelines, teams and endpoints."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, TypeAlias

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+$")]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EndpointKind(StrEnum):
    """What stands behind an endpoint."""

    ENGINE = "engine"
    POOL = "pool"
    SERVICE = "service"


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One step of a pipeline.

    Attributes
    ----------
    name : str
        Name of the call that endpoints serve, such as ``rerank``.
    pool : str
        Endpoints with this pool name serve the stage.
    streams : bool
        Whether the stage generates tokens; only the last one may.
    """

    name: Name
    pool: Name
    streams: bool = False


class ClassOfWork(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="class_of_work"
):
    """A class of work and its end-to-end target.

    Attributes
    ----------
    name, pipeline : str
        Its name and the pipeline that serves it.
    target_ms : int
        End-to-end target; the answer to `attainment` of all requests is complete
        within it.
    attainment : float
        Share of requests that are to meet the target.
    """

    name: Name
    pipeline: Name
    target_ms: Milliseconds
    attainment: Share = 0.95


class Pipeline(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="pipeline"):
    """Stages that one request passes in order."""

    name: Name
    stages: Annotated[list[Stage], msgspec.Meta(min_length=1, max_length=16)]


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="team"):
    """A team of callers: the hash of its bearer token and its part of the fleet.

    Attributes
    ----------
    name : str
        Its name.
    token_sha256 : str
        SHA-256 of the bearer token, in hexadecimal.
    entitlement : float
        Part of the fleet that its contract pays for, relative to the other teams.
    """

    name: Name
    token_sha256: Sha256
    entitlement: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="endpoint"):
    """A back end.

    Attributes
    ----------
    name : str
        Its name.
    url : str
        Base URL.
    kind : EndpointKind
        Engine, pool of encoders, retrievers or rerankers, or plain service.
    pool : str
        Stages with this pool name may use it.
    region, zone : str
        Its place.
    capacity : int
        Calls that it runs at once without queueing.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    idempotent_calls : list of str
        Names of the stages that may be repeated.
    """

    name: Name
    url: Url
    kind: EndpointKind
    pool: Name
    region: Name
    zone: Name
    capacity: Annotated[int, msgspec.Meta(ge=1)] = 8
    checks_fencing: bool = False
    idempotent_calls: list[Name] = []


ConfigObject: TypeAlias = ClassOfWork | Pipeline | Team | Endpoint
