"""Which endpoints are leaving, as learned by any node.

The first sign at any node floods to all. News is ordered by the endpoint's incarnation
and then by status, so that a stale source cannot bring a leaving instance back.
"""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar
from zlib import crc32

from sapphirehoist.endpoints.client import EndpointSigns
from sapphirehoist.membership import Digest, Fleet, Member
from sapphirehoist.observability import Metrics, Timeline
from sapphirehoist.peers import NoReply, PeerBus, PeerMessage

_PULL_TIMEOUT_S = 2.0


class EndpointStatus(IntEnum):
    """Whether an endpoint takes new work; a higher value wins."""

    ACTIVE = 0
    LEAVING = 1


class EndpointNews(PeerMessage, frozen=True, array_like=True):
    """The status of one incarnation of an endpoint."""

    KIND: ClassVar[str] = "endpoints.news"

    endpoint: str
    incarnation: int
    status: EndpointStatus

    def precedence(self) -> tuple[int, EndpointStatus]:
        """Return the key by which newer news overrides older news."""
        return (self.incarnation, self.status)


class StandingRequest(PeerMessage, frozen=True, array_like=True):
    """Asks for all news that the receiver holds."""

    KIND: ClassVar[str] = "endpoints.standing_request"


class StandingReply(PeerMessage, frozen=True, array_like=True):
    """All news that the sender holds."""

    KIND: ClassVar[str] = "endpoints.standing_reply"

    news: list[EndpointNews]


class EndpointStanding:
    """Tracks which endpoints are leaving.

    News is held only of endpoints that have ever left, so its size follows the number
    of departures and not the number of endpoints.

    Parameters
    ----------
    fleet : Fleet
        Carries news and digests.
    bus : PeerBus
        Messages between daemons.
    metrics : Metrics
        Takes ``endpoint_leaving_total`` by source.
    timeline : Timeline
        Takes changes of status.
    """

    __slots__ = (
        "_bus",
        "_digest",
        "_fleet",
        "_incarnations",
        "_metrics",
        "_news",
        "_timeline",
    )

    def __init__(
        self, fleet: Fleet, bus: PeerBus, metrics: Metrics, timeline: Timeline
    ) -> None:
        self._fleet = fleet
        self._bus = bus
        self._metrics = metrics
        self._timeline = timeline
        self._news: dict[str, EndpointNews] = {}
        self._incarnations: dict[str, int] = {}
        self._digest = 0
        fleet.subscribe_news(EndpointNews, self._take)
        fleet.add_digest(Digest("endpoints", self._read_digest, self._reconcile))
        bus.subscribe(StandingRequest, self._handle_request)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether `endpoint` must get no new work."""
        news = self._news.get(endpoint)
        return news is not None and news.status is EndpointStatus.LEAVING

    def leaving(self) -> list[str]:
        """Return the endpoints that are leaving."""
        return sorted(name for name in self._news if self.is_leaving(name))

    def observe(self, endpoint: str, signs: EndpointSigns) -> None:
        """Take what an endpoint said of itself."""
        self._note_incarnation(endpoint, signs.incarnation)
        if signs.is_leaving:
            self._learn(endpoint, signs.incarnation, EndpointStatus.LEAVING, "endpoint")
        elif endpoint in self._news:
            self._learn(endpoint, signs.incarnation, EndpointStatus.ACTIVE, "endpoint")

    def observe_listed(self, endpoint: str, incarnation: int, is_leaving: bool) -> None:
        """Take one entry of the platform's list."""
        self._note_incarnation(endpoint, incarnation)
        if is_leaving:
            self._learn(endpoint, incarnation, EndpointStatus.LEAVING, "list")
        elif endpoint in self._news:
            self._learn(endpoint, incarnation, EndpointStatus.ACTIVE, "list")

    def drain(self, endpoint: str) -> None:
        """Take an operator's order that `endpoint` gets no new work."""
        incarnation = self._incarnations.get(endpoint, 0)
        news = self._news.get(endpoint)
        if news is not None:
            incarnation = max(incarnation, news.incarnation)
        self._learn(endpoint, incarnation, EndpointStatus.LEAVING, "operator")

    def _note_incarnation(self, endpoint: str, incarnation: int) -> None:
        if incarnation > self._incarnations.get(endpoint, 0):
            self._incarnations[endpoint] = incarnation

    def _learn(
        self, endpoint: str, incarnation: int, status: EndpointStatus, source: str
    ) -> None:
        news = EndpointNews(endpoint, incarnation, status)
        if not self._take(news):
            return
        self._fleet.publish(news)
        if status is EndpointStatus.LEAVING:
            self._metrics.count("endpoint_leaving_total", source=source)

    def _resolve(self, news: EndpointNews) -> EndpointNews:
        """Apply news of no known incarnation to the newest one known here."""
        incarnation = self._incarnations.get(news.endpoint, 0)
        if news.incarnation or not incarnation:
            return news
        return EndpointNews(news.endpoint, incarnation, news.status)

    def _take(self, received: EndpointNews) -> bool:
        news = self._resolve(received)
        known = self._news.get(news.endpoint)
        if known is not None and news.precedence() <= known.precedence():
            return False
        self._toggle(known)
        self._news[news.endpoint] = news
        self._toggle(news)
        self._timeline.record("endpoint_" + news.status.name.lower(), news.endpoint)
        return True

    def _toggle(self, news: EndpointNews | None) -> None:
        if news is not None:
            self._digest ^= crc32(f"{news.endpoint} {news.precedence()}".encode())

    def _read_digest(self) -> int:
        return self._digest

    def _reconcile(self, member: Member, theirs: int) -> None:
        reply = self._bus.ask(
            member.peer_address, StandingRequest(), StandingReply, _PULL_TIMEOUT_S
        )
        if isinstance(reply, NoReply):
            return
        for news in reply.news:
            if self._take(news):
                self._fleet.publish(news)

    def _handle_request(self, sender: str, request: StandingRequest) -> StandingReply:
        return StandingReply(list(self._news.values()))
