"""One node: the components of all libraries, built on injected dependencies."""

from __future__ import annotations

from sapphirehoist.node.dependencies import NodeDependencies
from sapphirehoist.node.node import Node

__all__ = ["Node", "NodeDependencies"]
