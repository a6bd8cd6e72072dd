"""Finds in log files what decided one request."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Logs may come with a time and a name before the line itself.
_LINE = re.compile(r"\{.*\}\s*$")
_HIDDEN = ("asctime", "levelname", "name", "message", "vm", "taskName")

_CAUSES = {
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
class ExplainFault:
    """Why nothing can be explained."""

    detail: str


@dataclass(frozen=True, slots=True)
class _Line:
    """One line of a log."""

    at: str
    vm: str
    message: str
    facts: dict[str, Any]

    def text(self) -> str:
        facts = " ".join(f"{name}={value}" for name, value in self.facts.items())
        return f"{self.at} {self.vm} {self.message}: {facts}"


def explain(request_id: str, paths: Iterable[str]) -> str | ExplainFault:
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
    lines: list[_Line] = []
    files = list(paths)
    if not files:
        return ExplainFault("no log file given")
    for path in files:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            return ExplainFault(f"{path}: cannot be read: {exc.strerror}")
        lines.extend(_lines_on(request_id, text))
    if not lines:
        return ExplainFault(f"{request_id}: no line in {', '.join(files)}")
    lines.sort(key=lambda line: line.at)
    return "\n".join([*(line.text() for line in lines), "", _cause(lines)])


def _lines_on(request_id: str, text: str) -> Iterable[_Line]:
    for raw in text.splitlines():
        if request_id not in raw:
            continue
        match = _LINE.search(raw)
        if match is None:
            continue
        try:
            data = json.loads(match.group())
        except ValueError:
            continue
        is_own = data.get("request_id") == request_id
        if is_own or request_id in data.get("requests", ()):
            facts = {k: v for k, v in data.items() if k not in _HIDDEN}
            yield _Line(
                str(data.get("asctime", "")),
                str(data.get("vm", "")),
                str(data.get("message", "")),
                facts,
            )


def _cause(lines: list[_Line]) -> str:
    ends = [line for line in lines if line.message == "request"]
    if not ends:
        return "No end is logged: the process ended, or its lines are not in the files."
    facts = ends[-1].facts
    outcome = str(facts.get("outcome", ""))
    detail = f" ({facts['detail']})" if facts.get("detail") else ""
    took = f" after {facts.get('elapsed_ms', '?')} ms"
    return f"{outcome}{took}{detail}: {_CAUSES.get(outcome, 'unknown outcome.')}"
