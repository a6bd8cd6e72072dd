#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile; they need Python 3.11 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiles:", path)
PYTHON
