"""Calls endpoints over HTTP, with urllib3's retries and redirects turned off."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import urllib3
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import Endpoint
from sapphirehoist.decisions import EventSplitter
from sapphirehoist.endpoints.client import (
    FINAL_EVENT,
    Answered,
    CallOutcome,
    EndpointClient,
    EndpointReport,
    Lost,
    NotSent,
    Refused,
    StageCall,
    Stream,
    StreamBroken,
    StreamResumeCall,
    TimedOut,
)
from sapphirehoist.http1 import (
    WholeHeadConnection,
    WholeHeadPoolManager,
    WholeHeadTlsConnection,
    is_framed,
    read_whole,
)
from sapphirehoist.sockets import WorkTurns

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
_MAX_CONNECTIONS_PER_POOL = 64
_MAX_POOLS = 1024
# A larger block may hold thousands of events, each of which is parsed in one go.
_READ_SIZE_BYTES = 8_192
_MAX_DIGITS = 15
_STATUS_OK = 200
_BUSY_STATUSES = (429, 503)


class _Http10Connection(WholeHeadConnection):
    """Sends HTTP/1.0 requests, so that the server ends a stream by disconnecting.

    The response then has no chunked encoding to decode. The stream's last event tells
    that it is complete.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class _Http10TlsConnection(WholeHeadTlsConnection):
    """Sends HTTP/1.0 requests over TLS, like `_Http10Connection`."""

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class _Http10ConnectionPool(HTTPConnectionPool):
    ConnectionCls = _Http10Connection


class _Http10TlsConnectionPool(HTTPSConnectionPool):
    ConnectionCls = _Http10TlsConnection


