"""Runs a request through the stages of its pipeline under one deadline."""

from __future__ import annotations

from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import PipelineRequest
from sapphirehoist.pipeline.resume import ResumeSigner, ResumeToken
from sapphirehoist.pipeline.runner import PipelineRunner
from sapphirehoist.pipeline.stages import StageResult, StageRunner
from sapphirehoist.pipeline.stats import ClassRequestCounts, PipelineStats, StageStats
from sapphirehoist.pipeline.streams import (
    OpenedStream,
    StreamBlock,
    StreamEnd,
    StreamRunner,
)

__all__ = [
    "ClassRequestCounts",
    "EndpointPools",
    "OpenedStream",
    "PipelineRequest",
    "PipelineRunner",
    "PipelineStats",
    "ResumeSigner",
    "ResumeToken",
    "StageResult",
    "StageRunner",
    "StageStats",
    "StreamBlock",
    "StreamEnd",
    "StreamRunner",
]
