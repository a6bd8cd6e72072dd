"""What nodes and the owners of stage endpoints tell each other."""

from __future__ import annotations

from typing import ClassVar

from sapphirehoist.gateway.dialect import PieceOrder
from sapphirehoist.peers import PeerMessage


class MakeRequest(PeerMessage, frozen=True, array_like=True):
    """Asks an endpoint's owner for pieces of one request.

    Attributes
    ----------
    ticket : int
        Number under which the results are sent back.
    endpoint : str
        Where they are to be made.
    orders : list of PieceOrder
        The pieces.
    limit_s, due_s : float
        Time until they are of no use, and until they have to be begun for their
        request to meet its target.
    priority, result_bytes : int
        Rank of the request; size of each result.
    is_committed : bool
        Whether the request holds a good part of some endpoint's space already.
    """

    KIND: ClassVar[str] = "gateway.make"

    ticket: int
    endpoint: str
    orders: list[PieceOrder]
    limit_s: float
    due_s: float
    priority: int
    result_bytes: int
    is_committed: bool


class MakeAccepted(PeerMessage, frozen=True, array_like=True):
    """The pieces are queued.

    Attributes
    ----------
    ahead_s : tuple of float
        `Backlog` of the endpoint, without them.
    """

    KIND: ClassVar[str] = "gateway.make_accepted"

    ahead_s: tuple[float, ...]


class MadeNews(PeerMessage, frozen=True, array_like=True):
    """The results, one entry for each piece in order.

    Attributes
    ----------
    ticket : int
        `MakeRequest.ticket`.
    endpoint : str
        Where they are.
    handles : list of str
        Handle of each result; empty where there is none.
    reasons : list of str
        Why there is none.
    ahead_s : tuple of float
        `Backlog` of the endpoint.
    """

    KIND: ClassVar[str] = "gateway.made"

    ticket: int
    endpoint: str
    handles: list[str]
    reasons: list[str]
    ahead_s: tuple[float, ...]


class ReleaseNews(PeerMessage, frozen=True, array_like=True):
    """Results at an endpoint are no longer needed."""

    KIND: ClassVar[str] = "gateway.release"

    endpoint: str
    handles: list[str]


class CancelNews(PeerMessage, frozen=True, array_like=True):
    """A request no longer waits for pieces of an endpoint."""

    KIND: ClassVar[str] = "gateway.cancel"

    endpoint: str
    request_id: str


class CommitNews(PeerMessage, frozen=True, array_like=True):
    """A request that waits for pieces of an endpoint holds space elsewhere by now."""

    KIND: ClassVar[str] = "gateway.commit"

    endpoint: str
    request_id: str
