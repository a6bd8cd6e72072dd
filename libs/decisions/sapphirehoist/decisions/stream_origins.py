"""Which software version began a stream, so that no other version continues it.

It is designed for a load in which engines of several software versions serve side by
side while engines and nodes crash. What two versions write does not fit together, and a
caller takes its stream up at any node, also after the node that began it has ended.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sapphirehoist.clock import Clock
from sapphirehoist.decisions.subset import rendezvous_score

_MAX_TRACKED_STREAMS = 65_536


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    service : str
        Service of the endpoint that sent the first event.
    software_version : str
        Version of this endpoint's software.
    """

    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class TrackedStream:
    """A stream that its caller may still take up.

    Attributes
    ----------
    request_id : str
        Id of the caller's request that began the stream.
    origin : StreamOrigin
        Where it began.
    remaining_s : float
        Time for which the caller may take it up.
    """

    request_id: str
    origin: StreamOrigin
    remaining_s: float


class StreamOrigins:
    """Origins of the streams that callers may still take up.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> origins = StreamOrigins(clock)
    >>> origins.record(TrackedStream("r-1", StreamOrigin("model", "v2"), 8.0))
    >>> origins.get("r-1").software_version
    'v2'
    >>> clock.advance(9.0)
    >>> origins.get("r-1") is None
    True
    """

    __slots__ = ("_clock", "_expires_at", "_origins")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins: dict[str, StreamOrigin] = {}
        self._expires_at: dict[str, float] = {}

    def record(self, stream: TrackedStream) -> None:
        """Record where a stream began, unless its origin is known."""
        known_origin = self.get(stream.request_id)
        self._origins[stream.request_id] = known_origin or stream.origin
        self._expires_at[stream.request_id] = max(
            self._expires_at.get(stream.request_id, 0.0),
            self._clock.monotonic() + stream.remaining_s,
        )
        if len(self._origins) > _MAX_TRACKED_STREAMS:
            self._discard(next(iter(self._origins)))

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return where the stream of `request_id` began; None if it is not known."""
        if self._clock.monotonic() >= self._expires_at.get(request_id, 0.0):
            return None
        return self._origins[request_id]

    def streams_of(self, service: str) -> list[TrackedStream]:
        """Return the streams that began at `service`."""
        now = self._clock.monotonic()
        return [
            TrackedStream(request_id, origin, self._expires_at[request_id] - now)
            for request_id, origin in self._origins.items()
            if origin.service == service and self._expires_at[request_id] > now
        ]

    def remove_expired(self) -> None:
        """Discard the streams that no caller takes up any more."""
        now = self._clock.monotonic()
        for request_id, expires_at in list(self._expires_at.items()):
            if expires_at <= now:
                self._discard(request_id)

    def _discard(self, request_id: str) -> None:
        del self._origins[request_id], self._expires_at[request_id]


def infer_origin(service: str, versions: Collection[str]) -> StreamOrigin | None:
    """Return where a stream of `service` must have begun; None if that is in doubt.

    Parameters
    ----------
    service : str
        Service of the stream.
    versions : collection of str
        Software versions that have served there since before the stream began.

    Examples
    --------
    >>> infer_origin("model", {"v2"})
    StreamOrigin(service='model', software_version='v2')
    >>> infer_origin("model", {"v1", "v2"}) is None
    True
    """
    if len(versions) != 1:
        return None
    return StreamOrigin(service, next(iter(versions)))


def may_infer_origin(
    asked_count: int, reply_count: int, is_partitioned: bool, is_current: bool
) -> bool:
    """Return whether a node may infer origins from the versions that it has heard of.

    A node beyond a network partition may have missed a version that began streams at
    the others. Those on its own side are then no better witnesses.

    Parameters
    ----------
    asked_count, reply_count : int
        Number of nodes that were asked for the stream, and of those that replied.
    is_partitioned : bool
        Whether this node knows of others that it does not reach.
    is_current : bool
        Whether this node has lately read from the store which versions serve.

    Examples
    --------
    >>> may_infer_origin(3, 3, is_partitioned=False, is_current=False)
    True
    >>> may_infer_origin(3, 3, is_partitioned=True, is_current=False)
    False
    >>> may_infer_origin(3, 2, is_partitioned=False, is_current=True)
    False
    """
    return reply_count == asked_count and (is_current or not is_partitioned)


def stream_holders(request_id: str, vms: Iterable[str], count: int) -> list[str]:
    """Return the `count` of `vms` that hold the origin of a stream, the first first.

    All nodes choose the same ones, as far as they know the same VMs.

    Examples
    --------
    >>> sorted(stream_holders("r-1", ["vm-1", "vm-2"], 3))
    ['vm-1', 'vm-2']
    """
    ranked = sorted(vms, key=lambda vm: rendezvous_score(request_id, vm), reverse=True)
    return ranked[:count]
