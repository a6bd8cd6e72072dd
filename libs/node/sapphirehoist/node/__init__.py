"""One node: all libraries wired on interfaces that the caller passes in."""

from __future__ import annotations

from sapphirehoist.node.node import Node
from sapphirehoist.node.parts import NodeParts

__all__ = ["Node", "NodeParts"]
