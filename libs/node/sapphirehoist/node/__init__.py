"""One node: the components of all libraries, built on injected dependencies."""

from __future__ import annotations

from sapphirehoist.node.node import Node
from sapphirehoist.node.parts import NodeDependencies

__all__ = ["Node", "NodeDependencies"]
