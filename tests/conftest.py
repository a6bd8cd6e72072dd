"""Fixture with a loopback deployment for tests of several processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from sapphirehoist.testing import Deployment


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Yield a deployment with only the platform running; kill its processes after."""
    loopback_deployment = Deployment(tmp_path)
    loopback_deployment.start_platform()
    yield loopback_deployment
    loopback_deployment.close()
