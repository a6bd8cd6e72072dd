"""Extracts the log lines of one request and describes its outcome."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# A log collector may put a time and a name before the JSON object of a line.
_JSON_AT_LINE_END = re.compile(r"\{.*\}\s*$")
_HIDDEN_FIELDS = ("asctime", "levelname", "name", "message", "vm", "taskName")

_OUTCOME_DESCRIPTIONS = {
    "delivered": "The complete response of the endpoint was delivered to the caller.",
    "endpoint_failure": "The endpoint ran the request and failed; its reply was sent.",
    "cut_off": "The response was interrupted after a part of it was delivered.",
    "caller_left": "The caller closed its connection before the response was complete.",
    "caller_unreachable": "The connection to the caller failed during the response.",
    "no_configuration": "The node had not loaded a configuration yet; nothing ran.",
    "no_route": "No route of the configuration in force matches host and path.",
    "unknown_key": "No team of the configuration in force has the caller's API key.",
    "bad_request": "The request is malformed.",
    "stopping": "The node was shutting down; nothing ran.",
    "no_endpoint": "No endpoint of the service was available; nothing ran.",
    "home_unavailable": "No endpoint is left in the home regions; nothing ran.",
    "endpoints_full": "Endpoints refused every attempt, or none took one; nothing ran.",
    "request_quarantined": "Endpoints crashed on copies of it; nothing ran this time.",
    "prompt_quarantined": "Engines crashed on a part of its prompt; nothing ran.",
    "stream_not_resumable": "No engine that may continue the stream; nothing ran.",
    "overloaded": "A stage had no place for it in time; refused on arrival.",
    "stage_failed": "Its stages failed or were given up; the request did not run.",
    "memory_full": "The VM had no memory for the request's body; nothing ran.",
    "timeout_not_run": "Timed out before it was sent to an endpoint; nothing ran.",
    "timeout": "Timed out while an endpoint processed it; it may have run.",
    "endpoint_lost": "The response of an endpoint was lost; the request may have run.",
    "internal": "The node failed with an internal error.",
}
# Sentences that follow for details which contain the text.
_DETAIL_DESCRIPTIONS = {
    "(cold: ": "Cold endpoints take few requests a second from all VMs together, and"
    " this VM had no share left.",
    "(brittle: ": "Brittle endpoints collapse if they reject many requests; the places"
    " of this VM at them were taken.",
}


@dataclass(frozen=True, slots=True)
class ExplainError:
    """Description of an error that prevents an explanation."""

    detail: str


@dataclass(frozen=True, slots=True)
class _LogLine:
    """One log line of a request; `fields` excludes the hidden fields."""

    at: str
    vm: str
    message: str
    fields: dict[str, Any]

    def format(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.vm} {self.message}: {fields}"


def explain(request_id: str, paths: Iterable[str]) -> str | ExplainError:
    """Return the log lines of a request by time, and a description of its outcome.

    Parameters
    ----------
    request_id : str
        Id of the request, from its `X-Request-Id` header.
    paths : iterable of str
        Log files of one or more processes.

    Returns
    -------
    str or ExplainError
        `ExplainError` where no file is given, a file cannot be read or no line belongs
        to the request.
    """
    lines: list[_LogLine] = []
    files = list(paths)
    if not files:
        return ExplainError("no log file given")
    for path in files:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            return ExplainError(f"{path}: cannot be read: {exc.strerror}")
        lines.extend(_parse_lines(request_id, text))
    if not lines:
        return ExplainError(f"{request_id}: no line in {', '.join(files)}")
    lines.sort(key=lambda line: line.at)
    return "\n".join([*(line.format() for line in lines), "", _describe_outcome(lines)])


def _parse_lines(request_id: str, text: str) -> Iterable[_LogLine]:
    for raw in text.splitlines():
        if request_id not in raw:
            continue
        match = _JSON_AT_LINE_END.search(raw)
        if match is None:
            continue
        try:
            data = json.loads(match.group())
        except ValueError:
            continue
        is_request_line = data.get("request_id") == request_id
        if is_request_line or request_id in data.get("requests", ()):
            fields = {k: v for k, v in data.items() if k not in _HIDDEN_FIELDS}
            yield _LogLine(
                str(data.get("asctime", "")),
                str(data.get("vm", "")),
                str(data.get("message", "")),
                fields,
            )


def _describe_outcome(lines: list[_LogLine]) -> str:
    outcome_lines = [line for line in lines if line.message == "request"]
    if not outcome_lines:
        return "No outcome is logged: the process ended, or its log is not given."
    fields = outcome_lines[-1].fields
    outcome = str(fields.get("outcome", ""))
    detail = f" ({fields['detail']})" if fields.get("detail") else ""
    sentences = [
        sentence for text, sentence in _DETAIL_DESCRIPTIONS.items() if text in detail
    ]
    duration = f" after {fields.get('elapsed_ms', '?')} ms"
    return f"{outcome}{duration}{detail}: " + " ".join(
        [_OUTCOME_DESCRIPTIONS.get(outcome, "unknown outcome."), *sentences]
    )
