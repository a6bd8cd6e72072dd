"""Nodes tell each other which engine was sent which parts of prompts."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import GenerationPlacement
from sapphirehoist.membership import Fleet, Member
from sapphirehoist.peers import PeerBus, PeerMessage

# Parts are collected this long, far less than the time between their uses.
_COLLECT_S = 0.05
# In a large fleet only the nearest nodes are told, so that the cost stays flat.
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

    def tell(self, parts: list[str], endpoint: str) -> None:
        """Tell others soon that `endpoint` was sent `parts`."""
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
            for member in self._told():
                self._bus.tell(member.peer_address, news)

    def _told(self) -> list[Member]:
        own = self._fleet.member
        others = self._fleet.others()
        others.sort(key=lambda m: (m.zone != own.zone, m.region != own.region, m.vm))
        return others[:_MOST_TOLD]

    def _handle(self, sender: str, news: PromptNews) -> None:
        for endpoint, parts in news.parts.items():
            for part in parts:
                self._placement.learn(part, endpoint)
