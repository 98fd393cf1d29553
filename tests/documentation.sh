#!/usr/bin/env bash
# Guards against doc comments of public headers that refer to unknown names or are malformed.
# Argument: the build folder.
set -eu
cd "$(dirname "$0")/.."
{ cat Doxyfile; echo "OUTPUT_DIRECTORY = $1/doxygen"; } | doxygen -
