#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 python3 -B review/15/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
