#!/usr/bin/env bash
# The stand-ins of review/standins-2 are Python scripts that need the standard library alone. This
# only compiles them, so that a fault in one shows before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py */run.py; do
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
CHECK
done
