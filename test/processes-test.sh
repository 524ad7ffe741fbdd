#!/usr/bin/env bash
# Real processes under SIGKILL, SIGSTOP, SIGTERM, a dead configuration service
# and a restarted engine. Waits for events, never for a time to pass.
# Usage: test/processes-test.sh FOLDER_OF_BINARIES
set -euo pipefail
bin=$1
. "$(dirname "$0")/../scripts/fleet.sh"

# runs TARGET TAG: how often a target ran a request.
runs() {
  curl -sf "http://${address[$1]}/log" | grep -o "\"tag\":\"$2\"" | wc -l
}

# ask NAME TAG BODY [CURL_OPTION...]: a model request; prints the answer.
ask() {
  local name=$1 tag=$2 body=$3
  shift 3
  curl -sS --max-time 60 "$@" -H "X-Tag: $tag" -d "$body" \
    "http://${address[$name-callers]}/v1/completions"
}

# begin_stream NAME TAG FILE TOKENS: starts a stream and waits for a token.
begin_stream() {
  ask "$1" "$2" "{\"model\":\"llama/a@1\",\"stream\":true,\"max_tokens\":$4}" \
    -N >"$3" 2>"$3.err" &
  stream=$!
  wait_for "$3" '"t1 "' >/dev/null
}

start_standin config config
start_standin e1 engine --load-ms 20 --token-us 20000
start_standin p1 plain
start_instance i1 north
start_instance i2 north
start_instance i3 north
publish root <<INI
[document]
version = 1
branch = /
[/]
list_wait = 200ms
lease = 1s
clock_margin = 100ms
[/s/engines]
managed = yes
checks_orders = yes
[/s/engines/llama]
[/s/engines/llama/a]
versions = 1 2
[/s/plain]
kind = plain
INI
publish_list() {
  {
    list_instance i1 north
    list_instance i2 north
    list_instance i3 north
    list_target e1 north /s/engines llama
    list_target p1 north /s/plain
  } | publish fleet
}
publish_list
until_ready i1 i2 i3
until_owned e1 i1 i2 i3

owner=$(owner_of e1 i1 i2 i3)
others=()
for name in i1 i2 i3; do [ "$name" = "$owner" ] || others+=("$name"); done
entry=${others[0]}
spare=${others[1]}

# refused STATUS TYPE CURL_OPTION...: a typed refusal that says not_run.
refused() {
  local status=$1 type=$2 got
  shift 2
  got=$(curl -sS --max-time 20 -w '%{http_code}' "$@")
  [[ $got == *"\"not_run\":true"*"\"type\":\"$type\""*"$status" ]] ||
    fail "wanted $status $type, got $got"
}

# What is malformed is refused in words of its type, and reaches no target.
model_url=http://${address[$entry-callers]}/v1/completions
refused 400 bad_request -d '{"model":' "$model_url"
refused 400 bad_request -d '{"model":"llama/a"}' "$model_url"
refused 404 unknown_adapter -d '{"model":"llama/a@7"}' "$model_url"
refused 404 unknown_service -d '{"model":"none/a@1"}' "$model_url"
refused 404 unknown_service "http://${address[$entry-callers]}/nowhere"
refused 400 bad_request -H 'Seamglade-Deadline-Ms: soon' \
  -d '{"model":"llama/a@1"}' "$model_url"
head -c 2000000 /dev/zero | tr '\0' 'x' >"$work/large"
refused 413 body_too_large --data-binary @"$work/large" \
  "http://${address[$entry-callers]}/services/s/plain/x"
printf 'X-Long: %s\n' "$(head -c 100000 "$work/large")" >"$work/headers"
refused 431 headers_too_large -H @"$work/headers" \
  -d '{"model":"llama/a@1"}' "$model_url"
