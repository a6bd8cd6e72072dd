"""Carries one request through its stages under one deadline."""

from __future__ import annotations

from sapphirehoist.pipeline.accounts import Accounts, ClassAccount, StageAccount
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import WorkRequest
from sapphirehoist.pipeline.resume import ResumeSigner, ResumeToken
from sapphirehoist.pipeline.runner import PipelineRunner
from sapphirehoist.pipeline.stages import StageDone, StageRunner
from sapphirehoist.pipeline.streams import (
    OpenedStream,
    StreamBlock,
    StreamEnd,
    StreamRunner,
)

__all__ = [
    "Accounts",
    "ClassAccount",
    "EndpointPools",
    "OpenedStream",
    "PipelineRunner",
    "ResumeSigner",
    "ResumeToken",
    "StageAccount",
    "StageDone",
    "StageRunner",
    "StreamBlock",
    "StreamEnd",
    "StreamRunner",
    "WorkRequest",
]
