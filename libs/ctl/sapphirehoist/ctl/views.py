"""Response bodies of the operator API as this tool decodes them."""

from __future__ import annotations

import msgspec


class MemberView(msgspec.Struct, frozen=True):
    """One member of the fleet."""

    vm: str
    incarnation: int
    region: str
    status: str
    is_leaving: bool
    caller_url: str
    operator_url: str


class StatusView(msgspec.Struct, frozen=True):
    """Status of one daemon and its view of the fleet."""

    vm: str
    region: str
    config_version: int
    may_serve: bool
    under_way: int
    members: list[MemberView]
    leaving_endpoints: list[str]


class ChangeView(msgspec.Struct, frozen=True):
    """Result of a configuration change.

    Attributes
    ----------
    state : str
        ``accepted``, ``committed``, ``conflict``, ``invalid`` or ``undecided``.
    version : int
        Version of the change, or the latest version after a conflict.
    missing : list of str
        VMs that have not reported the version as in force.
    faults : list of str
        Validation errors of the change.
    detail : str
        Description of the cause for a human reader.
    """

    state: str
    version: int = 0
    missing: list[str] = []
    faults: list[str] = []
    detail: str = ""


class ClassRequestCountsView(msgspec.Struct):
    """Request counts of one class of work.

    Attributes
    ----------
    admitted, met, refused : int
        Requests admitted, admitted requests that met their target latency, and
        requests refused.
    """

    admitted: int = 0
    met: int = 0
    refused: int = 0


class StageStatsView(msgspec.Struct):
    """Resource use of one stage."""

    calls: int = 0
    retries: int = 0
    busy_s: float = 0.0
    tokens: int = 0
    bytes_out: int = 0
    cross_region_bytes: int = 0


class ReportView(msgspec.Struct):
    """Pipeline statistics of one daemon."""

    classes: dict[str, ClassRequestCountsView] = {}
    stages: dict[str, StageStatsView] = {}