class HttpEndpointClient(EndpointClient):
    """HTTP client of endpoints, with separate connection pools for streams.

    Parameters
    ----------
    clock : Clock
        Measures the time that streams have left.
    """

    __slots__ = ("_clock", "_pool_manager", "_stream_pool_manager", "_turns")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turns = WorkTurns(clock)
        self._pool_manager = WholeHeadPoolManager(
            num_pools=_MAX_POOLS, maxsize=_MAX_CONNECTIONS_PER_POOL
        )
        self._stream_pool_manager = WholeHeadPoolManager(
            _Http10ConnectionPool, _Http10TlsConnectionPool, num_pools=_MAX_POOLS
        )

    def call(self, endpoint: Endpoint, call: StageCall) -> CallOutcome:
        """Call a stage and wait for the complete response."""
        ends_at = self._clock.monotonic() + call.timeout_s
        resp = self._send_request(
            "POST",
            _stage_url(endpoint, call),
            _build_headers(call),
            call.body,
            call.timeout_s,
        )
        if not isinstance(resp, urllib3.BaseHTTPResponse):
            return resp
        try:
            remaining_s = max(0.0, ends_at - self._clock.monotonic())
            body = read_whole(resp, remaining_s).data
        except ReadTimeoutError as exc:
            return TimedOut(f"{endpoint.name}: {exc}")
        except HTTPError as exc:
            return Lost(f"{endpoint.name}: {exc}")
        report = _parse_report(resp)
        # A late copy of the reply to an earlier call may arrive on its connection. As a
        # refusal, it would state that this call did not run.
        mismatch = _describe_mismatch(resp, call)
        if mismatch:
            return Lost(f"{endpoint.name}: {mismatch}")
        if resp.status != _STATUS_OK:
            return _classify_error_status(endpoint, resp.status, body, report)
        if not is_framed(resp):
            return Lost(f"{endpoint.name}: the end of the answer is not known")
        return Answered(body, report)

    def open_stream(
        self, endpoint: Endpoint, call: StageCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Call a stage that streams its output; return once the stream is open."""
        headers = _build_headers(call)
        headers["Accept"] = "text/event-stream"
        url = _stage_url(endpoint, call)
        resp = self._send_request(
            "POST", url, headers, call.body, call.timeout_s, self._stream_pool_manager
        )
        if isinstance(resp, urllib3.BaseHTTPResponse):
            mismatch = _describe_mismatch(resp, call)
            if mismatch:
                resp.close()
                return Lost(f"{endpoint.name}: {mismatch}")
        return self._build_stream(endpoint, resp, call.timeout_s)

    def resume_stream(
        self, endpoint: Endpoint, resume: StreamResumeCall
    ) -> Stream | NotSent | Refused | Lost | TimedOut:
        """Continue an engine's stream at an offset."""
        url = f"{endpoint.url}/v1/streams/{resume.stream_id}?offset={resume.offset}"
        resp = self._send_request(
            "GET", url, {}, None, resume.timeout_s, self._stream_pool_manager
        )
        if isinstance(resp, urllib3.BaseHTTPResponse):
            stream_id = resp.headers.get("X-Stream-Id", resume.stream_id)
            if stream_id != resume.stream_id:
                resp.close()
                return Lost(f"{endpoint.name}: the answer is for stream {stream_id!r}")
        stream = self._build_stream(endpoint, resp, resume.timeout_s)
        if isinstance(stream, HttpStream):
            # A resumed response may leave the id out.
            stream.stream_id = resume.stream_id
        return stream

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to cancel its work on a request."""
        url = f"{endpoint.url}/v1/requests/{request_id}"
        resp = self._send_request("DELETE", url, {}, None, _CANCEL_TIMEOUT_S)
        if isinstance(resp, urllib3.BaseHTTPResponse):
            resp.release_conn()

    def _build_stream(
        self,
        endpoint: Endpoint,
        resp: urllib3.BaseHTTPResponse | NotSent | Lost | TimedOut,
        timeout_s: float,
    ) -> HttpStream | NotSent | Refused | Lost | TimedOut:
        if not isinstance(resp, urllib3.BaseHTTPResponse):
            return resp
        if resp.status == _STATUS_OK:
            return HttpStream(endpoint.name, resp, self._clock, timeout_s, self._turns)
        report = _parse_report(resp)
        try:
            body = read_whole(resp, timeout_s).data
        except HTTPError as exc:
            return Lost(f"{endpoint.name}: {exc}")
        return _classify_error_status(endpoint, resp.status, body, report)

    def _send_request(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        pool_manager: urllib3.PoolManager | None = None,
    ) -> urllib3.BaseHTTPResponse | NotSent | Lost | TimedOut:
        timeout = urllib3.Timeout(
            connect=min(_CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return (pool_manager or self._pool_manager).request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return NotSent(f"{url}: {exc}")
        except ReadTimeoutError as exc:
            return TimedOut(f"{url}: {exc}")
        except HTTPError as exc:
            return Lost(f"{url}: {exc}")


class HttpStream(Stream):
    """Open HTTP response that carries server-sent events.

    The stream is broken once its time has passed, even if single bytes still arrive.

    Parameters
    ----------
    endpoint_name : str
        Name of the endpoint, for details of failures.
    resp : urllib3.BaseHTTPResponse
        Response whose body has not been read.
    clock : Clock
        Measures the time that the stream has left.
    timeout_s : float
        Longest time until the end of the stream, in seconds.
    turns : WorkTurns
        Turns of the streams that have much to parse.
    """

    __slots__ = (
        "_clock",
        "_deadline",
        "_endpoint_name",
        "_turns",
        "report",
        "resp",
        "stream_id",
    )

    def __init__(
        self,
        endpoint_name: str,
        resp: urllib3.BaseHTTPResponse,
        clock: Clock,
        timeout_s: float,
        turns: WorkTurns,
    ) -> None:
        self._clock = clock
        self._turns = turns
        self._deadline = clock.monotonic() + timeout_s
        self.resp = resp
        self.stream_id = resp.headers.get("X-Stream-Id", "")
        self.report = _parse_report(resp)
        self._endpoint_name = endpoint_name

    def events(self) -> Iterator[bytes | StreamBroken]:
        """Yield blocks of complete events; a `StreamBroken`, if any, comes last."""
        splitter = EventSplitter()
        try:
            while block := self._read_block():
                if isinstance(block, StreamBroken):
                    yield block
                    return
                events = splitter.feed(block)
                if events:
                    yield b"".join(event.data for event in events)
                if any(event.name == FINAL_EVENT.encode() for event in events):
                    return
                if splitter.is_oversized:
                    yield StreamBroken(f"{self._endpoint_name}: an event without end")
                    return
        except HTTPError as exc:
            yield StreamBroken(f"{self._endpoint_name}: {exc}")
            return
        yield StreamBroken(f"{self._endpoint_name}: the engine closed the stream")

    def close(self) -> None:
        """Release the connection."""
        self.resp.close()

    def _read_block(self) -> bytes | StreamBroken:
        # Without a pause a timeout does not expire while bytes keep coming.
        self._turns.wait()
        remaining_s = self._deadline - self._clock.monotonic()
        timeout = gevent.Timeout(max(0.0, remaining_s))
        try:
            with timeout:
                if remaining_s > 0:
                    return self.resp.read1(_READ_SIZE_BYTES)
                return StreamBroken(f"{self._endpoint_name}: no time left")
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return StreamBroken(f"{self._endpoint_name}: no time left for the stream")


def _stage_url(endpoint: Endpoint, call: StageCall) -> str:
    return f"{endpoint.url}/v1/stages/{call.stage}"


def _build_headers(call: StageCall) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "X-Attempt": str(call.attempt),
        "X-Team": call.team,
        "X-Priority": str(call.priority),
        "X-Deadline-Ms": str(int(call.timeout_s * 1000)),
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def _describe_mismatch(resp: urllib3.BaseHTTPResponse, call: StageCall) -> str:
    """Return why `resp` is not the response to `call`, or an empty string."""
    received = (
        resp.headers.get("X-Request-Id"),
        resp.headers.get("X-Stage"),
        resp.headers.get("X-Attempt"),
    )
    expected = (call.request_id, call.stage, str(call.attempt))
    if received == expected:
        return ""
    return f"the answer is for {received}, the call was {expected}"


def _parse_report(resp: urllib3.BaseHTTPResponse) -> EndpointReport:
    return EndpointReport(
        _parse_int(resp.headers.get("X-Incarnation")) or 0,
        resp.headers.get("X-Leaving") == "1",
        _parse_int(resp.headers.get("X-Load")),
        _parse_int(resp.headers.get("X-Tokens")) or 0,
    )


def _parse_int(text: str | None) -> int | None:
    """Return the integer in `text`; None for another text or too many digits."""
    is_integer = text is not None and text.isdecimal() and len(text) <= _MAX_DIGITS
    return int(text) if text is not None and is_integer else None


def _classify_error_status(
    endpoint: Endpoint, status: int, body: bytes, report: EndpointReport
) -> Refused | Lost:
    detail = f"{endpoint.name}: status {status}: {body[:200]!r}"
    if status in _BUSY_STATUSES:
        return Refused(detail, is_busy=True, report=report)
    if status < 500:
        return Refused(detail, is_busy=False, report=report)
    return Lost(detail)
