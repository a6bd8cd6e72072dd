"""A caller: asks which entry to use, submits, and resumes streams elsewhere."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import HTTPError


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a whole request.

    Attributes
    ----------
    status : int
        HTTP status; 0 where the connection failed.
    body : bytes
        The body.
    headers : dict
        Header names in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def outcome(self) -> str:
        """Return the tag of the outcome, empty where the connection failed."""
        return self.headers.get("x-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason of an outcome that is not done."""
        return json.loads(self.body).get("reason", "") if self.body else ""


@dataclass(slots=True)
class StreamedAnswer:
    """A streamed answer as far as it came.

    Attributes
    ----------
    text : bytes
        Text received.
    resume_token : str
        Token of the first event.
    is_done : bool
        Whether the engine said that the text is complete.
    resumes : int
        How often the stream was resumed.
    ended : str
        Data of the event that ended the stream early.
    """

    text: bytes = b""
    resume_token: str = ""
    is_done: bool = False
    resume_count: int = 0
    end_data: str = ""


class Caller:
    """A caller of one team.

    Parameters
    ----------
    url : str
        Any entry VM.
    token : str
        The team's bearer token.
    timeout_s : float
        Longest silence that is waited through.
    """

    __slots__ = ("_pool", "_timeout_s", "_token", "url")

    def __init__(self, url: str, token: str, timeout_s: float = 30.0) -> None:
        self.url = url
        self._token = token
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def entries(self, url: str = "", region: str = "") -> list[str]:
        """Return the entry VMs to use."""
        request_url = f"{url or self.url}/v1/entries?region={region}"
        resp = self._pool.request("GET", request_url, timeout=5.0)
        return json.loads(resp.data)["entries"]

    def submit(
        self,
        class_of_work: str,
        text: str,
        url: str = "",
        key: str = "",
        **fields: object,
    ) -> Answer:
        """Submit a request and wait for the whole answer."""
        body = json.dumps({"class": class_of_work, "input": text, **fields}).encode()
        headers = self._headers()
        if key:
            headers["Idempotency-Key"] = key
        try:
            resp = self._pool.request(
                "POST",
                f"{url or self.url}/v1/requests",
                body=body,
                headers=headers,
                timeout=self._timeout_s,
            )
        except HTTPError as exc:
            return Answer(0, str(exc).encode())
        lower_case_headers = {
            name.lower(): value for name, value in resp.headers.items()
        }
        return Answer(resp.status, resp.data, lower_case_headers)

    def stream(
        self,
        class_of_work: str,
        text: str,
        url: str = "",
        on_text: Callable[[StreamedAnswer], None] | None = None,
        **fields: object,
    ) -> StreamedAnswer | Answer:
        """Submit a request and collect its stream until it ends or breaks."""
        body = json.dumps({"class": class_of_work, "input": text, **fields}).encode()
        headers = {**self._headers(), "Accept": "text/event-stream"}
        request_url = f"{url or self.url}/v1/requests"
        return self._collect_stream(
            request_url, body, headers, StreamedAnswer(), on_text
        )

    def resume(
        self,
        answer: StreamedAnswer,
        url: str = "",
        on_text: Callable[[StreamedAnswer], None] | None = None,
    ) -> StreamedAnswer | Answer:
        """Go on with a broken stream at any entry VM."""
        answer.resume_count += 1
        offset = len(answer.text)
        token = answer.resume_token
        body = json.dumps({"resume_token": token, "offset": offset}).encode()
        request_url = f"{url or self.url}/v1/streams/resume"
        return self._collect_stream(request_url, body, self._headers(), answer, on_text)

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._token}"}

    def _collect_stream(
        self,
        request_url: str,
        body: bytes,
        headers: dict[str, str],
        answer: StreamedAnswer,
        on_text: Callable[[StreamedAnswer], None] | None,
    ) -> StreamedAnswer | Answer:
        try:
            resp = self._pool.request(
                "POST",
                request_url,
                body=body,
                headers=headers,
                timeout=self._timeout_s,
                preload_content=False,
            )
            if resp.status != 200:
                lower_case_headers = {
                    name.lower(): value for name, value in resp.headers.items()
                }
                return Answer(resp.status, resp.data, lower_case_headers)
            buffer = b""
            while block := resp.read1(65_536):
                buffer += block
                while b"\n\n" in buffer:
                    event, buffer = buffer.split(b"\n\n", 1)
                    _apply_event(answer, event)
                if on_text is not None:
                    on_text(answer)
            resp.release_conn()
        except HTTPError:
            pass
        return answer


def _apply_event(answer: StreamedAnswer, event: bytes) -> None:
    fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
    name = fields.get(b"event", b"")
    if name == b"started":
        answer.resume_token = json.loads(fields[b"data"])["resume_token"]
    elif name == b"done":
        answer.is_done = True
    elif name == b"ended":
        answer.end_data = fields[b"data"].decode()
    elif b"data" in fields:
        answer.text += json.loads(fields[b"data"]).encode()
