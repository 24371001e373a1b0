#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15: compiles them, as a check. They need
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_in_3_*.py 1[1-5]
