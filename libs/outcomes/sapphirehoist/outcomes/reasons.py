"""Reasons of outcomes other than `Done`."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Reason of an outcome other than `Done`."""

    OVERLOADED = "overloaded"
    TEAM_LIMIT = "team_limit"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    INVALID = "invalid"
    UNAUTHORISED = "unauthorised"
    STOPPING = "stopping"
    NOT_CONFIGURED = "not_configured"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    CONNECTION_LOST = "connection_lost"
    IN_PROGRESS = "in_progress"
    CLAIM_EXPIRED = "claim_expired"
    CALLER_GONE = "caller_gone"
