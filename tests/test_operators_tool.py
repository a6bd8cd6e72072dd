"""sapphirehoistctl against running daemons: tables, JSON output and exit codes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from fleets import make_caller, start_fleet

from sapphirehoist.testing import Deployment, ManagedProcess
from sapphirehoist.testing.deployment import OPERATOR_TOKEN

CHANGED_TARGET = """
// A lower latency target for class quick.
[{"type": "class_of_work", "name": "quick", "pipeline": "answers", "target_ms": 900}]
"""


class TestTool:
    @pytest.fixture(autouse=True)
    def fleet(self, deployment: Deployment, tmp_path: Path) -> None:
        start_fleet(deployment, daemons=2, engines=1)
        self.deployment = deployment
        self.folder = tmp_path
        self.run_count = 0

    def run_tool(self, *arguments: str, token: str = OPERATOR_TOKEN) -> tuple[int, str]:
        self.run_count += 1
        log = self.folder / f"ctl-{self.run_count}.log"
        url = self.deployment.daemons["entry-1"].operator_url
        process = ManagedProcess(
            "sapphirehoist.ctl.main",
            arguments,
            log,
            {"SAPPHIREHOIST_URL": url, "SAPPHIREHOIST_TOKEN": token, "PAGER": "cat"},
        )
        code = process.wait(30)
        assert code is not None
        return code, log.read_text()

    def write_file(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_apply_diff_history_get(self) -> None:
        path = self.write_file("changed.jsonc", CHANGED_TARGET)
        assert "target_ms: 5000 -> 900" in self.run_tool("diff", path)[1]
        code, text = self.run_tool("apply", path)
        assert (code, "accepted: version 2" in text) == (0, True)
        assert self.run_tool("diff", path) == (0, "no difference\n")
        assert "class_of_work/quick" in self.run_tool("history")[1]
        code, text = self.run_tool("get", "class_of_work", "quick", "--json")
        assert json.loads(text)[0]["target_ms"] == 900
        code, text = self.run_tool("apply", path, "--expect=1")
        assert (code, "conflict: version 2 came first" in text) == (1, True)

    def test_errors_name_their_cause(self) -> None:
        unknown = (
            '[{"type": "class_of_work", "name": "q", "pipeline": "p", "target_ms": 9}]'
        )
        code, text = self.run_tool("apply", self.write_file("unknown.jsonc", unknown))
        assert code == 1
        assert "pipeline: 'p' is unknown; allowed: answers, reservations" in text
        broken = '[{"type": "team", "name": "A b", "token_sha256": "x"}]'
        code, text = self.run_tool("apply", self.write_file("broken.jsonc", broken))
        assert (code, "$[0].name" in text) == (1, True)
        assert self.run_tool("status", token="forged")[0] == 1
        assert self.run_tool("status", "--url=http://127.0.0.1:9")[0] == 2

    def test_status_drain_report_timeline(self) -> None:
        caller = make_caller(self.deployment, "entry-2")
        assert caller.submit("quick", "tokens=21").status == 200
        caller.stream("quick", "tokens=12")
        code, text = self.run_tool("status")
        assert (code, text.count("alive")) == (0, 2)
        code, text = self.run_tool("drain", "engine-1")
        assert (code, "engine-1" in text) == (0, True)
        assert self.run_tool("drain", "engine-9")[0] == 1
        code, text = self.run_tool("report")
        lines = {line.split()[0]: line.split() for line in text.splitlines() if line}
        assert lines["quick"][1:4] == ["2", "2", "100.0%"]
        assert lines["generate"][1:3] == ["2", "0"]
        assert lines["generate"][4] == "33"
        code, text = self.run_tool("timeline")
        assert "config_in_force" in text and "endpoint_leaving" in text
        trace = str(self.folder / "trace.json")
        assert self.run_tool("timeline", f"--trace={trace}")[0] == 0
        names = {event["name"] for event in json.loads(Path(trace).read_text())}
        assert {"process_name", "endpoint_leaving"} <= names
