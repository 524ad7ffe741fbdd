#!/usr/bin/env bash
# Real instances, one of which loses its way to all targets: connections are
# still accepted there, and nothing comes back. Its callers are served as those
# of the others. Usage: silent_way_processes-test.sh BUILD_DIR all | one; `one`:
# callers ask for a service with a single target.
set -euo pipefail
bin=$1
kind=$2
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.4
[ "$kind" = all ] || net=127.0.5
start_platform
all_store=$store
"$bin/seamglade-way-standin" "$all_store" >"$work/way.out" 2>&1 &
pids+=($!)
way=$(wait_for "$work/way.out" '^listening' | cut -d' ' -f2)

# has_own_entries N: whether an instance read its targets from its own store.
has_own_entries() {
  grep -m1 '"event":"configuration_accepted"' "$work/g$1.log" |
    grep -q '"source":"store"'
}

# start_all: starts the instances so that each has the addresses of its own
# store: one that starts late takes a copy of another's.
start_all() {
  local n try
  for try in $(seq 10); do
    for n in 1 2 3; do : >"$work/g$n.log"; done
    store=$way start_gateway 1
    for n in 2 3; do store=$all_store start_gateway "$n"; done
    for n in 1 2 3; do until_gateway_ready "$n"; done
    if has_own_entries 1 && has_own_entries 2 && has_own_entries 3; then
      return
    fi
    echo "start $try: an instance has the entries of another"
    kill_gateways 1 2 3
  done
  fail 'no start where each instance reads its own store'
}

start_all
set_way() { curl -sf -o /dev/null -X PUT "http://$way/$1"; }

# ask N ID I: sends the I-th request of a caller.
ask() {
  if [ "$kind" = one ] || [ $(($3 % 2)) -eq 0 ]; then
    call "$1" /get/x "$2-$3"
  else
    call "$1" /draft/x "$2-$3" -H "X-Model: base/a$(($3 / 2 % 3))" -d prompt
  fi
}

# serve N NAME COUNT: sets `served`, of so many first calls, ten at a time: a
# multiple of ten.
serve() {
  local i callers=()
  rm -f "$work"/answer-*
  for i in $(seq "$3"); do
    ask "$1" "$2" "$i" >"$work/answer-$i" &
    callers+=($!)
    [ $((i % 10)) -eq 0 ] || continue
    wait "${callers[@]}"
    callers=()
  done
  served=$(grep -l ' 200$' "$work"/answer-* | wc -l || true)
}

for n in 1 2 3; do
  for i in 1 2 3; do serve "$n" "warm-$n-$i" 10; done
done
[ "$served" -ge 9 ] || fail "served $served of 10 before the cut"

set_way silent
# Calls that hang show the cut.
for i in 1 2 3; do serve 1 "first-$i" 10; done
wait_for "$work/g1.log" '"event":"targets_lost"' >/dev/null ||
  fail 'the cut was not noticed'
grep '"event":"targets_lost"' "$work/g1.log" | grep -q '"silent":1' ||
  fail 'the cut was not found silent'

calls=60
serve 2 others "$calls"
others=$served
serve 1 there "$calls"
echo "cut off: $served of $calls served, others: $others"
[ "$others" -ge $((calls * 9 / 10)) ] || fail 'the others do not serve'
[ $((served * 3)) -ge $((others * 2)) ] ||
  fail "served $served of $calls where others serve $others"
grep -q '"event":"relay"' "$work/g1.log" || fail 'nothing was handed on'

# Where answers come back, the instance serves by itself again.
set_way open
for i in $(seq 20); do
  serve 1 "back-$i" 10
  if grep -q '"event":"targets_back"' "$work/g1.log"; then break; fi
  sleep 0.5
done
wait_for "$work/g1.log" '"event":"targets_back"' >/dev/null ||
  fail 'the end of the cut was not noticed'
serve 1 after 20
[ "$served" -ge 18 ] || fail "served $served of 20 after the cut"
if grep BROKEN "$work/platform.out"; then fail 'a rule was broken'; fi
echo 'all checks passed'
