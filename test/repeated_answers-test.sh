#!/usr/bin/env bash
# Real instances of the direct path before targets that send a third of their
# answers again, late, on the same connection, and that end and are back at the
# same address while their former entry still stands.
# Usage: repeated_answers-test.sh BUILD_DIR
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

fail() {
  echo "FAILED: $*" >&2
  tail -n 30 "$work"/*.out "$work"/*.log >&2
  exit 1
}

"$bin/seamglade-platform-standin" 0.3 >"$work/platform.out" 2>&1 &
pids+=($!)
store=$(wait_for "$work/platform.out" '^listening' | cut -d' ' -f2)

port=$((20000 + $$ % 20000))
for n in 1 2 3; do
  ip=127.0.2.$n
  cat >"$work/g$n.ini" <<INI
[gateway]
id = g$n
failure_domain = z$n
caller_address = $ip:$port
ready_address = $ip:$((port + 1))
peer_address = $ip:$((port + 2))
metrics_address = $ip:$((port + 3))
store_address = $store
seeds = 127.0.2.1:1,127.0.2.2:1
grace = 4s
INI
  "$bin/seamglade" serve --config "$work/g$n.ini" >"$work/g$n.log" 2>&1 &
  pids+=($!)
done
for n in 1 2 3; do
  for _ in $(seq 200); do
    curl -sf -o /dev/null "http://127.0.2.$n:$((port + 1))/readyz" && break
    sleep 0.05
  done
done

# call N PATH ID [CURL OPTION...]: writes its status and body under its id.
call() {
  curl -s -m 8 -w ' %{http_code}' -H 'Host: desk.example' \
    -H "X-Request-Id: $3" -H 'X-Deadline-Ms: 5000' "${@:4}" \
    "http://127.0.2.$1:$port$2" >"$work/answer-$3" || true
}
# Orders to load and unload beside streams and plain requests: there are more
# adapters than places.
callers() {
  local n=$1 i
  for i in $(seq 60); do
    call "$n" /draft/x "d$n-$i" -H "X-Model: base/a$(((i + n) % 8))" -d 'prompt'
    call "$n" /set/x "s$n-$i" -d 'once'
  done
}
running=()
for n in 1 2 3; do
  callers "$n" &
  running+=($!)
done
for i in 1 2 3; do
  call 1 /draft/x "deadly-$i" -H "X-Model: base/a$i" -d "deadly $i"
  sleep 1
done
for pid in "${running[@]}"; do wait "$pid"; done

repeated=$(grep -c '^repeated' "$work/platform.out" || true)
[ "$repeated" -gt 0 ] || fail 'no answer came again'
if grep BROKEN "$work/platform.out"; then fail 'a rule was broken'; fi
twice=$(grep '^run' "$work/platform.out" | cut -d' ' -f2 | sort | uniq -d)
[ -z "$twice" ] || fail "ran more than once: $twice"
served=0
for file in "$work"/answer-[ds]*-*; do
  id=${file#*/answer-}
  case $(cat "$file") in
  *' 200')
    served=$((served + 1))
    grep -q -- "$id" "$file" || fail "another's answer: $id: $(cat "$file")"
    ;;
  *' 503' | *' 429' | *' 421')
    if grep -q "^run $id " "$work/platform.out"; then
      fail "$id was refused and has run"
    fi
    ;;
  esac
done
[ "$served" -gt 100 ] || fail "only $served were served"
echo "$served served, $repeated answers came again"
echo 'all checks passed'
