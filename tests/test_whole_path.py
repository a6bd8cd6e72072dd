"""End-to-end tests over sockets between separate processes."""

from __future__ import annotations

import json

import pytest
import urllib3
from fleets import STUDIO_TOKEN, compute_expected_text, make_caller, start_fleet

from sapphirehoist.testing import Caller, Deployment, StreamedResponse, read_json
from sapphirehoist.testing.deployment import OPERATOR_TOKEN


def test_responses_match_the_output_of_the_engine(deployment: Deployment) -> None:
    start_fleet(deployment)
    caller = make_caller(deployment, "entry-1")
    assert sorted(caller.fetch_entries()) == sorted(
        daemon.caller_url for daemon in deployment.daemons.values()
    )
    submitted = caller.submit("quick", "how loud? tokens=30")
    assert (submitted.status, submitted.body) == (
        200,
        compute_expected_text("how loud? tokens=30"),
    )
    streamed = caller.stream("quick", "how far? tokens=30")
    assert isinstance(streamed, StreamedResponse)
    assert streamed.is_done
    assert streamed.text == compute_expected_text("how far? tokens=30")


def test_key_is_executed_once_across_entries(deployment: Deployment) -> None:
    start_fleet(deployment)
    responses = [
        make_caller(deployment, vm).submit("reserve", "booth 7", key="booking-1")
        for vm in deployment.daemons
    ]
    assert {response.body for response in responses} == {b"reserve 1: booth 7"}
    assert len(read_json(deployment.endpoints["reservations-1"].url, "/record")) == 1


class TestInvalidInput:
    """Invalid input is refused with a typed reason and detail, and nothing runs."""

    @pytest.fixture(autouse=True)
    def fleet(self, deployment: Deployment) -> None:
        start_fleet(deployment, daemons=1, engines=1)
        self.deployment = deployment
        self.caller = make_caller(deployment, "entry-1")

    def read_refusal(
        self, body: bytes, token: str = STUDIO_TOKEN
    ) -> tuple[int, str, str]:
        resp = urllib3.request(
            "POST",
            self.caller.url + "/v1/requests",
            body=body,
            headers={"Authorization": f"Bearer {token}"},
        )
        outcome = json.loads(resp.data)
        assert outcome["outcome"] == "not_run"
        return resp.status, outcome["reason"], outcome["detail"]

    def test_refusals_name_the_field(self) -> None:
        cases = [
            (b"{", "Input data was truncated"),
            (b'{"class": "quick"}', "missing required field `input`"),
            (b'{"class": "slow", "input": "x"}', "class: 'slow' is unknown; allowed"),
            (
                b'{"class": "quick", "input": "x", "colour": 1}',
                "unknown field `colour`",
            ),
            (b'{"class": "quick", "input": "x", "deadline_ms": -5}', "deadline_ms: -5"),
            (b'{"class": "quick", "input": "x", "deadline_ms": 9e9}', "deadline_ms"),
            (b'{"class": "quick", "input": 7}', "$.input"),
            (b" " * 1_100_000, "body: 1100000 bytes; allowed: 1048576"),
            (b'{"class": "reserve", "input": "x"}', "Idempotency-Key: missing"),
        ]
        for body, expected_detail in cases:
            status, reason, detail = self.read_refusal(body)
            assert (status, reason) == (400, "invalid"), body
            assert expected_detail in detail, (body, detail)
        body = b'{"class": "quick", "input": "x"}'
        status, reason, detail = self.read_refusal(body, token="forged")
        assert (status, reason) == (401, "unauthorised")
        for endpoint in self.deployment.endpoints.values():
            assert read_json(endpoint.url, "/record") == []
        assert self.caller.submit("quick", "still alive").status == 200

    def test_operator_api_requires_authorisation(self) -> None:
        url = self.deployment.daemons["entry-1"].operator_url
        for path in ("/v1/config", "/v1/status", "/metrics"):
            resp = urllib3.request("GET", url + path)
            assert resp.status == 401
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        text = urllib3.request("GET", url + "/metrics", headers=headers).data.decode()
        assert 'refusals_total{reason="unauthorised"} 3' in text

    def test_foreign_or_forged_resume_token_is_refused(self) -> None:
        other = Caller(self.caller.url, "token-of-the-depot")
        streamed = self.caller.stream("quick", "x")
        assert isinstance(streamed, StreamedResponse)
        foreign = other.resume(streamed)
        assert not isinstance(foreign, StreamedResponse)
        assert foreign.status == 401
        streamed.resume_token = "AAAA" + streamed.resume_token[4:]
        forged = self.caller.resume(streamed)
        assert not isinstance(forged, StreamedResponse)
        assert forged.status == 400
