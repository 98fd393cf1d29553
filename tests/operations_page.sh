#!/usr/bin/env bash
# Guards against commands in docs/OPERATIONS.md that do not show the cause which the page names.
set -eu
cd "$(dirname "$0")/.."
page=docs/OPERATIONS.md
export PATH="$PWD/${BUILD_NAME:-build}:${BUILD:-build}:$PATH"
[ "$(grep -cE '^    endivestage logs .*docs/examples' "$page")" -ge 5 ] || { echo "FAILED: commands missing" >&2; exit 1; }
while read -r command; do
    [ -n "$(eval "$command")" ] || { echo "FAILED: $command prints nothing" >&2; exit 1; }
done < <(grep -E '^    endivestage logs .*docs/examples' "$page")
expect() {
    endivestage logs --request "$1" docs/examples/logs/*.log | grep -qE "$2" ||
        { echo "FAILED: $1 does not show $2" >&2; exit 1; }
}
expect 94b560227bb954cb 'attempt_failed.* outcome=broken reused=false begun=false'
expect 94b560227bb954cb 'result=outcome_unknown status=502'
expect 5478f8966d6e48da 'attempt_failed.* begun=true'
expect 5478f8966d6e48da 'source_changed.* age_ms=1954'
expect 04fc22bcf147f4dc 'result=store_unavailable status=503 endpoint="" sends=0'
expect 04fc22bcf147f4dc 'event=serving'
# Every event and metric of the sources must be on the page.
for name in $(grep -rhoE '"(endivestage_[a-z_]+)"' endivestage/serving | tr -d '"' | sort -u); do
    grep -q "$name" "$page" || { echo "FAILED: $name is not in $page" >&2; exit 1; }
done
for event in $(grep -rhoE 'log_level::[a-z]+, "[a-z_]+"' endivestage/serving platform | sed 's/.*"\(.*\)"/\1/' | sort -u); do
    grep -qE "\`$event\`" "$page" || { echo "FAILED: event $event is not in $page" >&2; exit 1; }
done
echo "OPERATIONS.md: passed"
