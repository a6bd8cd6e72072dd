"""Streams across processes: each caller gets the complete text of its request."""

from __future__ import annotations

import gevent
import pytest
from fleets import (
    DEPOT_TOKEN,
    STUDIO_TOKEN,
    compute_expected_text,
    make_caller,
    start_fleet,
)

from sapphirehoist.testing import (
    Deployment,
    Response,
    StreamedResponse,
    post_control,
    read_json,
    wait_until,
)

LONG_PROMPT = "summarise the session tokens=120"


@pytest.fixture(autouse=True)
def fleet(deployment: Deployment) -> None:
    start_fleet(deployment)


def find_engine(deployment: Deployment) -> str:
    """Return the name of the engine that received the only request."""
    names = ("engine-1", "engine-2")
    return next(n for n in names if read_json(deployment.endpoints[n].url, "/record"))


def start_stream(deployment: Deployment, vm: str) -> tuple[gevent.Greenlet, list]:
    """Start a stream; return its task and the list of its progress."""
    progress: list[StreamedResponse] = []
    caller = make_caller(deployment, vm)
    task = gevent.spawn(caller.stream, "quick", LONG_PROMPT, on_text=progress.append)
    wait_until(lambda: progress and len(progress[-1].text) > 100, "some text arrived")
    return task, progress


def test_stream_is_resumed_after_its_entry_is_killed(
    deployment: Deployment,
) -> None:
    task, _ = start_stream(deployment, "entry-1")
    deployment.daemons["entry-1"].process.kill()
    interrupted = task.get()
    assert isinstance(interrupted, StreamedResponse)
    assert not interrupted.is_done
    resumed = make_caller(deployment, "entry-2").resume(interrupted)
    assert isinstance(resumed, StreamedResponse)
    assert resumed.is_done
    assert resumed.text == compute_expected_text(LONG_PROMPT)


def test_stream_is_resumed_at_another_entry(deployment: Deployment) -> None:
    # The stream lasts longer than the timeout that cancels abandoned streams.
    text = "summarise the session tokens=1300"
    progress: list[StreamedResponse] = []

    class CallerMoved(Exception):
        pass

    def disconnect(response: StreamedResponse) -> None:
        progress.append(response)
        if len(response.text) > 100:
            raise CallerMoved

    with pytest.raises(CallerMoved):
        make_caller(deployment, "entry-1").stream("quick", text, on_text=disconnect)
    resumed = make_caller(deployment, "entry-3").resume(progress[-1])
    assert isinstance(resumed, StreamedResponse)
    assert resumed.text == compute_expected_text(text)


def test_abandoned_stream_is_cancelled(deployment: Deployment) -> None:
    class CallerDisconnected(Exception):
        pass

    def disconnect(response: StreamedResponse) -> None:
        raise CallerDisconnected

    text = "summarise the session tokens=5000"
    caller = make_caller(deployment, "entry-1")
    with pytest.raises(CallerDisconnected):
        caller.stream("quick", text, on_text=disconnect, deadline_ms=50_000)
    url = deployment.endpoints[find_engine(deployment)].url
    wait_until(
        lambda: any(r["stage"] == "cancel" for r in read_json(url, "/record")),
        "the engine received the cancellation",
    )


def test_engine_closes_streams_before_the_first_token(deployment: Deployment) -> None:
    post_control(deployment.endpoints["engine-1"].url, break_after=1)
    for number in range(4):
        text = f"{number} {LONG_PROMPT}"
        response = make_caller(deployment, "entry-1").stream("quick", text)
        assert isinstance(response, StreamedResponse)
        assert response.text == compute_expected_text(text)


@pytest.mark.parametrize("after", [2, 7, 30])
def test_engine_closes_the_connection(deployment: Deployment, after: int) -> None:
    for name in ("engine-1", "engine-2"):
        post_control(deployment.endpoints[name].url, break_after=after)
    response = make_caller(deployment, "entry-1").stream("quick", LONG_PROMPT)
    assert isinstance(response, StreamedResponse)
    assert response.is_done
    assert response.text == compute_expected_text(LONG_PROMPT)


@pytest.mark.parametrize("resume_as", ["text", "begin", "nothing"])
def test_answer_that_does_not_continue_the_stream_is_not_joined_to_it(
    deployment: Deployment, resume_as: str
) -> None:
    for name in ("engine-1", "engine-2"):
        url = deployment.endpoints[name].url
        post_control(url, break_after=7, resume_as=resume_as)
    response = make_caller(deployment, "entry-1").stream("quick", LONG_PROMPT)
    assert isinstance(response, StreamedResponse)
    assert not response.is_done
    assert "connection_lost" in response.end_data
    assert compute_expected_text(LONG_PROMPT).startswith(response.text)


def test_stream_past_its_deadline_is_ended_and_cancelled(
    deployment: Deployment,
) -> None:
    text = "summarise the session tokens=5000"
    caller = make_caller(deployment, "entry-1")
    response = caller.stream("quick", text, deadline_ms=1500)
    assert isinstance(response, StreamedResponse)
    assert not response.is_done
    assert '"reason":"deadline"' in response.end_data
    url = deployment.endpoints[find_engine(deployment)].url
    wait_until(
        lambda: any(r["stage"] == "cancel" for r in read_json(url, "/record")),
        "the engine received the cancellation",
    )


def test_engine_is_killed(deployment: Deployment) -> None:
    task, _ = start_stream(deployment, "entry-1")
    deployment.stand_ins[find_engine(deployment)].kill()
    response = task.get()
    assert isinstance(response, StreamedResponse)
    assert not response.is_done
    assert "connection_lost" in response.end_data
    assert compute_expected_text(LONG_PROMPT).startswith(response.text)


def test_response_for_another_request_is_rejected(deployment: Deployment) -> None:
    post_control(deployment.endpoints["engine-1"].url, wrong_id=True)
    for number in range(6):
        text = f"question {number}"
        caller = make_caller(deployment, "entry-1")
        response = caller.submit("quick", text)
        assert (response.status, response.body) == (200, compute_expected_text(text))
        streamed = caller.stream("quick", text)
        assert isinstance(streamed, StreamedResponse)
        assert streamed.text == compute_expected_text(text)


def test_teams_may_use_equal_request_ids(deployment: Deployment) -> None:
    def submit(token: str, text: str) -> Response:
        caller = make_caller(deployment, "entry-1", token)
        return caller.submit("quick", text, request_id="request-1")

    texts = [
        (token, f"{token} {n}")
        for n in range(10)
        for token in (STUDIO_TOKEN, DEPOT_TOKEN)
    ]
    tasks = [gevent.spawn(submit, *pair) for pair in texts]
    for task, (_, text) in zip(tasks, texts, strict=True):
        assert task.get().body == compute_expected_text(text)


def test_concurrent_streams_are_not_mixed_up(deployment: Deployment) -> None:
    def stream_text(number: int) -> tuple[str, StreamedResponse | Response]:
        vm = f"entry-{number % 3 + 1}"
        text = f"question {number} tokens={10 + number}"
        return text, make_caller(deployment, vm).stream("quick", text)

    tasks = [gevent.spawn(stream_text, number) for number in range(40)]
    for task in tasks:
        text, response = task.get()
        assert isinstance(response, StreamedResponse), response
        assert response.text == compute_expected_text(text)
