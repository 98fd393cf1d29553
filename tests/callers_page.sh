#!/usr/bin/env bash
# Guards against calls in docs/callers.md that the router answers differently from what the page shows.
# Starts a fleet of three routers, runs the curl lines of docs/callers.md in order and checks their answers.
set -eu
cd "$(dirname "$0")/.."
source "${CLUSTER:-scripts/cluster}"
page=docs/callers.md

begin
export TEAM_TOKEN=crew-token-of-the-page
digest="$(printf %s "$TEAM_TOKEN" | sha256sum | cut -d' ' -f1)"
start_platform
for n in 1 2 3 4; do start_engine "$n"; done
for n in 1 2; do start_service "$n"; done
write_configuration "$work/configuration" 4 2
echo "{\"teams\":{\"crews\":{\"token_digest\":\"$digest\",\"priority_ceiling\":1}}}" >"$work/configuration/50-crews.json"
for n in 1 2 3; do start_router "$n" "${zones[$((n - 1))]}"; done
wait_for "configuration" cli config apply "$work/configuration" --router "$(router_address 1)"
serves() { # A newly started router may not list the other routers yet.
    [ "$(curl -sS "http://$(router_address "$1")/v1/addresses" | grep -o '"id"' | wc -l)" = 3 ] || return 1
    curl -sSN -m 5 -X POST "http://$(router_address "$1")/v1/chats/warm-up/messages" -H "X-Team: knotters" \
        -d '{"pool":"assistant","max_tokens":1,"messages":[{"content":"x"}]}' | grep -q '^event: end'
}
for n in 1 2 3; do wait_for "router $n" serves "$n"; done

# The commands of the page: those lines of its sh blocks that begin with curl, with their continuation lines.
mapfile -t commands < <(sed -n '/^```sh$/,/^```$/p' "$page" | sed '/^```/d' | sed -e ':a' -e '/\\$/N; s/\\\n *//; ta' |
    grep '^curl ')

# One line for each command, in the page's order: status, then regular expressions that the answer must match.
expected=(
    '200 "addresses":\[\{"id":"router-2" "lifetime_ms":[0-9]+ "zone":"b"'
    '200 ^event:.start "resume":"[0-9A-F.]+" "base":0 ^event:.text "offset":0,"text" ^event:.end "total_tokens":[0-9]+'
    '200 ^event:.start ^id:.6 "offset":6,"text" ^event:.end'
    '200 "path":"/stock/tassel-4" ^X-Request-Id:'
    '200 "order":"order-[0-9]+"'
    '200 "order":"order-[0-9]+"'
    '422 "code":"key_reused" "execution":"not_run"'
    '200 "state":"done" "status":200 "attempt":"[0-9-]+" order-[0-9]+'
    '400 "code":"invalid_request" "execution":"not_run" Idempotency-Key'
)
[ "${#commands[@]}" = "${#expected[@]}" ] ||
    fail "the page has ${#commands[@]} curl commands, the test expects ${#expected[@]}"

check() { # check ANSWER_FILE STATUS PATTERN...
    local file="$1" status="$2" pattern
    shift 2
    head -1 "$file" | grep -q "^HTTP/1.1 $status " || fail "expected status $status: $(cat "$file")"
    for pattern in "$@"; do
        tr -d '\r' <"$file" | grep -qE "$pattern" || fail "expected $pattern: $(cat "$file")"
    done
}

KEY="$(date +%s%3N)-order-4711"
RESUME=""
for n in "${!commands[@]}"; do
    # Each command goes to another router, since every router accepts every call.
    command="${commands[$n]//ROUTER/$(router_address $((n % 3 + 1)))}"
    set -f
    set -- ${expected[$n]}
    set +f
    eval "${command/#curl/curl -m 20}" >"$work/answer$n" || fail "$command"
    check "$work/answer$n" "$@"
    if [ -z "$RESUME" ]; then
        RESUME="$(grep -o '"resume":"[^"]*' "$work/answer$n" | head -1 | cut -d'"' -f4 || true)"
    fi
    echo "status=$1 command=$((n + 1))"
done
cmp <(tail -1 "$work/answer4") <(tail -1 "$work/answer5") || fail "the repeated order got a different answer"

# Refusals that the page describes without a command: status, code, execution, path, curl options.
refusal() { # refusal STATUS CODE EXECUTION PATH CURL_OPTIONS...
    local status="$1" code="$2" execution="$3" path="$4"
    shift 4
    curl -isS -m 10 "http://$(router_address 1)$path" "$@" >"$work/refusal"
    check "$work/refusal" "$status" "\"code\":\"$code\"" "\"execution\":\"$execution\""
}
chat=/v1/chats/c/messages
body='{"pool":"assistant","messages":[{"content":"x"}]}'
refusal 401 unauthorized not_run $chat -H "X-Team: nobody" -d "$body"
refusal 401 unauthorized not_run $chat -H "X-Team: crews" -H "Authorization: Bearer wrong" -d "$body"
refusal 400 invalid_request not_run $chat -H "X-Team: buyers" -H "X-Priority: none" -d "$body"
refusal 400 invalid_request not_run $chat -H "X-Team: buyers" -H "X-Deadline-Ms: 0" -d "$body"
refusal 400 invalid_request not_run $chat -H "X-Team: buyers" -H "X-Request-Id: a/b" -d "$body"
refusal 400 invalid_request not_run $chat -H "X-Team: buyers" -d '{"pool":"assistant","messages":[]}'
refusal 404 not_found not_run $chat -H "X-Team: buyers" -d '{"pool":"none","messages":[{"content":"x"}]}'
refusal 404 not_found not_run /v1/services/none/x -H "X-Team: buyers"
refusal 404 not_found not_run /v1/services/webshop/none -H "X-Team: buyers"
refusal 404 not_found unknown /v1/requests/1-none -H "X-Team: buyers"
refusal 410 key_expired unknown /v1/services/webshop/orders -H "X-Team: buyers" -H "Idempotency-Key: 5-x" -d '{}'
refusal 400 invalid_request unknown /v1/services/webshop/orders -H "X-Team: buyers" -H "Idempotency-Key: x" -d '{}'
refusal 400 invalid_request unknown "/v1/streams?resume=${RESUME%?}&offset=0"
control "$PLATFORM" faults '{"store_down":1}' >/dev/null
refusal 503 store_unavailable unknown /v1/requests/1-none -H "X-Team: buyers"
echo "docs/callers.md: passed"
