"""Nodes tell each other which engine was sent which parts of prompts."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import GenerationPlacement
from sapphirehoist.membership import Fleet
from sapphirehoist.peers import PeerBus, PeerMessage

# Parts are collected this long, far less than the time between their uses.
_COLLECT_S = 0.05
# A larger fleet agrees on homes of parts instead, so that the cost stays flat.
_MOST_TOLD = 12


class PromptNews(PeerMessage, frozen=True, array_like=True):
    """Parts of prompts that engines have just been sent.

    Attributes
    ----------
    parts : dict of str to list of str
        Names of parts by engine.
    """

    KIND: ClassVar[str] = "gateway.prompts"

    parts: dict[str, list[str]]


class PromptSharing:
    """Collects what this node sent, and tells others.

    Parameters
    ----------
    fleet, bus : Fleet, PeerBus
        Other nodes.
    placement : GenerationPlacement
        Learns what others sent.
    clock : Clock
        Paces messages.
    """

    __slots__ = ("_bus", "_clock", "_collected", "_fleet", "_placement")

    def __init__(
        self, fleet: Fleet, bus: PeerBus, placement: GenerationPlacement, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._placement = placement
        self._clock = clock
        self._collected: dict[str, list[str]] = {}
        bus.subscribe(PromptNews, self._handle)

    @staticmethod
    def is_told(fleet: Fleet) -> bool:
        """Return whether the fleet is small enough for every node to be told."""
        return len(fleet.others()) <= _MOST_TOLD

    def tell(self, parts: list[str], endpoint: str) -> None:
        """Tell others soon that `endpoint` was sent `parts`."""
        if not self.is_told(self._fleet):
            return
        # The last part belongs to one request or session and is seldom shared.
        self._collected.setdefault(endpoint, []).extend(parts[:-1] or parts)

    def run(self) -> None:
        """Send what was collected, until killed."""
        while True:
            self._clock.sleep(_COLLECT_S)
            if not self._collected:
                continue
            news = PromptNews(self._collected)
            self._collected = {}
            for member in self._fleet.others():
                self._bus.tell(member.peer_address, news)

    def _handle(self, sender: str, news: PromptNews) -> None:
        for endpoint, parts in news.parts.items():
            for part in parts:
                self._placement.learn(part, endpoint)
