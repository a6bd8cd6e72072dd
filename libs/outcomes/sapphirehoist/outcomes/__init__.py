"""Outcomes of a request: done, not run, failed or unknown."""

from __future__ import annotations

from sapphirehoist.outcomes.outcome import Done, Failed, NotRun, Outcome, Unknown
from sapphirehoist.outcomes.reasons import Reason

__all__ = ["Done", "Failed", "NotRun", "Outcome", "Reason", "Unknown"]
