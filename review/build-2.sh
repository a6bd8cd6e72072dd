#!/usr/bin/env bash
# Stand-ins of the second review need the standard library of Python only: nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
from pathlib import Path

for path in [Path("rig2.py"), *sorted(Path(".").glob("[6-9]/case.py")), *Path(".").glob("10/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
