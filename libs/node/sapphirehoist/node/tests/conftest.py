"""Fleets of nodes in one process."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from sapphirehoist.testing import InProcessFleet


@pytest.fixture
def fleet() -> Iterator[InProcessFleet]:
    """Give an empty fleet on a manual clock; stop all of it at the end."""
    started = InProcessFleet()
    yield started
    started.close()
