#!/bin/sh
# Builds dist/clementinedyke, one file that runs with Python 3.11.
# Dependencies come from the hash lock. The file unpacks itself on first start
# under /tmp, the only writable directory of an entry host.
set -eu
bin=${BIN:-.venv/bin}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/pip" install -q --require-hashes --target "$work/site" -r requirements.txt
"$bin/pip" install -q --no-deps --no-build-isolation --target "$work/site" .
rm -rf build
mkdir -p dist
"$bin/shiv" --site-packages "$work/site" --root /tmp/clementinedyke \
    --compressed -p '/usr/bin/env python3.11' \
    -e clementinedyke.cli:main -o dist/clementinedyke
wc -c dist/clementinedyke
