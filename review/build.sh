#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules without
# dependencies, compiled once so that an error shows here.
set -e
cd "$(dirname "$0")"
for file in harness.py [0-9]*/case.py; do
    [ -e "$file" ] && PYTHONDONTWRITEBYTECODE=1 python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')
PY
done
python3 -c 'import tomllib'
