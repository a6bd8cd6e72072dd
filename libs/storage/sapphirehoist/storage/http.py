"""HTTP clients of the platform's services.

A failed connection attempt is reported as `Unavailable`, as nothing was sent, and so is
status 503. For a write, any other failure is reported as `Undecided`, including an
attempt to connect that timed out.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from sapphirehoist.http1 import WholeHeadPoolManager, WholeResponse, read_whole
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
from sapphirehoist.storage.era import StoreEra
from sapphirehoist.storage.interface import (
    Committed,
    Condition,
    Conflict,
    ObjectStore,
    Row,
    Rows,
    TableService,
    TransactOutcome,
    Unavailable,
    Undecided,
    VmList,
    VmStates,
    Write,
)

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
# Far longer than the largest response takes to arrive.
_BODY_TIMEOUT_S = 10.0
# Rises by one each time that the service is restored from a copy.
ERA_HEADER = "Store-Era"


class TransactRequest(msgspec.Struct, frozen=True):
    """Request body of a transaction."""

    conditions: list[Condition]
    writes: list[Write]


class ReadRequest(msgspec.Struct, frozen=True):
    """Request body of a read by keys."""

    keys: list[str]


class _HttpClient:
    """Connection pool of one platform service, whose eras it observes."""

    __slots__ = ("_pool", "_timeout", "_url", "era")

    def __init__(self, url: str, timeout_s: float) -> None:
        self.era = StoreEra()
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s)
        self._pool = WholeHeadPoolManager(maxsize=8)

    def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> WholeResponse | Unavailable | Undecided:
        """Send a request and return the response.

        Returns
        -------
        WholeResponse, Unavailable or Undecided
            `Unavailable` if the attempt to connect failed, other than by a timeout, or
            the status is 503; `Undecided` on any other failure without a response, or
            if the response is of an earlier era, so that its effect may be lost.
        """
        url = self._url + path
        try:
            resp = read_whole(
                self._pool.request(
                    method,
                    url,
                    body=body,
                    timeout=self._timeout,
                    redirect=False,
                    preload_content=False,
                ),
                _BODY_TIMEOUT_S,
            )
        except NewConnectionError as exc:
            return Unavailable(f"{method} {path}: no connection: {exc}")
        except HTTPError as exc:
            return Undecided(f"{method} {path}: answer lost: {exc}")
        era = resp.headers.get(ERA_HEADER, "")
        if not self.era.observe(int(era) if era.isdecimal() else None):
            return Undecided(f"{method} {path}: answer of an earlier era")
        if resp.status == _STATUS_UNAVAILABLE:
            return Unavailable(f"{method} {path}: status {resp.status}")
        return resp

    def read(
        self, method: str, path: str, response_type: Any, body: bytes | None = None
    ) -> Any:
        """Return the decoded response of a read, or `Unavailable` if it failed."""
        resp = self.send(method, path, body)
        if isinstance(resp, Unavailable | Undecided):
            return Unavailable(resp.detail)
        if resp.status != _STATUS_OK:
            return Unavailable(f"{method} {path}: status {resp.status}")
        decoded = decode_json(resp.data, response_type)
        if isinstance(decoded, MalformedMessage):
            return Unavailable(f"{method} {path}: {decoded.detail}")
        return decoded


class HttpTableService(TableService):
    """Table service over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout_s : float
        Read timeout in seconds. The connect timeout is the same, but at most 1 s.
    """

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._http = _HttpClient(url, timeout_s)

    @property
    def era(self) -> StoreEra:
        """Return the latest era that the responses have reported."""
        return self._http.era

    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Return all rows whose key starts with `prefix`."""
        path = f"/v1/rows?prefix={quote(prefix, safe='')}"
        rows = self._http.read("GET", path, list[Row])
        return rows if isinstance(rows, Unavailable) else Rows(rows)

    def read(self, keys: list[str]) -> Rows | Unavailable:
        """Return the existing rows among `keys`."""
        body = encode_json(ReadRequest(keys))
        rows = self._http.read("POST", "/v1/read", list[Row], body)
        return rows if isinstance(rows, Unavailable) else Rows(rows)

    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` atomically if every condition holds."""
        body = encode_json(TransactRequest(conditions, writes))
        resp = self._http.send("POST", "/v1/transact", body)
        if isinstance(resp, Unavailable | Undecided):
            return resp
        outcome: Committed | Conflict | MalformedMessage
        if resp.status == _STATUS_OK:
            outcome = decode_json(resp.data, Committed)
        elif resp.status == _STATUS_CONFLICT:
            outcome = decode_json(resp.data, Conflict)
        else:
            return Undecided(f"transact: status {resp.status}")
        if isinstance(outcome, MalformedMessage):
            return Undecided(f"transact: {outcome.detail}")
        return outcome


class HttpObjectStore(ObjectStore):
    """Object store over HTTP; see `HttpTableService` for the parameters."""

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._http = _HttpClient(url, timeout_s)

    def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object stored under `key`, or None if there is none."""
        resp = self._http.send("GET", f"/v1/objects/{quote(key, safe='')}")
        if isinstance(resp, Unavailable | Undecided):
            return Unavailable(resp.detail)
        if resp.status == _STATUS_NOT_FOUND:
            return None
        if resp.status != _STATUS_OK:
            return Unavailable(f"get: status {resp.status}")
        if not resp.is_framed:
            return Unavailable("get: the end of the object is not known")
        return resp.data

    def put(self, key: str, value: bytes) -> Committed | Unavailable | Undecided:
        """Store the object under `key`."""
        resp = self._http.send("PUT", f"/v1/objects/{quote(key, safe='')}", value)
        if isinstance(resp, Unavailable | Undecided):
            return resp
        if resp.status != _STATUS_OK:
            return Undecided(f"put: status {resp.status}")
        return Committed(0)

    def delete(self, key: str) -> bool:
        """Delete the object; return whether it is known to be absent afterwards."""
        resp = self._http.send("DELETE", f"/v1/objects/{quote(key, safe='')}")
        if isinstance(resp, Unavailable | Undecided):
            return False
        return resp.status in (_STATUS_OK, _STATUS_NOT_FOUND)


class HttpVmList(VmList):
    """VM list over HTTP; see `HttpTableService` for the parameters."""

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._http = _HttpClient(url, timeout_s)

    def read_vms(self) -> VmStates | Unavailable:
        """Return the platform's current list."""
        return self._http.read("GET", "/v1/vms", VmStates)
