#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file. The stand-ins are in
# Python's standard library alone (standins-2/kit.py), so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in standins-2/kit.py [6-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
