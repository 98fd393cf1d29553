#!/usr/bin/env bash
# Guards against a page for operators whose examples the binary rejects, and against settings, configuration keys and
# commands that exist but are missing from the page.
set -eu
cd "$(dirname "$0")/.."
page=docs/operators.md
binary="${BUILD:-build}/endivestage"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
fail() {
    echo "FAILED: $*" >&2
    exit 1
}

"$binary" config check docs/examples/configuration || fail "the example configuration is rejected"
sed -n '/^```json$/,/^```$/p' "$page" | sed '/^```/d' >"$work/settings.json"
"$binary" router --settings "$work/settings.json" --check || fail "the example settings are rejected"

# Keys that the parsers read, extracted from their sources.
settings_keys="$(grep -oE '(text|id|address|port|ip_address|secrets|size|time|object)\("[a-z_]+"' \
    endivestage/daemon/settings.cpp | cut -d'"' -f2 | sort -u)"
configuration_keys="$(grep -oE 'key_rule\{"[a-z_]+"' endivestage/configuration/internal/schema.cpp | cut -d'"' -f2 | sort -u)"
[ "$(echo "$settings_keys" | wc -l)" -ge 30 ] || fail "too few settings found: $settings_keys"
[ "$(echo "$configuration_keys" | wc -l)" -ge 25 ] || fail "too few configuration keys found: $configuration_keys"
for key in $settings_keys $configuration_keys; do
    grep -qE "[\`.]$key[\`.]" "$page" || fail "$page does not describe the key $key"
done

# Subcommands that the binary lists; each long option of a command that the page names must exist.
commands() { "$binary" "$@" --help | sed -n '/^Subcommands:/,$p' | awk 'NR > 1 && NF {print $1}'; }
for name in $(commands); do
    nested="$(commands "$name")"
    for subcommand in ${nested:-""}; do
        grep -q "endivestage $name${subcommand:+ $subcommand}" "$page" || fail "$page does not describe $name $subcommand"
        help="$("$binary" "$name" ${subcommand:+"$subcommand"} --help)"
        for option in $(grep -E "^\| \`endivestage $name${subcommand:+ $subcommand}[ \`]" "$page" | grep -oE -- '--[a-z-]+' | sort -u); do
            grep -qE -- "$option( |,|\$)" <<<"$help" || fail "$name $subcommand has no option $option"
        done
    done
    [ -n "$nested" ] || grep -q "endivestage $name" "$page" || fail "$page does not describe $name"
done

# Exit codes that need no router. The discard port on loopback has no listener.
expect() { # expect CODE ARGUMENTS...
    local code="$1" got=0
    shift
    "$binary" "$@" >"$work/out" 2>&1 || got=$?
    [ "$got" = "$code" ] || fail "$*: exit code $got instead of $code: $(cat "$work/out")"
}
export ENDIVESTAGE_TOKEN=an-operator-token
expect 0 version
expect 2 no-such-command
expect 2 status
expect 2 status --router name:9000
expect 2 status --router 127.0.0.1:9 --token-file "$work/none"
expect 2 request list --router 127.0.0.1:9 --state none
expect 3 config check "$work/none"
expect 3 router --settings "$work"
expect 3 router --settings "$work/none"
expect 5 status --router 127.0.0.1:9
expect 5 zone take-out a --router 127.0.0.1:9
echo '{"zones":{"a":{"region":"north","size":1}}}' >"$work/1.json"
rm "$work/settings.json"
expect 3 config check "$work"
grep -q '^1.json: zones.a.size: unknown_key: ' "$work/out" || fail "the error message names no file and key: $(cat "$work/out")"
echo "docs/operators.md: passed"
