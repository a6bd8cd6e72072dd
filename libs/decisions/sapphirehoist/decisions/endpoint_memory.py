"""Learns how many bytes of request bodies an endpoint bears, from one crash.

It responds to large requests that meet at one endpoint. A crash has many causes and
names none. It is attributed to memory only if the endpoint held more bytes than any
endpoint of its service had survived; the inference is weak, so the limit only steers
placement and is never derived from small requests.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

# Parts of the bytes at the crash that are allowed from then on: the larger one as far
# as so much was survived. Bytes count from when they are sent, so that the endpoint may
# have received fewer, and VMs that send at the same time do not see each other's.
_MIN_LIMIT_SHARE = 0.5
_MAX_LIMIT_SHARE = 0.75
# A crash with fewer bytes is not attributed to memory, however little was survived.
_MIN_CRASH_BYTES = 1_000_000
# Weight of the latest request in the mean size of bodies.
_MEAN_WEIGHT = 0.1
_MAX_CRASHES_PER_SERVICE = 64
# A node that had less in flight reports nothing, so that crashes which have nothing to
# do with memory cost no messages.
_MIN_REPORTED_BYTES = 65_536
_MAX_LOST_ENDPOINTS = 256


@dataclass(frozen=True, slots=True)
class HeldBytes:
    """What one node had in flight at an endpoint that crashed.

    Attributes
    ----------
    service, endpoint : str
        The endpoint and its service.
    incarnation : int
        Start time of the endpoint in milliseconds.
    node : str
        The node that reports.
    held_bytes : int
        Bytes of request bodies that it had in flight there.
    survived_bytes : int
        Most bytes of all nodes that an endpoint of the service has survived, as
        estimated by the node.
    """

    service: str
    endpoint: str
    incarnation: int
    node: str
    held_bytes: int
    survived_bytes: int


class EndpointMemory:
    """Tracks the bytes of request bodies in flight, and limits them after a crash.

    Parameters
    ----------
    node : str
        Name of this node.

    Examples
    --------
    >>> memory = EndpointMemory("vm-1")
    >>> memory.begin("s", "e", 6_000_000), memory.begin("s", "e", 6_000_000)
    (6000000, 12000000)
    >>> memory.end("s", "e", 6_000_000, is_lost=True)
    >>> memory.end("s", "e", 6_000_000, is_lost=True)
    >>> report = memory.record_crash("e", 1)
    >>> report.held_bytes, memory.limit_bytes("s")
    (12000000, 6000000)
    >>> memory.fits("s", "f", 5_000_000, load=0.0, in_flight=0)
    True
    >>> memory.begin("s", "f", 5_000_000)
    5000000
    >>> memory.fits("s", "f", 5_000_000, load=1.0, in_flight=1)
    False
    """

    __slots__ = (
        "_held_bytes",
        "_lost_bytes",
        "_mean_bytes",
        "_node",
        "_reports",
        "_survived_bytes",
    )

    def __init__(self, node: str) -> None:
        self._node = node
        self._held_bytes: Counter[str] = Counter()
        # Service and largest sum in flight when requests were lost, until the endpoint
        # answers.
        self._lost_bytes: dict[str, tuple[str, int]] = {}
        self._mean_bytes: dict[str, float] = {}
        self._survived_bytes: Counter[str] = Counter()
        # By service and crash (endpoint and incarnation), then by node.
        self._reports: dict[str, dict[tuple[str, int], dict[str, HeldBytes]]] = {}

    def begin(self, service: str, endpoint: str, body_bytes: int) -> int:
        """Add a request that is sent; return the bytes in flight at the endpoint."""
        mean = self._mean_bytes.get(service, float(body_bytes))
        self._mean_bytes[service] = mean + _MEAN_WEIGHT * (body_bytes - mean)
        self._held_bytes[endpoint] += body_bytes
        return self._held_bytes[endpoint]

    def end(self, service: str, endpoint: str, body_bytes: int, is_lost: bool) -> None:
        """Remove a request, which was lost if the endpoint may have crashed on it."""
        if is_lost:
            _, lost_bytes = self._lost_bytes.pop(endpoint, ("", 0))
            lost_bytes = max(lost_bytes, self._held_bytes[endpoint])
            self._lost_bytes[endpoint] = (service, lost_bytes)
            if len(self._lost_bytes) > _MAX_LOST_ENDPOINTS:
                del self._lost_bytes[next(iter(self._lost_bytes))]
        self._held_bytes[endpoint] -= body_bytes
        if self._held_bytes[endpoint] <= 0:
            del self._held_bytes[endpoint]

    def record_answer(self, service: str, held_bytes: float) -> None:
        """Record that an endpoint of `service` answered when it held `held_bytes`."""
        self._survived_bytes[service] = max(
            self._survived_bytes[service], int(held_bytes)
        )

    def estimated_bytes(
        self, service: str, endpoint: str, load: float, in_flight: int, body_bytes: int
    ) -> float:
        """Return the estimated bytes that an endpoint holds for all nodes.

        Requests of other nodes, `load` less the `in_flight` ones of this node, count
        with the mean size that this node sends, or `body_bytes` if it has sent none.
        """
        mean_bytes = self._mean_bytes.get(service, float(body_bytes))
        return self._held_bytes[endpoint] + max(0.0, load - in_flight) * mean_bytes

    def fits(
        self,
        service: str,
        endpoint: str,
        body_bytes: int,
        load: float,
        in_flight: int,
    ) -> bool:
        """Return whether an endpoint bears a further body of `body_bytes`."""
        if not self._reports or not body_bytes:
            return True
        limit_bytes = self.limit_bytes(service)
        if limit_bytes is None:
            return True
        held_bytes = self.estimated_bytes(
            service, endpoint, load, in_flight, body_bytes
        )
        return held_bytes + body_bytes <= limit_bytes

    def limit_bytes(self, service: str) -> int | None:
        """Return the bytes that an endpoint of `service` bears; None if not known."""
        limits = []
        for reports in self._reports.get(service, {}).values():
            held_bytes = sum(r.held_bytes for r in reports.values())
            survived_bytes = max(r.survived_bytes for r in reports.values())
            if held_bytes >= max(_MIN_CRASH_BYTES, survived_bytes + 1):
                survived_bytes = min(survived_bytes, int(held_bytes * _MAX_LIMIT_SHARE))
                limits.append(max(survived_bytes, int(held_bytes * _MIN_LIMIT_SHARE)))
        return min(limits, default=None)

    def record_crash(self, endpoint: str, incarnation: int) -> HeldBytes | None:
        """Record that an endpoint crashed; return what to report to other nodes."""
        service, held_bytes = self._lost_bytes.pop(endpoint, ("", 0))
        if held_bytes < _MIN_REPORTED_BYTES:
            return None
        report = HeldBytes(
            service,
            endpoint,
            incarnation,
            self._node,
            held_bytes,
            self._survived_bytes[service],
        )
        return report if self.apply(report) else None

    def apply(self, report: HeldBytes) -> bool:
        """Apply the report of a node; return whether it was new."""
        crashes = self._reports.setdefault(report.service, {})
        crash = (report.endpoint, report.incarnation)
        if crash not in crashes and len(crashes) >= _MAX_CRASHES_PER_SERVICE:
            return False
        nodes = crashes.setdefault(crash, {})
        if report.node in nodes:
            return False
        nodes[report.node] = report
        return True

    def reports(self) -> list[HeldBytes]:
        """Return the reports of all nodes."""
        return [
            report
            for crashes in self._reports.values()
            for nodes in crashes.values()
            for report in nodes.values()
        ]
