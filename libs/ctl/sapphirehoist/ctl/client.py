"""HTTP client of the operator API of one daemon."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TypeVar

from urllib3.exceptions import HTTPError

from sapphirehoist.http1 import WholeHeadPoolManager
from sapphirehoist.messages import MalformedMessage, decode_json

T = TypeVar("T")

_REQUEST_TIMEOUT_S = 40.0


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that got no response or an unexpected one.

    Attributes
    ----------
    status : int
        HTTP status; 0 where the daemon did not respond.
    detail : str
        Error of the connection or of decoding, or the body of the response.
    """

    status: int
    detail: str


class OperatorClient:
    """Client of the operator API at one URL.

    Parameters
    ----------
    url, token : str
        Base URL of the daemon's operator API, and the operator's bearer token.
    ca_file : str
        Path of a file with the certificate authorities to trust; empty for those of the
        system.
    """

    __slots__ = ("_headers", "_http_pool", "url")

    def __init__(self, url: str, token: str, ca_file: str = "") -> None:
        self.url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http_pool = WholeHeadPoolManager(ca_certs=ca_file or None)

    @classmethod
    def from_environment(cls, url: str = "") -> OperatorClient:
        """Create a client from environment variables.

        The token is read from SAPPHIREHOIST_TOKEN, and the path of the file with the
        certificate authorities from SAPPHIREHOIST_CA.

        Parameters
        ----------
        url : str
            Replaces SAPPHIREHOIST_URL where it is not empty.
        """
        return cls(
            url or os.environ.get("SAPPHIREHOIST_URL", "http://127.0.0.1:7200"),
            os.environ.get("SAPPHIREHOIST_TOKEN", ""),
            os.environ.get("SAPPHIREHOIST_CA", ""),
        )

    def call(
        self,
        method: str,
        path: str,
        response_type: type[T],
        body: bytes | None = None,
        expected_statuses: tuple[int, ...] = (200,),
    ) -> T | CallFailure:
        """Send a request and decode the response.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with query.
        response_type : type
            Type that the JSON body of the response is decoded to.
        body : bytes or None
            Body of the request.
        expected_statuses : tuple of int
            HTTP statuses whose body is decoded; any other one is a failure.

        Returns
        -------
        response_type or CallFailure
            The decoded body, or why there is none.
        """
        try:
            resp = self._http_pool.request(
                method,
                self.url + path,
                body=body,
                headers=self._headers,
                timeout=_REQUEST_TIMEOUT_S,
                redirect=False,
            )
        except HTTPError as exc:
            return CallFailure(0, f"{self.url}: {exc}")
        if resp.status not in expected_statuses:
            return CallFailure(resp.status, resp.data.decode(errors="replace"))
        message = decode_json(resp.data, response_type)
        if isinstance(message, MalformedMessage):
            return CallFailure(resp.status, message.detail)
        return message
