"""Broadcasts to other nodes which prompt parts were sent to which model engine."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.clock import Clock
from sapphirehoist.decisions import GenerationPlacement
from sapphirehoist.membership import Fleet
from sapphirehoist.peers import PeerBus, PeerMessage

# Far shorter than the time between two uses of a part.
_BROADCAST_INTERVAL_S = 0.05
# In a larger fleet nodes derive a home engine for each part by rendezvous hashing
# instead, so that the cost does not grow with the number of nodes.
_MAX_BROADCAST_PEERS = 12


class PromptUpdate(PeerMessage, frozen=True, array_like=True):
    """Lists the prompt parts that the sender has just sent to model engines.

    Attributes
    ----------
    parts : dict of str to list of str
        Names of prompt parts by endpoint name of the engine.
    """

    KIND: ClassVar[str] = "gateway.prompts"

    parts: dict[str, list[str]]


class PromptBroadcaster:
    """Batches the prompt parts that this node sent and broadcasts them to other nodes.

    Parameters
    ----------
    fleet : Fleet
        Members to broadcast to.
    bus : PeerBus
        Sends and receives the updates.
    placement : GenerationPlacement
        Updated with the parts that other nodes sent.
    clock : Clock
        Times the broadcasts.
    """

    __slots__ = ("_bus", "_clock", "_fleet", "_pending_parts", "_placement")

    def __init__(
        self, fleet: Fleet, bus: PeerBus, placement: GenerationPlacement, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._placement = placement
        self._clock = clock
        self._pending_parts: dict[str, list[str]] = {}
        bus.subscribe(PromptUpdate, self._handle_update)

    @staticmethod
    def is_broadcast_enabled(fleet: Fleet) -> bool:
        """Return whether the fleet is small enough to broadcast prompt parts."""
        return len(fleet.other_members()) <= _MAX_BROADCAST_PEERS

    def schedule_broadcast(self, parts: list[str], endpoint: str) -> None:
        """Schedule a broadcast that `parts` were sent to `endpoint`."""
        if not self.is_broadcast_enabled(self._fleet):
            return
        # The last part is specific to one request or session and is rarely shared.
        self._pending_parts.setdefault(endpoint, []).extend(parts[:-1] or parts)

    def run(self) -> None:
        """Broadcast the collected parts at a fixed interval, until killed."""
        while True:
            self._clock.sleep(_BROADCAST_INTERVAL_S)
            if not self._pending_parts:
                continue
            update = PromptUpdate(self._pending_parts)
            self._pending_parts = {}
            for member in self._fleet.other_members():
                self._bus.notify(member.peer_address, update)

    def _handle_update(self, sender: str, update: PromptUpdate) -> None:
        for endpoint, parts in update.parts.items():
            for part in parts:
                self._placement.record_prompt_part(part, endpoint)
