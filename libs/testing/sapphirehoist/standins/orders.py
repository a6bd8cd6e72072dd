"""Orders to an engine: which models, adapters and versions it is to have loaded."""

from __future__ import annotations

import msgspec


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is to be loaded, under a fencing number."""

    fencing: int
    models: list[str]
    role: str = "both"


class OrderBook:
    """The last order that was taken.

    Parameters
    ----------
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self.current = Order(0, [])
        self.refused = 0

    def take(self, order: Order) -> bool:
        """Carry out `order`; return whether it was taken."""
        if self._checks_fencing and order.fencing < self.current.fencing:
            self.refused += 1
            return False
        self.current = order
        return True
