"""Typed settings of one daemon."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+$")]
PeerAddress = Annotated[str, msgspec.Meta(pattern=r"^tcp://[^\s/]+:\d+$")]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
CurveKey = Annotated[str, msgspec.Meta(min_length=40, max_length=40)]
Secret = Annotated[str, msgspec.Meta(min_length=32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on and the URL that others reach it at."""

    host: str
    port: Port
    url: Url


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate chain and private key, as paths of PEM files."""

    certificate: str
    key: str


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How daemons reach each other.

    Attributes
    ----------
    listen : str
        Address to bind.
    advertise : str
        Address that other daemons connect to.
    public_key, secret_key : str
        The fleet's CURVE key pair in Z85 encoding.
    seeds : list of str
        Peers to ask at start-up while the table is unavailable.
    """

    listen: PeerAddress
    advertise: PeerAddress
    public_key: CurveKey
    secret_key: CurveKey
    seeds: list[PeerAddress] = []


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base URLs of the platform's services."""

    table: Url
    objects: Url
    vms: Url


class OperatorKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator and the SHA-256 of the bearer token."""

    name: Name
    token_sha256: Sha256


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decision policies; anything but the defaults is for measurements."""

    routing: Literal["sapphirehoist", "random", "round_robin", "least_in_flight"] = (
        "sapphirehoist"
    )
    admission: Literal["sapphirehoist", "none"] = "sapphirehoist"
    retry: Literal["sapphirehoist", "unlimited"] = "sapphirehoist"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything a daemon learns at start-up.

    Attributes
    ----------
    vm, region, zone : str
        This VM's name and place.
    callers, operators_listen : Listen
        The two HTTP interfaces.
    peers : PeerSettings
        The interface between daemons.
    platform : PlatformSettings
        Where the platform's services are.
    operators : list of OperatorKey
        Who may change configuration.
    resume_secret : str
        Key of the signatures on resume tokens; the same on every VM.
    entries_ttl_s : float
        How long callers keep the answer to "which entry", in seconds.
    max_body_bytes : int
        Largest request body.
    max_deadline_s : float
        Longest deadline that a caller may ask for, in seconds.
    tls : Tls or None
        Certificate for both HTTP interfaces.
    """

    vm: Name
    region: Name
    zone: Name
    callers: Listen
    operators_listen: Listen
    peers: PeerSettings
    platform: PlatformSettings
    operators: list[OperatorKey]
    resume_secret: Secret
    entries_ttl_s: Seconds = 5.0
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 1_048_576
    max_deadline_s: Seconds = 60.0
    tls: Tls | None = None
    policies: Policies = Policies()
