#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use its standard library alone,
# and start nothing but the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
for file in standins/*.py [1-5]/*.py; do
    if [[ -e $file ]]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
