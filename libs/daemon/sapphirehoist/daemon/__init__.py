"""The daemon sapphirehoistd: one node and its HTTP servers."""
