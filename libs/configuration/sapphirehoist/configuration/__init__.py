"""Versioned configuration: committed in the table and replicated among members."""

from __future__ import annotations

from sapphirehoist.configuration.acceptance import Acceptance, AcceptanceTracker
from sapphirehoist.configuration.catalog import Catalog
from sapphirehoist.configuration.change import (
    Change,
    ChangeRequest,
    ObjectKey,
    Snapshot,
)
from sapphirehoist.configuration.model import (
    ClassOfWork,
    ConfigObject,
    Endpoint,
    EndpointKind,
    Pipeline,
    Stage,
    Team,
)
from sapphirehoist.configuration.replica import ConfigReplica
from sapphirehoist.configuration.replicator import ConfigReplicator
from sapphirehoist.configuration.store import (
    ChangeCommitted,
    ChangeConflict,
    ChangeInvalid,
    ChangeUndecided,
    ConfigStore,
)

__all__ = [
    "Acceptance",
    "AcceptanceTracker",
    "Catalog",
    "Change",
    "ChangeCommitted",
    "ChangeConflict",
    "ChangeInvalid",
    "ChangeRequest",
    "ChangeUndecided",
    "ClassOfWork",
    "ConfigObject",
    "ConfigReplica",
    "ConfigReplicator",
    "ConfigStore",
    "Endpoint",
    "EndpointKind",
    "ObjectKey",
    "Pipeline",
    "Snapshot",
    "Stage",
    "Team",
]