[ "$(curl -sf "http://${address[e1]}/log")" = '[]' ] ||
  fail 'a malformed request reached the engine'
echo 'ok: malformed requests are refused as not run'

# A planned stop of the owner in the middle of a stream cuts nothing off.
begin_stream "$entry" stopped "$work/stopped" 60
kill -TERM "${pid_of[$owner]}"
wait "$stream" || fail 'planned stop of the owner: the stream broke'
grep -q 'DONE' "$work/stopped" || fail 'planned stop: the stream is short'
wait "${pid_of[$owner]}" || fail 'planned stop: the owner ended badly'
until_owned e1 "$entry" "$spare"
echo 'ok: a planned stop of the owner in the middle of a stream'

# A planned stop of the entry instance lets its caller's stream end.
begin_stream "$spare" entry "$work/entry" 60
kill -TERM "${pid_of[$spare]}"
wait "$stream" || fail 'planned stop of the entry: the stream broke'
grep -q 'DONE' "$work/entry" || fail 'planned stop: the entry cut the stream'
wait "${pid_of[$spare]}" || fail 'planned stop: the entry ended badly'
echo 'ok: a planned stop of the entry in the middle of a stream'

# Instances come back at other addresses, on the published list.
start_instance "$owner" north
start_instance "$spare" north
publish_list
until_ready "$owner" "$spare" "$entry"
until_owned e1 i1 i2 i3
until_owned p1 i1 i2 i3

# A killed owner: the stream is an error to the caller, never a short success,
# and the next owner serves.
owner=$(owner_of e1 i1 i2 i3)
others=()
for name in i1 i2 i3; do [ "$name" = "$owner" ] || others+=("$name"); done
entry=${others[0]}
begin_stream "$entry" killed "$work/killed" 400
kill -KILL "${pid_of[$owner]}"
if wait "$stream"; then fail 'killed owner: a short stream ended well'; fi
until_owned e1 "${others[@]}"
ask "$entry" after '{"model":"llama/a@1"}' | grep -q 't8 ' ||
  fail 'killed owner: the next owner does not serve'
[ "$(runs e1 killed)" = 1 ] || fail 'killed owner: the request ran again'
echo 'ok: a killed owner in the middle of a stream'

start_instance "$owner" north
publish_list
until_ready "$owner"
until_owned e1 i1 i2 i3

# A suspended owner loses its target and steps back when it wakes.
owner=$(owner_of e1 i1 i2 i3)
others=()
for name in i1 i2 i3; do [ "$name" = "$owner" ] || others+=("$name"); done
kill -STOP "${pid_of[$owner]}"
until_owned e1 "${others[@]}"
kill -CONT "${pid_of[$owner]}"
wait_for "$work/$owner.log" '"decision":"step_back".*fence_refused' >/dev/null ||
  fail 'suspended owner: did not step back'
ask "${others[0]}" woken '{"model":"llama/a@1"}' | grep -q 't8 ' ||
  fail 'suspended owner: nobody serves'
echo 'ok: a suspended owner that wakes up late'

# A service that is down takes nothing away.
curl -sf -d '{"down":true}' "http://${address[config]}/faults" >/dev/null
ask "${others[0]}" down '{"model":"llama/a@2"}' | grep -q 't8 ' ||
  fail 'service down: requests fail'
kill -KILL "${pid_of[config]}"
ask "${others[0]}" gone '{"model":"llama/a@1"}' | grep -q 't8 ' ||
  fail 'service dead: requests fail'
echo 'ok: a configuration service that is down, then dead'

# An engine that restarts has nothing loaded; adapters are loaded again.
kill -KILL "${pid_of[e1]}"
"$bin/seamglade-standin" engine --listen "${address[e1]}" --load-ms 20 \
  --token-us 20000 >"$work/e1.again" 2>&1 &
pids+=($!)
wait_for "$work/e1.again" '^listening' >/dev/null
for try in $(seq 100); do
  ask "${others[0]}" "back$try" '{"model":"llama/a@1"}' | grep -q 't8 ' && break
  [ "$try" -lt 100 ] || fail 'engine restarted: requests fail'
done
echo 'ok: a restarted engine'

# A call that must not be repeated runs once, or says that it did not run.
answer=$(curl -sS -H 'X-Tag: once' -H 'Seamglade-Repeatable: no' -d order \
  "http://${address[${others[0]}-callers]}/services/s/plain/orders")
case $answer in
  *'"echo":"order"'*) wanted=1 ;;
  *'"not_run":true'*) wanted=0 ;;
  *) fail "once: $answer" ;;
esac
[ "$(runs p1 once)" = "$wanted" ] || fail 'once: ran a wrong number of times'
echo 'ok: a call that must not be repeated'
