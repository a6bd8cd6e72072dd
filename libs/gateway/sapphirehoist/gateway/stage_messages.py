"""Peer messages between nodes and the owners of stage endpoints."""

from __future__ import annotations

from typing import ClassVar

from msgspec import Struct

from sapphirehoist.gateway.codec import PieceRequest
from sapphirehoist.peers import PeerMessage


class ComputeRequest(PeerMessage, frozen=True, array_like=True):
    """Asks the owner of an endpoint to schedule pieces of one request there.

    Attributes
    ----------
    correlation_id : int
        Matches the later `ComputedNotification` to this message.
    endpoint : str
        Endpoint that is to compute the pieces.
    piece_requests : list of PieceRequest
        Identity and inputs of each piece.
    expires_in_s : float
        Time after which the results are of no use.
    latest_start_in_s : float
        Time within which the pieces have to start for the request to meet its latency
        target.
    priority : int
        Priority of the request; 0 is the most urgent.
    result_bytes : int
        Approximate size of each result.
    is_committed : bool
        Whether the results of the request already occupy more than a small fraction of
        some endpoint's space.
    allowed_regions : list of str or None
        Regions through which the request may be sent; None for any.
    """

    KIND: ClassVar[str] = "gateway.make"

    correlation_id: int
    endpoint: str
    piece_requests: list[PieceRequest]
    expires_in_s: float
    latest_start_in_s: float
    priority: int
    result_bytes: int
    is_committed: bool
    allowed_regions: list[str] | None = None


class ComputeAccepted(PeerMessage, frozen=True, array_like=True):
    """Confirms that the pieces of a `ComputeRequest` are queued.

    Attributes
    ----------
    wait_s_by_level : tuple of float
        `Backlog.wait_s_by_level` of the endpoint before the pieces were queued.
    backoff_s : float
        Time for which the endpoint wants no calls from the owner.
    """

    KIND: ClassVar[str] = "gateway.make_accepted"

    wait_s_by_level: tuple[float, ...]
    backoff_s: float = 0.0


class ComputedNotification(PeerMessage, frozen=True, array_like=True):
    """Reports the results of a `ComputeRequest`, one entry per piece in its order.

    Attributes
    ----------
    correlation_id : int
        `ComputeRequest.correlation_id`.
    endpoint : str
        Endpoint that holds the results.
    handles : list of str
        Handle of each result; empty for a piece that failed.
    reasons : list of str
        Why each piece failed; empty for a piece with a result.
    wait_s_by_level : tuple of float
        `Backlog.wait_s_by_level` of the endpoint.
    backoff_s : float
        Time for which the endpoint wants no calls from the owner.
    """

    KIND: ClassVar[str] = "gateway.made"

    correlation_id: int
    endpoint: str
    handles: list[str]
    reasons: list[str]
    wait_s_by_level: tuple[float, ...]
    backoff_s: float = 0.0


class ReleaseNotification(PeerMessage, frozen=True, array_like=True):
    """Tells the owner of an endpoint that results there are no longer needed."""

    KIND: ClassVar[str] = "gateway.release"

    endpoint: str
    handles: list[str]


class CancelNotification(PeerMessage, frozen=True, array_like=True):
    """Tells the owner of an endpoint to drop the queued pieces of a request."""

    KIND: ClassVar[str] = "gateway.cancel"

    endpoint: str
    request_id: str


class CommitNotification(PeerMessage, frozen=True, array_like=True):
    """Tells the owner of an endpoint that a request with queued pieces is committed.

    Its results occupy space, so its queued pieces are then computed first.
    """

    KIND: ClassVar[str] = "gateway.commit"

    endpoint: str
    request_id: str


class PlaceItem(Struct, frozen=True, array_like=True):
    """Pieces of one stage of a request, for which a place at an endpoint is asked.

    Attributes
    ----------
    endpoint : str
        Endpoint that is to compute the pieces.
    stage, group : int
        Index of the stage, and of the first of the pieces within it.
    pieces : int
        Number of pieces.
    result_bytes : int
        Approximate size of each result.
    arrives_in_s : float
        Time after which the pieces are expected to arrive.
    latest_start_in_s : float
        Time within which they have to start for the latency target.
    latest_useful_in_s : float
        Time after which a start is of no use.
    """

    endpoint: str
    stage: int
    group: int
    pieces: int
    result_bytes: int
    arrives_in_s: float
    latest_start_in_s: float
    latest_useful_in_s: float


class PlaceQuery(PeerMessage, frozen=True, array_like=True):
    """Asks the owner of endpoints for places there.

    Attributes
    ----------
    request_id : str
        Id of the caller's request.
    priority : int
        Priority of the request; 0 is the most urgent.
    team : str
        Team of the caller; empty if there is none.
    has_returned : bool
        Whether the caller was refused before.
    fingerprint : str
        Identifies the request; the same when the caller returns.
    max_retry_after_s : float
        Longest time after which the caller returns.
    items : list of PlaceItem
        What is asked for.
    is_repeat : bool
        Whether other endpoints have declined the request just now.
    """

    KIND: ClassVar[str] = "gateway.place_query"

    request_id: str
    priority: int
    team: str
    has_returned: bool
    fingerprint: str
    max_retry_after_s: float
    items: list[PlaceItem]
    is_repeat: bool = False


class PlaceAnswer(Struct, frozen=True, array_like=True):
    """Whether a place is promised.

    Attributes
    ----------
    is_promised : bool
        Whether it is.
    is_on_time : bool
        Whether the pieces are expected to start in time for the latency target.
    starts_in_s : float
        Expected time until they start.
    retry_after_s : float
        Time after which the caller should return if no place is promised.
    is_team_limit : bool
        Whether there would be a place if the team were not over its share.
    wait_s_by_level : tuple of float
        `Backlog.wait_s_by_level` of the endpoint.
    backoff_s : float
        Time for which the endpoint wants no calls from the owner.
    """

    is_promised: bool
    is_on_time: bool
    starts_in_s: float
    retry_after_s: float
    is_team_limit: bool
    wait_s_by_level: tuple[float, ...]
    backoff_s: float = 0.0


class PlaceReply(PeerMessage, frozen=True, array_like=True):
    """Answers a `PlaceQuery`, one entry per item in its order."""

    KIND: ClassVar[str] = "gateway.place_reply"

    answers: list[PlaceAnswer]


class PlaceRelease(PeerMessage, frozen=True, array_like=True):
    """Tells an owner that a request no longer needs its places at endpoints.

    Attributes
    ----------
    request_id : str
        Id of the caller's request.
    endpoints : list of str
        Endpoints of the owner.
    is_admitted : bool
        Whether the request has places elsewhere, so that its caller does not return.
    """

    KIND: ClassVar[str] = "gateway.place_release"

    request_id: str
    endpoints: list[str]
    is_admitted: bool = False
