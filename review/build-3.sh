#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs of stand-ins-3 and of the cases; this checks that they can run.
set -eu
cd "$(dirname "$0")"
test -x ../target/endivestage || { echo "build the line \"build\" of deploy/system.toml first" >&2; exit 1; }
python3 -c 'import ast, sys
assert sys.version_info >= (3, 9)
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' stand-ins-3/lab.py $(ls 1[1-5]/case.py 2>/dev/null)
