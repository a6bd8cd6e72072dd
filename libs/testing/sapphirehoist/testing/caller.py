"""Test client: discovers entry VMs, submits requests and resumes streams."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import HTTPError


@dataclass(frozen=True, slots=True)
class Response:
    """Response to a request that is not streamed.

    Attributes
    ----------
    status : int
        HTTP status, or 0 if the connection failed.
    body : bytes
        Response body, or the error message if the connection failed.
    headers : dict
        Header values by lower-case name.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def outcome(self) -> str:
        """Return the tag of the outcome, empty if the connection failed."""
        return self.headers.get("x-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason of an outcome other than done."""
        return json.loads(self.body).get("reason", "") if self.body else ""


@dataclass(slots=True)
class StreamedResponse:
    """The part of a streamed response that was received.

    Attributes
    ----------
    text : bytes
        Received text.
    resume_token : str
        Resume token from the ``started`` event.
    is_done : bool
        Whether the ``done`` event was received, which marks the text as complete.
    resume_count : int
        Number of times that the stream was resumed.
    end_data : str
        Data of the ``ended`` event, which ends the stream early.
    """

    text: bytes = b""
    resume_token: str = ""
    is_done: bool = False
    resume_count: int = 0
    end_data: str = ""


class Caller:
    """Client of one team.

    Parameters
    ----------
    url : str
        URL of any entry VM.
    token : str
        Bearer token of the team.
    timeout_s : float
        Connect and read timeout, in seconds.
    """

    __slots__ = ("_pool", "_timeout_s", "_token", "url")

    def __init__(self, url: str, token: str, timeout_s: float = 30.0) -> None:
        self.url = url
        self._token = token
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def fetch_entries(self, url: str = "", region: str = "") -> list[str]:
        """Fetch the URLs of the entry VMs to use."""
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
    ) -> Response:
        """Submit a request and wait for the complete response.

        A non-empty `key` is sent as the idempotency key; `fields` are further fields of
        the request body.
        """
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
            return Response(0, str(exc).encode())
        lower_case_headers = {
            name.lower(): value for name, value in resp.headers.items()
        }
        return Response(resp.status, resp.data, lower_case_headers)

    def stream(
        self,
        class_of_work: str,
        text: str,
        url: str = "",
        on_text: Callable[[StreamedResponse], None] | None = None,
        **fields: object,
    ) -> StreamedResponse | Response:
        """Submit a request and collect its stream until it ends or is interrupted.

        `on_text` is called with the response after each received block.
        """
        body = json.dumps({"class": class_of_work, "input": text, **fields}).encode()
        headers = {**self._headers(), "Accept": "text/event-stream"}
        request_url = f"{url or self.url}/v1/requests"
        return self._collect_stream(
            request_url, body, headers, StreamedResponse(), on_text
        )

    def resume(
        self,
        response: StreamedResponse,
        url: str = "",
        on_text: Callable[[StreamedResponse], None] | None = None,
    ) -> StreamedResponse | Response:
        """Resume an interrupted stream at any entry VM."""
        response.resume_count += 1
        offset = len(response.text)
        token = response.resume_token
        body = json.dumps({"resume_token": token, "offset": offset}).encode()
        request_url = f"{url or self.url}/v1/streams/resume"
        return self._collect_stream(
            request_url, body, self._headers(), response, on_text
        )

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._token}"}

    def _collect_stream(
        self,
        request_url: str,
        body: bytes,
        headers: dict[str, str],
        response: StreamedResponse,
        on_text: Callable[[StreamedResponse], None] | None,
    ) -> StreamedResponse | Response:
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
                return Response(resp.status, resp.data, lower_case_headers)
            buffer = b""
            while block := resp.read1(65_536):
                buffer += block
                while b"\n\n" in buffer:
                    event, buffer = buffer.split(b"\n\n", 1)
                    _apply_event(response, event)
                if on_text is not None:
                    on_text(response)
            resp.release_conn()
        except HTTPError:
            pass
        return response


def _apply_event(response: StreamedResponse, event: bytes) -> None:
    fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
    name = fields.get(b"event", b"")
    if name == b"started":
        response.resume_token = json.loads(fields[b"data"])["resume_token"]
    elif name == b"done":
        response.is_done = True
    elif name == b"ended":
        response.end_data = fields[b"data"].decode()
    elif b"data" in fields:
        response.text += json.loads(fields[b"data"]).encode()
