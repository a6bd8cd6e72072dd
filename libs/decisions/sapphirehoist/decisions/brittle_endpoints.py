"""Endpoints that collapse if they have to reject many requests.

It is designed for a crowd of several times the capacity of endpoints that survive only
a few rejections per second. The requests that an endpoint can hold are divided over all
nodes as places, so that requests within them are not rejected. Further requests may be
rejected: all nodes together send no more of them than the endpoint survives rejections.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import floor

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.endpoint_limits import EndpointLimits, limit_share
from sapphirehoist.decisions.subset import rendezvous_score

# A further request that is accepted may cause the rejection of one within the places,
# so that half of the survived rejections may be caused by each. The rest is for
# requests that are in flight when a node learns of them, and for delays that bring
# requests together. With 0.7 and no minimum, three real nodes caused 2 rejections where
# 1 is survived.
_RISK_FRACTION = 0.35
_MIN_SURVIVED_PER_S = 2.0
# An endpoint may let fewer requests wait from 5 s after it became brittle. What was
# learnt before does not count from shortly before that time on.
_RELEARN_FROM_S = 4.0
_RELEARN_UNTIL_S = 6.0
_EVIDENCE_S = 10.0
_NO_PLACE_WAIT_S = 1.0


@dataclass(slots=True)
class _Evidence:
    """Largest number of requests that an endpoint was seen to hold, and when."""

    total: int
    at: float


class BrittleEndpoints:
    """Decides which requests of this node may go to brittle endpoints.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    limits : EndpointLimits
        Rejections per second that each endpoint survives; all nodes replicate them.
    """

    __slots__ = (
        "_clock",
        "_evidence",
        "_nodes",
        "_ranks",
        "_shares",
        "_since",
        "limits",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.limits = EndpointLimits(clock)
        self._evidence: dict[str, _Evidence] = {}
        # By endpoint: its incarnation, and since when it is known to be brittle.
        self._since: dict[str, tuple[int, float]] = {}
        # Rank of a node among all nodes, by endpoint and node.
        self._nodes: Sequence[str] = ()
        self._ranks: dict[tuple[str, str], int | None] = {}
        # Share of a node in a rate, by endpoint, rate and node.
        self._shares: dict[tuple[str, float, str], float] = {}

    def is_brittle(self, endpoint: str, incarnation: int) -> bool:
        """Return whether `endpoint` is brittle, and note since when."""
        if self.limits.limit_per_s(endpoint, incarnation) is None:
            self._since.pop(endpoint, None)
            return False
        known = self._since.get(endpoint)
        if known is None or known[0] != incarnation:
            self._since[endpoint] = (incarnation, self._clock.monotonic())
        return True

    def record_load(self, endpoint: str, total: int, is_rejection: bool) -> None:
        """Record how many requests an endpoint holds when it answers or rejects one."""
        known, now = self._evidence.get(endpoint), self._clock.monotonic()
        if (
            known is None
            or is_rejection
            or total >= known.total
            or now - known.at > _EVIDENCE_S
        ):
            self._evidence[endpoint] = _Evidence(total, now)

    def room(self, endpoint: str, slots: int) -> int:
        """Return how many requests an endpoint is expected to hold without rejecting.

        These are its slots, and those that it was seen to let wait lately.
        """
        evidence, now = self._evidence.get(endpoint), self._clock.monotonic()
        if evidence is None or now - evidence.at > _EVIDENCE_S:
            return slots
        since = self._since.get(endpoint, (0, now))[1]
        if now - since >= _RELEARN_FROM_S and evidence.at - since < _RELEARN_UNTIL_S:
            return slots
        return max(slots, evidence.total)

    def places(self, endpoint: str, slots: int, node: str, nodes: Sequence[str]) -> int:
        """Return how many requests `node` may have in flight without risk."""
        rank = self._rank(endpoint, node, nodes)
        if rank is None:
            return 0
        each, rest = divmod(self.room(endpoint, slots), len(nodes))
        return each + (rank < rest)

    def wait_s(
        self,
        endpoint: str,
        incarnation: int,
        slots: int,
        in_flight: int,
        node: str,
        nodes: Sequence[str],
    ) -> float:
        """Return how long `node` waits before its next request to `endpoint`.

        Parameters
        ----------
        endpoint, incarnation : str, int
            The endpoint.
        slots : int
            Requests that it runs concurrently.
        in_flight : int
            Requests of this node at the endpoint.
        node : str
            Name of this node.
        nodes : sequence of str
            Names of all nodes that may send requests. A new object for each change.
        """
        if not self.is_brittle(endpoint, incarnation):
            return 0.0
        if in_flight < self.places(endpoint, slots, node, nodes):
            return 0.0
        survived_per_s = self.limits.limit_per_s(endpoint, incarnation) or 0.0
        if survived_per_s < _MIN_SURVIVED_PER_S:
            return _NO_PLACE_WAIT_S
        rate_per_s = survived_per_s * _RISK_FRACTION
        key = (endpoint, rate_per_s, node)
        share = self._shares.get(key)
        if share is None:
            burst = floor(survived_per_s / 2)
            # Another key than that of the places, so that other nodes hold it.
            share_key = f"{endpoint} risk"
            share = limit_share(share_key, rate_per_s, node, nodes, burst)
            self._shares[key] = share
        return self.limits.paced_wait_s(endpoint, rate_per_s, share)

    def record_send(
        self,
        endpoint: str,
        incarnation: int,
        slots: int,
        in_flight: int,
        node: str,
        nodes: Sequence[str],
    ) -> bool:
        """Record a request; return whether it may be rejected.

        The parameters are those of `wait_s`.
        """
        if not self.is_brittle(endpoint, incarnation):
            return False
        is_risky = in_flight >= self.places(endpoint, slots, node, nodes)
        if is_risky:
            self.limits.record_send(endpoint)
        return is_risky

    def discard(self, endpoint: str) -> None:
        """Discard the state of an endpoint that is gone."""
        self.limits.discard(endpoint)
        self._evidence.pop(endpoint, None)
        self._since.pop(endpoint, None)

    def _rank(self, endpoint: str, node: str, nodes: Sequence[str]) -> int | None:
        """Return the rank of `node` among `nodes`; None if it is none of them."""
        if nodes is not self._nodes:
            self._nodes = nodes
            self._ranks.clear()
            self._shares.clear()
        key = (endpoint, node)
        if key not in self._ranks:
            own = rendezvous_score(endpoint, node)
            higher = sum(rendezvous_score(endpoint, name) > own for name in nodes)
            self._ranks[key] = higher if node in nodes else None
        return self._ranks[key]
