#!/usr/bin/env bash
# Guards against a glossary that names terms which the code has renamed or dropped.
set -eu
cd "$(dirname "$0")/.."
failed=0
names="$(grep '^|' docs/glossary.md | awk -F'|' '{print $4}' | grep -oE '`[a-z_]+`' | tr -d '`' | sort -u)"
[ "$(echo "$names" | wc -l)" -ge 50 ] || { echo "FAILED: too few names found" >&2; exit 1; }
for name in $names; do
    grep -rqw --include='*.hpp' --include='*.cpp' -- "$name" endivestage standin ||
        { echo "FAILED: no $name in the code" >&2; failed=1; }
done
[ "$failed" = 0 ] || exit 1
echo "docs/glossary.md: passed"
