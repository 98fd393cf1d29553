#!/usr/bin/env bash
# Guards against an embedding example in README.md that does not compile or lacks a library in its link command.
set -eu
cd "$(dirname "$0")/.."
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
sed -n '/^```cpp$/,/^```$/p' README.md | sed '/^```/d' >"$work/main.cpp"
# The command of the page, with only the names of its files and the build folder replaced.
command="$(sed -n 's/^    \(g++ .*\)$/\1/p' README.md)"
command="${command/main.cpp/$work/main.cpp}"
command="${command/-o main/-o $work/main}"
command="${command/ build\// ${BUILD:-build}/}"
eval "$command"
[ "$("$work/main" | wc -l)" = 2 ] || { echo "FAILED: expected two engines" >&2; exit 1; }
for link in $(grep -oE '\]\([^)#]+\)' README.md | tr -d '()]'); do
    [ -e "$link" ] || { echo "FAILED: README.md links to $link, which does not exist" >&2; exit 1; }
done
echo "README.md: passed"
