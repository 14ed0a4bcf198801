#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 need the standard library of Python alone: checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/run.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PY
