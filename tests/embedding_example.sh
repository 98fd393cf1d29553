#!/usr/bin/env bash
# Guards against an installed package that lacks a header or symbol, or that another project cannot
# find: installs the library to a temporary prefix, then configures, builds and runs the example.
# Arguments: the build folder and the C++ compiler.
set -eu
build="$1"
compiler="$2"
source="$(cd "$(dirname "$0")/.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >"$work/install.log"
cmake -S "$source/examples/embedding" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" \
    -DCMAKE_CXX_COMPILER="$compiler"
cmake --build "$work/build"
"$work/build/embedding"
