"""Stand-in for a plain service whose calls are not idempotent.

The stand-in records executions, so a test can assert that no call ran twice.
"""

from __future__ import annotations

import json

import gevent
from bottle import Bottle, HTTPResponse, request

from sapphirehoist.standins.server import drop_connection


class ServiceStandIn:
    """One plain service.

    ``POST /control`` sets the switches ``delay_s`` (float: delay before a call runs),
    ``drop_answers`` (int: that many next calls run, but their responses are lost),
    ``refuse`` (bool: respond with status 409 before the call runs), ``leaving`` (bool:
    refuse calls as a leaving endpoint does) and ``incarnation`` (int).
    """

    def __init__(self) -> None:
        self._delay_s = 0.0
        self._drop_answers = 0
        self._refuse = False
        self._leaving = False
        self._incarnation = 1
        self._executions: list[dict[str, str]] = []
        self.app = Bottle()
        self.app.post("/v1/stages/<stage>", callback=self._run_stage)
        self.app.delete("/v1/requests/<request_id>", callback=lambda request_id: "ok")
        self.app.post("/control", callback=self._set_switches)
        self.app.get("/record", callback=lambda: json.dumps(self._executions))

    def _run_stage(self, stage: str) -> HTTPResponse:
        body = request.body.read()
        request_id = request.get_header("X-Request-Id")
        headers = {
            "X-Incarnation": str(self._incarnation),
            "X-Leaving": str(int(self._leaving)),
            "X-Request-Id": request_id,
            "X-Stage": stage,
            "X-Attempt": request.get_header("X-Attempt"),
        }
        if self._leaving:
            return HTTPResponse("leaving", 503, headers)
        if self._refuse:
            return HTTPResponse("refused", 409, headers)
        if self._delay_s:
            gevent.sleep(self._delay_s)
        self._executions.append(
            {
                "request_id": request_id,
                "team": request.get_header("X-Team", ""),
                "key": request.get_header("Idempotency-Key", ""),
                "stage": stage,
                "body": body.decode(),
            }
        )
        if self._drop_answers:
            self._drop_answers -= 1
            drop_connection()
        response_body = f"{stage} {len(self._executions)}: {body.decode()}"
        return HTTPResponse(response_body.encode(), 200, headers)

    def _set_switches(self) -> str:
        for name, value in json.loads(request.body.read()).items():
            assert hasattr(self, f"_{name}"), name
            setattr(self, f"_{name}", value)
        return "ok"
