"""The example programs run."""

from __future__ import annotations

import sys
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"
sys.path.insert(0, str(EXAMPLES))

import embed  # noqa: E402


def test_embedding() -> None:
    first, *others = embed.use_claims_alone()
    assert first == embed.Done(b"charged")
    assert others == 2 * [embed.Done(b"charged", is_replayed=True)]
    assert embed.run_nodes(str(EXAMPLES / "studio.jsonc")) == [3, 3, 3]
