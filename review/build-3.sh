#!/usr/bin/env bash
# The stand-ins of the third review need the standard library of Python only: nothing to
# build. Their sources are checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
from pathlib import Path

for path in [Path("rig3.py"), *sorted(Path(".").glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
