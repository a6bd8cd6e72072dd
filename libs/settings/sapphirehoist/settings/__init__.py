"""The daemon's settings: JSON with comments, fully validated before start-up."""

from __future__ import annotations

from sapphirehoist.settings.loader import SettingsErrors, load_settings, parse_settings
from sapphirehoist.settings.model import (
    ListenSettings,
    OperatorCredentials,
    PeerSettings,
    PlatformSettings,
    PolicySettings,
    Settings,
    TlsSettings,
)

__all__ = [
    "ListenSettings",
    "OperatorCredentials",
    "PeerSettings",
    "PlatformSettings",
    "PolicySettings",
    "Settings",
    "SettingsErrors",
    "TlsSettings",
    "load_settings",
    "parse_settings",
]
