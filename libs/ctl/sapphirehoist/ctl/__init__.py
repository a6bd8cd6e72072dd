"""The command-line tool sapphirehoistctl for operators."""

from __future__ import annotations

from sapphirehoist.ctl.commands import Commands

__all__ = ["Commands"]
