#!/usr/bin/env bash
# Real instances of the direct path before targets that send a third of their
# answers again, late, on the same connection, and that end and are back at the
# same address while their former entry still stands.
# Usage: repeated_answers-test.sh BUILD_DIR
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.2
start_platform 0.3
for n in 1 2 3; do start_gateway "$n"; done
for n in 1 2 3; do until_gateway_ready "$n"; done

# ask N PATH ID [CURL OPTION...]: writes the body and the status under the id.
ask() { call "$@" >"$work/answer-$3"; }
# Orders to load and unload beside streams and plain requests: there are more
# adapters than places.
callers() {
  local n=$1 i
  for i in $(seq 60); do
    ask "$n" /draft/x "d$n-$i" -H "X-Model: base/a$(((i + n) % 8))" -d 'prompt'
    ask "$n" /set/x "s$n-$i" -d 'once'
  done
}
running=()
for n in 1 2 3; do
  callers "$n" &
  running+=($!)
done
for i in 1 2 3; do
  ask 1 /draft/x "deadly-$i" -H "X-Model: base/a$i" -d "deadly $i"
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
