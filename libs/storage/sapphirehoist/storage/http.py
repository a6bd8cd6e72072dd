"""HTTP adapters of the platform's services.

A refused connection is `Unavailable`: nothing was sent. Any failure after the request
may have left is `Undecided` for a write.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from sapphirehoist.messages import Malformed, decode_json, encode_json
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


class TransactRequest(msgspec.Struct, frozen=True):
    """Body of a transaction."""

    conditions: list[Condition]
    writes: list[Write]


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of a read of single keys."""

    keys: list[str]


class _HttpService:
    """One pooled connection set to a platform service."""

    __slots__ = ("_pool", "_timeout", "_url")

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s)
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Any | Unavailable | Undecided:
        """Return the response, `Unavailable` if nothing left, else `Undecided`."""
        url = self._url + path
        try:
            resp = self._pool.request(
                method, url, body=body, timeout=self._timeout, redirect=False
            )
        except NewConnectionError as exc:
            return Unavailable(f"{method} {path}: no connection: {exc}")
        except HTTPError as exc:
            return Undecided(f"{method} {path}: answer lost: {exc}")
        if resp.status == _STATUS_UNAVAILABLE:
            return Unavailable(f"{method} {path}: status {resp.status}")
        return resp

    def read(self, method: str, path: str, kind: Any, body: bytes | None = None) -> Any:
        """Return a decoded answer, or `Unavailable` for any failure of a read."""
        resp = self.call(method, path, body)
        if isinstance(resp, Unavailable | Undecided):
            return Unavailable(resp.detail)
        if resp.status != _STATUS_OK:
            return Unavailable(f"{method} {path}: status {resp.status}")
        answer = decode_json(resp.data, kind)
        if isinstance(answer, Malformed):
            return Unavailable(f"{method} {path}: {answer.detail}")
        return answer


class HttpTableService(TableService):
    """Table service over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout_s : float
        Longest wait for an answer.
    """

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._http = _HttpService(url, timeout_s)

    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Return all rows whose key starts with `prefix`."""
        path = f"/v1/rows?prefix={quote(prefix, safe='')}"
        rows = self._http.read("GET", path, list[Row])
        return rows if isinstance(rows, Unavailable) else Rows(rows)

    def read(self, keys: list[str]) -> Rows | Unavailable:
        """Return the rows of `keys` that are present."""
        body = encode_json(ReadRequest(keys))
        rows = self._http.read("POST", "/v1/read", list[Row], body)
        return rows if isinstance(rows, Unavailable) else Rows(rows)

    def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> TransactOutcome:
        """Apply `writes` if every condition holds."""
        body = encode_json(TransactRequest(conditions, writes))
        resp = self._http.call("POST", "/v1/transact", body)
        if isinstance(resp, Unavailable | Undecided):
            return resp
        answer: Committed | Conflict | Malformed
        if resp.status == _STATUS_OK:
            answer = decode_json(resp.data, Committed)
        elif resp.status == _STATUS_CONFLICT:
            answer = decode_json(resp.data, Conflict)
        else:
            return Undecided(f"transact: status {resp.status}")
        if isinstance(answer, Malformed):
            return Undecided(f"transact: {answer.detail}")
        return answer


class HttpObjectStore(ObjectStore):
    """Object store over HTTP; see `HttpTableService` for the parameters."""

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._http = _HttpService(url, timeout_s)

    def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, or None where there is none."""
        resp = self._http.call("GET", f"/v1/objects/{quote(key, safe='')}")
        if isinstance(resp, Unavailable | Undecided):
            return Unavailable(resp.detail)
        if resp.status == _STATUS_NOT_FOUND:
            return None
        if resp.status != _STATUS_OK:
            return Unavailable(f"get: status {resp.status}")
        return resp.data

    def put(self, key: str, value: bytes) -> Committed | Unavailable | Undecided:
        """Store the object under `key`."""
        resp = self._http.call("PUT", f"/v1/objects/{quote(key, safe='')}", value)
        if isinstance(resp, Unavailable | Undecided):
            return resp
        if resp.status != _STATUS_OK:
            return Undecided(f"put: status {resp.status}")
        return Committed(0)

    def delete(self, key: str) -> bool:
        """Delete the object; return whether it is known to be absent."""
        resp = self._http.call("DELETE", f"/v1/objects/{quote(key, safe='')}")
        if isinstance(resp, Unavailable | Undecided):
            return False
        return resp.status in (_STATUS_OK, _STATUS_NOT_FOUND)


class HttpVmList(VmList):
    """The platform's VM list over HTTP; see `HttpTableService` for the parameters."""

    __slots__ = ("_http",)

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._http = _HttpService(url, timeout_s)

    def read_vms(self) -> VmStates | Unavailable:
        """Return the list as the platform shows it now."""
        return self._http.read("GET", "/v1/vms", VmStates)
