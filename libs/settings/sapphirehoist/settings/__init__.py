"""The daemon's settings: JSON with comments, fully validated before start-up."""

from __future__ import annotations

from sapphirehoist.settings.loader import SettingsFaults, load_settings, parse_settings
from sapphirehoist.settings.model import (
    Listen,
    OperatorKey,
    PeerSettings,
    PlatformSettings,
    Policies,
    Settings,
    Tls,
)

__all__ = [
    "Listen",
    "OperatorKey",
    "PeerSettings",
    "PlatformSettings",
    "Policies",
    "Settings",
    "SettingsFaults",
    "Tls",
    "load_settings",
    "parse_settings",
]
