"""Configuration objects: classes of work, pipelines, teams and endpoints."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, TypeAlias

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+$")]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EndpointKind(StrEnum):
    """Type of back end that an endpoint represents."""

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
        Name of the pool whose endpoints serve the stage.
    streams : bool
        Whether the stage streams generated tokens; allowed only for the last stage.
    """

    name: Name
    pool: Name
    streams: bool = False


class ClassOfWork(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="class_of_work"
):
    """A class of work and its end-to-end latency target.

    Attributes
    ----------
    name, pipeline : str
        Name of the class and of the pipeline that serves it.
    target_ms : int
        End-to-end latency target in milliseconds, up to the complete response.
    attainment : float
        Fraction of requests that should meet the latency target.
    """

    name: Name
    pipeline: Name
    target_ms: Milliseconds
    attainment: Fraction = 0.95


class Pipeline(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="pipeline"):
    """An ordered sequence of stages that process a request."""

    name: Name
    stages: Annotated[list[Stage], msgspec.Meta(min_length=1, max_length=16)]


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="team"):
    """A team of callers.

    Attributes
    ----------
    name : str
        Unique name.
    token_sha256 : str
        SHA-256 of the team's bearer token, in hexadecimal.
    entitlement : float
        Weight of the team's contractual share of the fleet's capacity, relative to
        the other teams.
    """

    name: Name
    token_sha256: Sha256
    entitlement: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="endpoint"):
    """A back end that serves the calls of stages.

    Attributes
    ----------
    name : str
        Unique name.
    url : str
        Base URL.
    kind : EndpointKind
        ``engine`` for a model engine, ``pool`` for a pool of encoders, retrievers or
        rerankers, and ``service`` for a plain service.
    pool : str
        Name of the pool; the endpoint serves the stages that use it.
    region, zone : str
        Region and availability zone of the endpoint.
    capacity : int
        Maximum number of concurrent calls that run without queueing.
    checks_fencing : bool
        Whether the endpoint rejects calls with an outdated fencing token.
    idempotent_calls : list of str
        Names of the stages whose calls may be retried.
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
