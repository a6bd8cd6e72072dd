"""Finds in log files what decided one request."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Logs may come with a time and a name before the line itself.
_JSON_AT_LINE_END = re.compile(r"\{.*\}\s*$")
_HIDDEN_FIELDS = ("asctime", "levelname", "name", "message", "vm", "taskName")

_OUTCOME_DESCRIPTIONS = {
    "delivered": "The caller got the endpoint's whole answer.",
    "endpoint_failure": "The endpoint ran the request and failed; that was passed on.",
    "cut_off": "The stream broke off after a part of it had reached the caller.",
    "caller_left": "The caller closed its connection before the answer was complete.",
    "caller_unreachable": "The caller's connection broke while it was answered.",
    "no_configuration": "The node had no configuration yet; nothing ran.",
    "no_route": "No route of the configuration in force matched host and path.",
    "unknown_key": "No team of the configuration in force holds the caller's key.",
    "bad_request": "The request could not be understood.",
    "stopping": "The node was about to stop; nothing ran.",
    "no_endpoint": "No endpoint of the service could be tried; nothing ran.",
    "endpoints_full": "Every allowed attempt was refused by endpoints; nothing ran.",
    "overloaded": "The stages could not have been made in time; refused at once.",
    "stage_failed": "The stages could not be made; the request itself did not run.",
    "timeout_not_run": "Its time ended before an endpoint was asked; nothing ran.",
    "timeout": "Its time ended while an endpoint was at work; it may have run.",
    "endpoint_lost": "An endpoint was asked and its answer was lost; it may have run.",
    "internal": "The node failed.",
}


@dataclass(frozen=True, slots=True)
class ExplainError:
    """Why nothing can be explained."""

    detail: str


@dataclass(frozen=True, slots=True)
class _LogLine:
    """One line of a log."""

    at: str
    vm: str
    message: str
    fields: dict[str, Any]

    def format(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.vm} {self.message}: {fields}"


def explain(request_id: str, paths: Iterable[str]) -> str | ExplainError:
    """Return every line on a request, in order, and a sentence on its end.

    Parameters
    ----------
    request_id : str
        The caller's `X-Request-Id`.
    paths : iterable of str
        Log files of any number of processes.

    Returns
    -------
    str or ExplainFault
        `ExplainFault` names a file that cannot be read, or says that no line of the
        files is on the request.
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
        return "No end is logged: the process ended, or its lines are not in the files."
    fields = outcome_lines[-1].fields
    outcome = str(fields.get("outcome", ""))
    detail = f" ({fields['detail']})" if fields.get("detail") else ""
    duration = f" after {fields.get('elapsed_ms', '?')} ms"
    return (
        f"{outcome}{duration}{detail}: "
        f"{_OUTCOME_DESCRIPTIONS.get(outcome, 'unknown outcome.')}"
    )
