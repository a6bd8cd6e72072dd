"""Fixtures for tests with several nodes in one process."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from sapphirehoist.testing import InProcessFleet


@pytest.fixture
def fleet() -> Iterator[InProcessFleet]:
    """Yield an empty fleet on a manual clock; stop its nodes at teardown."""
    in_process_fleet = InProcessFleet()
    yield in_process_fleet
    in_process_fleet.close()
