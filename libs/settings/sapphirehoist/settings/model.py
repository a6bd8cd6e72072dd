"""Schema of the daemon's settings."""

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
Megabytes = Annotated[float, msgspec.Meta(gt=0, le=10_000_000)]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bind address of an HTTP interface and the URL at which it is reachable.

    Attributes
    ----------
    host : str
        Host name or IP address to bind.
    port : int
        TCP port to bind.
    url : str
        Base URL that clients use.
    """

    host: str
    port: Port
    url: Url


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """TLS certificate of the HTTP interfaces.

    Attributes
    ----------
    certificate, key : str
        Paths of PEM files with the certificate chain and the private key.
    """

    certificate: str
    key: str


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the interface between daemons.

    Attributes
    ----------
    listen : str
        Address to bind.
    advertise : str
        Address that other daemons connect to.
    public_key, secret_key : str
        The fleet's CURVE key pair in Z85 encoding.
    seeds : list of str
        Addresses of peers to contact at start-up if the table is unavailable.
    """

    listen: PeerAddress
    advertise: PeerAddress
    public_key: CurveKey
    secret_key: CurveKey
    seeds: list[PeerAddress] = []


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base URLs of the platform's table service, object store and VM list."""

    table: Url
    objects: Url
    vms: Url


class OperatorCredentials(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Credentials of an operator.

    Attributes
    ----------
    name : str
        Name of the operator.
    token_sha256 : str
        SHA-256 of the operator's bearer token, in hexadecimal.
    """

    name: Name
    token_sha256: Sha256


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decision policies; values other than the defaults are meant for benchmarks."""

    routing: Literal["sapphirehoist", "random", "round_robin", "least_in_flight"] = (
        "sapphirehoist"
    )
    admission: Literal["sapphirehoist", "none"] = "sapphirehoist"
    retry: Literal["sapphirehoist", "unlimited"] = "sapphirehoist"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon, read at start-up.

    Attributes
    ----------
    vm, region, zone : str
        Name, region and availability zone of this VM.
    callers, operators_listen : ListenSettings
        HTTP interfaces for callers and for operators.
    peers : PeerSettings
        Interface between daemons.
    platform : PlatformSettings
        Base URLs of the platform's services.
    operators : list of OperatorCredentials
        Operators who may use the operators' interface.
    resume_secret : str
        Signing key of resume tokens; must be the same on every VM.
    entries_ttl_s : float
        Time for which callers may cache the list of entry URLs, in seconds.
    max_body_bytes : int
        Maximum size of a request body in bytes.
    memory_mb : float
        Memory of the VM in MB. Requests may hold half of what is left beside 64 MB.
    max_deadline_s : float
        Longest deadline that a caller may request, in seconds.
    tls : TlsSettings or None
        TLS certificate of both HTTP interfaces; None disables TLS.
    policies : PolicySettings
        Decision policies.
    """

    vm: Name
    region: Name
    zone: Name
    callers: ListenSettings
    operators_listen: ListenSettings
    peers: PeerSettings
    platform: PlatformSettings
    operators: list[OperatorCredentials]
    resume_secret: Secret
    entries_ttl_s: Seconds = 5.0
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 1_048_576
    memory_mb: Megabytes = 160.0
    max_deadline_s: Seconds = 60.0
    tls: TlsSettings | None = None
    policies: PolicySettings = PolicySettings()
