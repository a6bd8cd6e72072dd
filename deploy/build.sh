#!/usr/bin/env bash
# Installs what runs under target/deps and lays the workspace's libraries beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/sapphirehoist
mkdir -p target/deps/sapphirehoist
for room in libs/*/sapphirehoist platform/sapphirehoist; do
    cp -R "$room"/. target/deps/sapphirehoist/
done
find target/deps/sapphirehoist -name tests -type d -prune -exec rm -rf {} +
