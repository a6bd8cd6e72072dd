"""Limits that endpoints name for the request rate of all nodes together.

It is designed for endpoints in need that take only a few requests a second from a whole
fleet. A few nodes, on whose choice all nodes agree, share the limit and pace their
requests; the other nodes leave the endpoint to them. Sharing it among all nodes would
exceed a low limit whenever several nodes send their first request at the same time.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from math import floor

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.subset import rendezvous_score

# An endpoint that takes nothing still gets requests at this rate, because only its
# replies show the end of the limit.
_MIN_RATE_PER_S = 0.1
_NO_SHARE_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitState:
    """Limit of one incarnation of an endpoint, which all nodes replicate.

    States of an endpoint are ordered by `precedence`, and the highest one holds.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    incarnation : int
        Start time of the endpoint in milliseconds.
    revision : int
        Number of changes of the limit in this incarnation.
    per_s : float or None
        Requests per second that the endpoint takes from all nodes together; None if it
        no longer names a limit.
    """

    endpoint: str
    incarnation: int
    revision: int
    per_s: float | None

    def precedence(self) -> tuple[int, int, float]:
        """Return the key by which states of an endpoint override each other."""
        # Of two limits that nodes learn at the same time, the lower one holds.
        lowness = float("-inf") if self.per_s is None else -self.per_s
        return (self.incarnation, self.revision, lowness)


def holder_count(per_s: float, node_count: int, max_burst: float) -> int:
    """Return over how many nodes a rate is divided.

    Each of c nodes that send at most one request per interval of c / `per_s` sends up
    to floor(`per_s` / c) + 1 requests within one second.

    Parameters
    ----------
    per_s : float
        Rate of all nodes together, in requests per second.
    node_count : int
        Number of nodes.
    max_burst : float
        Requests that all nodes together may send within any second; exceeded only if
        it is less than `per_s` + 1.

    Examples
    --------
    >>> holder_count(6.7, 90, 15), holder_count(6.7, 6, 11), holder_count(40, 39, 52)
    (7, 5, 26)
    """
    most = max(1, min(node_count, 1 + floor(per_s)))
    for count in range(most, 1, -1):
        if count * (floor(per_s / count) + 1) <= max_burst:
            return count
    return 1


def limit_share(
    endpoint: str,
    per_s: float,
    node: str,
    nodes: Collection[str],
    max_burst: float = float("inf"),
) -> float:
    """Return the fraction of a limit that `node` may use.

    Parameters
    ----------
    endpoint : str
        Name of the limited endpoint.
    per_s : float
        Its limit in requests per second.
    node : str
        Name of the node.
    nodes : collection of str
        Names of all nodes that send requests.
    max_burst : float, optional
        Requests that all nodes together may send within any second.

    Returns
    -------
    float
        The shares of all nodes add up to 1. They are 0 for most nodes if the limit is
        low, so that even requests that all nodes send at once stay close to it.

    Examples
    --------
    >>> nodes = [f"vm-{n}" for n in range(8)]
    >>> sorted(limit_share("e", 1.0, node, nodes) for node in nodes)
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.5, 0.5]
    >>> limit_share("e", 40.0, "vm-0", nodes)
    0.125
    """
    count = holder_count(per_s, len(nodes), max_burst)
    if node not in nodes:
        return 0.0
    if count < len(nodes):
        ranked = sorted(nodes, key=lambda name: rendezvous_score(endpoint, name))
        if node not in ranked[-count:]:
            return 0.0
    return 1.0 / count


class EndpointLimits:
    """Tracks the limits of endpoints, and paces the requests of this node.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> limits = EndpointLimits(clock)
    >>> limits.observe("e", 1, 2.0, sent_at=clock.monotonic())
    LimitState(endpoint='e', incarnation=1, revision=1, per_s=2.0)
    >>> limits.wait_s("e", 1, share=0.5)
    1.0
    >>> clock.advance(1.0)
    >>> limits.wait_s("e", 1, share=0.5)
    0.0
    """

    __slots__ = ("_clock", "_limited_since", "_sent_at", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, LimitState] = {}
        # Monotonic times since which an endpoint has a limit, and of the last request.
        self._limited_since: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}

    def observe(
        self, endpoint: str, incarnation: int, per_s: float | None, sent_at: float
    ) -> LimitState | None:
        """Record what a reply states about the limit.

        Parameters
        ----------
        endpoint, incarnation : str, int
            The endpoint that replied.
        per_s : float or None
            Limit that the reply names; None if it names none.
        sent_at : float
            Monotonic time at which the request was sent. A reply without a limit to an
            earlier request does not end a limit that became known since.

        Returns
        -------
        LimitState or None
            New state, to be published to the other nodes; None if nothing changed.
        """
        known = self._states.get(endpoint)
        revision = 1
        if known is not None:
            if known.incarnation > incarnation:
                return None
            if known.incarnation == incarnation:
                if known.per_s == per_s:
                    return None
                if per_s is None and sent_at < self._limited_since[endpoint]:
                    return None
                revision = known.revision + 1
        if per_s is None and revision == 1:
            return None
        state = LimitState(endpoint, incarnation, revision, per_s)
        self._change(state)
        return state

    def apply(self, state: LimitState) -> bool:
        """Apply the state that another node published; return whether it was new."""
        known = self._states.get(state.endpoint)
        if known is not None and state.precedence() <= known.precedence():
            return False
        self._change(state)
        return True

    def limit_per_s(self, endpoint: str, incarnation: int) -> float | None:
        """Return the limit of an endpoint; None if it has none."""
        state = self._states.get(endpoint)
        if state is None or state.incarnation != incarnation:
            return None
        return state.per_s

    def wait_s(self, endpoint: str, incarnation: int, share: float) -> float:
        """Return how long this node, which may use `share`, has to wait.

        A node without a share is told the time in which the fleet sends one request.
        """
        per_s = self.limit_per_s(endpoint, incarnation)
        if per_s is None:
            return 0.0
        rate_per_s = max(per_s, _MIN_RATE_PER_S)
        if share <= 0:
            return 1.0 / rate_per_s
        last_at = max(
            self._limited_since[endpoint], self._sent_at.get(endpoint, float("-inf"))
        )
        interval_s = 1.0 / (rate_per_s * share)
        return max(0.0, last_at + interval_s - self._clock.monotonic())

    def paced_wait_s(self, endpoint: str, per_s: float, share: float) -> float:
        """Return how long this node waits at a rate that is not a named limit.

        A node without a share is told a second, in which each node with one sends.
        """
        if share <= 0 or per_s <= 0:
            return _NO_SHARE_WAIT_S
        sent_at = self._sent_at.get(endpoint, float("-inf"))
        return max(0.0, sent_at + 1.0 / (per_s * share) - self._clock.monotonic())

    def record_send(self, endpoint: str) -> None:
        """Record that this node sends a request to `endpoint`."""
        self._sent_at[endpoint] = self._clock.monotonic()

    def states(self) -> list[LimitState]:
        """Return the states of all endpoints that named a limit."""
        return list(self._states.values())

    def discard(self, endpoint: str) -> None:
        """Discard the state of an endpoint that is gone."""
        self._states.pop(endpoint, None)
        self._limited_since.pop(endpoint, None)
        self._sent_at.pop(endpoint, None)

    def _change(self, state: LimitState) -> None:
        known = self._states.get(state.endpoint)
        was_limited = (
            known is not None
            and known.incarnation == state.incarnation
            and known.per_s is not None
        )
        if not was_limited:
            self._limited_since[state.endpoint] = self._clock.monotonic()
        self._states[state.endpoint] = state
