"""Deployments on loopback for tests across processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from sapphirehoist.testing import Deployment


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Give an empty deployment whose platform runs; kill all of it at the end."""
    loopback_deployment = Deployment(tmp_path)
    loopback_deployment.start_platform()
    yield loopback_deployment
    loopback_deployment.close()
