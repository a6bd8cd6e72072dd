"""Stand-in for the platform: table service, object store and VM list."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

import gevent
import msgspec
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.messages import encode_json
from sapphirehoist.standins.server import drop_connection
from sapphirehoist.storage import (
    ERA_HEADER,
    Committed,
    Conflict,
    MemoryTableService,
)
from sapphirehoist.storage.http import ReadRequest, TransactRequest

_JSON_HEADERS = {"Content-Type": "application/json"}


class PlatformStandIn:
    """Serves an in-memory table, objects and a VM list, with injected faults.

    ``POST /control`` sets the switches ``down`` (bool: respond with status 503),
    ``slow_s`` (float: delay of every call), ``lose_answers`` (int: that many next
    transactions take effect, but their responses are lost), ``vms`` (list: the VM list)
    and ``vms_lag_s`` (float: delay until a new VM list is visible). ``copy`` (bool)
    makes a copy of the table, and ``restore`` (bool) restores the table from it.
    """

    def __init__(self) -> None:
        self._table = MemoryTableService()
        self._table_copy = self._table.make_copy()
        self._objects: dict[str, bytes] = {}
        self._down = False
        self._slow_s = 0.0
        self._lose_answers = 0
        self._vms_lag_s = 0.0
        self._vms: list[dict[str, Any]] = []
        self._published_vms: deque[list[dict[str, Any]]] = deque([[]], maxlen=1)
        self._counts = {"reads": 0, "transactions": 0, "rows_written": 0}
        self.app = Bottle()
        self.app.get("/v1/rows", callback=self._read_prefix)
        self.app.post("/v1/read", callback=self._read)
        self.app.post("/v1/transact", callback=self._transact)
        self.app.get("/v1/objects/<key:path>", callback=self._get_object)
        self.app.put("/v1/objects/<key:path>", callback=self._put_object)
        self.app.delete("/v1/objects/<key:path>", callback=self._delete_object)
        self.app.get("/v1/vms", callback=self._read_vms)
        self.app.post("/control", callback=self._set_switches)
        self.app.get("/counts", callback=lambda: json.dumps(self._counts))
        self.app.get("/dump", callback=self._dump_rows)

    def _inject_faults(self) -> None:
        if self._slow_s:
            gevent.sleep(self._slow_s)
        if self._down:
            raise self._respond(b"down", 503)

    def _read_prefix(self) -> HTTPResponse:
        self._inject_faults()
        self._counts["reads"] += 1
        rows = self._table.read_prefix(request.query["prefix"])
        return self._respond(encode_json(rows.rows))

    def _respond(self, body: bytes, status: int = 200) -> HTTPResponse:
        headers = {**_JSON_HEADERS, ERA_HEADER: str(self._table.era.value)}
        return HTTPResponse(body, status, headers)

    def _read(self) -> HTTPResponse:
        self._inject_faults()
        self._counts["reads"] += 1
        keys = msgspec.json.decode(request.body.read(), type=ReadRequest).keys
        return self._respond(encode_json(self._table.read(keys).rows))

    def _transact(self) -> HTTPResponse:
        self._inject_faults()
        body = msgspec.json.decode(request.body.read(), type=TransactRequest)
        self._counts["transactions"] += 1
        outcome = self._table.transact(body.conditions, body.writes)
        if isinstance(outcome, Committed):
            self._counts["rows_written"] += len(body.writes)
        if self._lose_answers:
            self._lose_answers -= 1
            drop_connection()
        status = 409 if isinstance(outcome, Conflict) else 200
        return self._respond(encode_json(outcome), status)

    def _get_object(self, key: str) -> HTTPResponse:
        self._inject_faults()
        if key not in self._objects:
            return HTTPResponse("absent", 404)
        return HTTPResponse(self._objects[key], 200)

    def _put_object(self, key: str) -> HTTPResponse:
        self._inject_faults()
        self._objects[key] = request.body.read()
        return HTTPResponse("stored", 200)

    def _delete_object(self, key: str) -> HTTPResponse:
        self._inject_faults()
        self._objects.pop(key, None)
        return HTTPResponse("deleted", 200)

    def _read_vms(self) -> HTTPResponse:
        self._inject_faults()
        states = {"type": "VmStates", "vms": self._published_vms[0]}
        return HTTPResponse(json.dumps(states), 200, _JSON_HEADERS)

    def _dump_rows(self) -> HTTPResponse:
        """Return all rows despite injected faults, for invariant checks in tests."""
        rows = self._table.read_prefix(request.query.get("prefix", "")).rows
        values = {row.key: row.value.decode() for row in rows}
        return HTTPResponse(json.dumps(values), 200, _JSON_HEADERS)

    def _set_switches(self) -> str:
        switches = json.loads(request.body.read())
        self._down = switches.get("down", self._down)
        self._slow_s = switches.get("slow_s", self._slow_s)
        self._lose_answers = switches.get("lose_answers", self._lose_answers)
        self._vms_lag_s = switches.get("vms_lag_s", self._vms_lag_s)
        if switches.get("copy"):
            self._table_copy = self._table.make_copy()
        if switches.get("restore"):
            self._table.restore(self._table_copy)
        if "vms" in switches:
            vms = switches["vms"]
            if self._vms_lag_s:
                gevent.spawn_later(self._vms_lag_s, self._published_vms.append, vms)
            else:
                self._published_vms.append(vms)
        return "ok"
