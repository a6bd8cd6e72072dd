"""The program sapphirehoistctl: the operators' tool."""

from __future__ import annotations

from sapphirehoist.ctl.commands import Commands

__all__ = ["Commands"]
