"""Calls the operators' interface of one daemon."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TypeVar

import urllib3
from urllib3.exceptions import HTTPError

from sapphirehoist.messages import Malformed, decode_json

T = TypeVar("T")

_REQUEST_TIMEOUT_S = 40.0


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The daemon did not answer, or answered with an error."""

    status: int
    detail: str


class OperatorClient:
    """Client of one operators' URL.

    Parameters
    ----------
    url, token : str
        Where the daemon is, and the operator's bearer token.
    ca_file : str
        Certificate authority to trust instead of the system's; empty for the system's.
    """

    __slots__ = ("_headers", "_http_pool", "url")

    def __init__(self, url: str, token: str, ca_file: str = "") -> None:
        self.url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http_pool = urllib3.PoolManager(retries=False, ca_certs=ca_file or None)

    @classmethod
    def from_environment(cls, url: str = "") -> OperatorClient:
        """Return a client for SAPPHIREHOIST_URL with SAPPHIREHOIST_TOKEN."""
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
        """Return the decoded answer."""
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
        answer = decode_json(resp.data, response_type)
        if isinstance(answer, Malformed):
            return CallFailure(resp.status, answer.detail)
        return answer
