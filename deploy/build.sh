#!/usr/bin/env bash
# Installs what runs under target/deps and lays the workspace's libraries beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=target/deps/sapphirehoist
staged=target/staged.$$
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
mkdir -p "$staged"
for room in libs/*/sapphirehoist platform/sapphirehoist; do
    cp -R "$room"/. "$staged"/
done
find "$staged" \( -name tests -o -name __pycache__ \) -type d -prune -exec rm -rf {} +
# Processes may be starting: what is unchanged stays, and a change is moved in whole.
if ! diff -rq -x __pycache__ "$staged" "$libraries" >/dev/null 2>&1; then
    if [ -e "$libraries" ]; then mv "$libraries" "$staged.old"; fi
    mv "$staged" "$libraries"
fi
rm -rf "$staged" "$staged.old"
