"""Commands of sapphirehoistctl.

Exit codes: 0 for success; 1 for a refused request, a change that was not accepted in
time, an unexpected response, or input files that are missing or unusable; 2 for a
daemon that did not respond.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TypeVar
from uuid import uuid4

import json5
import msgspec

from sapphirehoist.configuration import (
    Change,
    ChangeRequest,
    ConfigObject,
    ObjectKey,
    Snapshot,
)
from sapphirehoist.configuration.change import object_key
from sapphirehoist.ctl.client import CallFailure, OperatorClient
from sapphirehoist.ctl.diff import diff_objects
from sapphirehoist.ctl.explain import ExplainError, explain
from sapphirehoist.ctl.tables import format_table
from sapphirehoist.ctl.trace import encode_trace
from sapphirehoist.ctl.views import (
    ChangeView,
    ClassRequestCountsView,
    ReportView,
    StageStatsView,
    StatusView,
)
from sapphirehoist.messages import encode_json
from sapphirehoist.observability import TimelineEvent, merge_events

EXIT_FAILURE = 1
EXIT_NO_RESPONSE = 2
_ACCEPTANCE_POLL_S = 2
_CHANGE_HTTP_STATUSES = (200, 409, 422, 504)
_STAGE_HEADER = (
    "stage",
    "calls",
    "retries",
    "busy s",
    "tokens",
    "bytes",
    "cross-region bytes",
)

T = TypeVar("T")


class Commands:
    """Administers a sapphirehoist fleet.

    The URL of a daemon is taken from --url or SAPPHIREHOIST_URL, the operator's token
    from SAPPHIREHOIST_TOKEN, and a private certificate authority from SAPPHIREHOIST_CA.
    """

    def __init__(self, url: str = "", json: bool = False) -> None:
        self._client = OperatorClient.from_environment(url)
        self._json = json

    def get(self, kind: str = "", name: str = "") -> str:
        """Show the configuration objects, optionally of one kind or name."""
        snapshot = self._call("GET", "/v1/config", Snapshot)
        objects = [
            obj
            for obj in snapshot.objects
            if kind in ("", object_key(obj).kind) and name in ("", obj.name)
        ]
        if self._json:
            return _format_json(objects)
        rows = [[object_key(o).kind, o.name, _format_fields(o)] for o in objects]
        table = format_table(["kind", "name", "facts"], rows)
        return f"version {snapshot.version}\n{table}"

    def diff(self, file: str) -> str:
        """Show the changes that `apply` would make."""
        snapshot = self._call("GET", "/v1/config", Snapshot)
        lines = diff_objects(snapshot.objects, _read_objects(file))
        return "\n".join(lines) or "no difference"

    def apply(self, file: str, wait_s: int = 20, expect: int = -1) -> str:
        """Create or update the objects in a file of JSON with comments.

        Waits up to `wait_s` until the change is in force on every VM. `expect` is the
        version that the change is based on, by default the latest one.
        """
        base = self._call("GET", "/v1/config", Snapshot)
        desired_objects = _read_objects(file)
        expected_version = base.version if expect < 0 else expect
        return self._commit(
            ChangeRequest(uuid4().hex, expected_version, desired_objects), base, wait_s
        )

    def delete(self, kind: str, name: str, wait_s: int = 20) -> str:
        """Delete one configuration object."""
        base = self._call("GET", "/v1/config", Snapshot)
        request = ChangeRequest(
            uuid4().hex, base.version, deletes=[ObjectKey(kind, name)]
        )
        return self._commit(request, base, wait_s)

    def history(self) -> str:
        """Show the latest changes of the configuration."""
        changes = self._call("GET", "/v1/config/history", list[Change])
        if self._json:
            return _format_json(changes)
        rows = [
            [c.version, c.committed_at, c.operator, _summarize_change(c)]
            for c in changes
        ]
        return format_table(["version", "committed at", "operator", "objects"], rows)

    def status(self) -> str:
        """Show the fleet in the view of the daemon."""
        status = self._call("GET", "/v1/status", StatusView)
        if self._json:
            return _format_json(status)
        rows = [
            [m.vm, m.region, m.status, "leaving" if m.is_leaving else "", m.caller_url]
            for m in status.members
        ]
        summary = (
            f"{status.vm}: version {status.config_version}, "
            f"{'serving' if status.may_serve else 'not serving'}, "
            f"{status.under_way} requests under way"
        )
        leaving = ", ".join(status.leaving_endpoints) or "none"
        table = format_table(["vm", "region", "status", "", "callers"], rows)
        return f"{summary}\nleaving endpoints: {leaving}\n{table}"

    def drain(self, endpoint: str) -> str:
        """Stop sending new work to an endpoint from every VM."""
        body = encode_json({"endpoint": endpoint})
        leaving = self._call("POST", "/v1/drain", list[str], body)
        return f"leaving endpoints: {', '.join(leaving)}"

    def report(self) -> str:
        """Show SLO attainment by class and cost by stage, summed over all VMs."""
        total = ReportView()
        for report in self._call_all_members("/v1/report", ReportView):
            _merge_report(total, report)
        if self._json:
            return _format_json(total)
        classes = [
            [name, c.admitted, c.met, _format_percent(c.met, c.admitted), c.refused]
            for name, c in sorted(total.classes.items())
        ]
        stages = [
            [
                name,
                stage.calls,
                stage.retries,
                f"{stage.busy_s:.1f}",
                stage.tokens,
                stage.bytes_out,
                stage.cross_region_bytes,
            ]
            for name, stage in sorted(total.stages.items())
        ]
        return "\n\n".join(
            [
                format_table(
                    ["class", "admitted", "met", "attainment", "refused"], classes
                ),
                format_table(
                    _STAGE_HEADER,
                    stages,
                ),
            ]
        )

    def timeline(self, trace: str = "") -> str:
        """Show the events of all VMs in causal order, or write them to a trace file.

        The file `trace` is in the Chrome trace event format.
        """
        events = merge_events(
            self._call_all_members("/v1/timeline", list[TimelineEvent])
        )
        if trace:
            Path(trace).write_bytes(encode_trace(events))
            return f"{len(events)} events written to {trace}"
        if self._json:
            return _format_json(events)
        rows = [
            [f"{e.at.wall_ms}.{e.at.logical}", e.vm, e.kind, e.subject, e.detail]
            for e in events
        ]
        return format_table(["at", "vm", "event", "subject", "detail"], rows)

    def explain(self, request_id: str, *logs: str) -> str:
        """Show the log lines of one request, and a description of its outcome."""
        text = explain(str(request_id), [str(log) for log in logs])
        if isinstance(text, ExplainError):
            _exit_with_error(text.detail, EXIT_FAILURE)
            return ""
        return text

    def _commit(self, request: ChangeRequest, base: Snapshot, wait_s: int) -> str:
        body = encode_json(request)
        result = self._call(
            "POST", "/v1/config/changes", ChangeView, body, _CHANGE_HTTP_STATUSES
        )
        waited_s = 0
        while result.state == "committed" and waited_s < wait_s:
            missing = ", ".join(result.missing) or result.detail
            _print_progress(f"version {result.version}: not yet in force on {missing}")
            path = f"/v1/config/acceptance/{result.version}?wait_s={_ACCEPTANCE_POLL_S}"
            result = self._call("GET", path, ChangeView)
            waited_s += _ACCEPTANCE_POLL_S
        if result.state == "accepted":
            return f"accepted: version {result.version} is in force on every VM"
        _exit_with_error(self._describe_failure(result, base), EXIT_FAILURE)
        return ""

    def _describe_failure(self, result: ChangeView, base: Snapshot) -> str:
        if result.state == "invalid":
            return "invalid, nothing was changed:\n" + "\n".join(result.faults)
        if result.state == "undecided":
            return f"undecided: see `history` for this change; {result.detail}"
        if result.state == "committed":
            missing = ", ".join(result.missing) or result.detail
            return f"committed: version {result.version}; not yet in force on {missing}"
        current = self._call("GET", "/v1/config", Snapshot)
        lines = diff_objects(base.objects, current.objects, show_removed=True)
        diff = "\n".join(lines) or "see `history`"
        return f"conflict: version {result.version} came first:\n{diff}"

    def _call_all_members(self, path: str, response_type: type[T]) -> list[T]:
        """Return the responses of all VMs; print failed calls to standard error."""
        status = self._call("GET", "/v1/status", StatusView)
        responses = []
        for member in status.members:
            client = OperatorClient.from_environment(member.operator_url)
            response = client.call("GET", path, response_type)
            if isinstance(response, CallFailure):
                _print_progress(f"{member.vm}: no answer: {response.detail}")
            else:
                responses.append(response)
        return responses

    def _call(
        self,
        method: str,
        path: str,
        response_type: type[T],
        body: bytes | None = None,
        expected_statuses: tuple[int, ...] = (200,),
    ) -> T:
        response = self._client.call(
            method, path, response_type, body, expected_statuses
        )
        if isinstance(response, CallFailure):
            code = EXIT_FAILURE if response.status else EXIT_NO_RESPONSE
            _exit_with_error(response.detail, code)
        assert not isinstance(response, CallFailure)
        return response


def _read_objects(file: str) -> list[ConfigObject]:
    try:
        data = json5.loads(Path(file).read_text(encoding="utf-8"))
        return msgspec.convert(data, list[ConfigObject])
    except (OSError, ValueError) as exc:
        _exit_with_error(f"{file}: {exc}", EXIT_FAILURE)
        raise


def _format_fields(obj: ConfigObject) -> str:
    fields = msgspec.to_builtins(obj)
    shown = {k: v for k, v in fields.items() if k not in ("name", "type")}
    return " ".join(f"{key}={value}" for key, value in shown.items())


def _summarize_change(change: Change) -> str:
    puts = [f"{object_key(obj).kind}/{obj.name}" for obj in change.puts]
    deletes = [f"-{key.kind}/{key.name}" for key in change.deletes]
    names = puts + deletes
    more = f" and {len(names) - 4} more" if len(names) > 4 else ""
    return ", ".join(names[:4]) + more


def _merge_report(total: ReportView, report: ReportView) -> None:
    for name, class_stats in report.classes.items():
        _add_fields(
            total.classes.setdefault(name, ClassRequestCountsView()), class_stats
        )
    for name, stage_stats in report.stages.items():
        _add_fields(total.stages.setdefault(name, StageStatsView()), stage_stats)


def _add_fields(total: msgspec.Struct, added: msgspec.Struct) -> None:
    for name in total.__struct_fields__:
        setattr(total, name, getattr(total, name) + getattr(added, name))


def _format_percent(count: int, total: int) -> str:
    return f"{100 * count / total:.1f}%" if total else "-"


def _format_json(message: object) -> str:
    return encode_json(message).decode()


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _exit_with_error(text: str, code: int) -> None:
    print(text, file=sys.stderr)
    sys.exit(code)
