#!/usr/bin/env bash
# Real instances before a herd of callers that keep their connections, come
# back at once and upload: all instances are killed and started again, and
# service comes back; no process ends by itself.
# Usage: recover_processes-test.sh BUILD_DIR [PLAY SEED]. Without a play it goes
# through some of them briefly. With one it also prints, of the time behind the
# start, figures by which no verdict is given.
#
# Plays: plain; twice: killed again within a second, in turn; away: the store
# refuses connections for 5 s from the start on; slow: it takes 400 ms for each
# answer; restored: it is back from an older copy; large: its configuration has
# 3,000 routes; targets: these start again as well, at the same addresses; late:
# one instance comes 3 s later; ends: the targets end all at once 2 s later.
set -euo pipefail
bin=$1
play=${2:-}
seed=${3:-1}
source "$(dirname "$0")/../scripts/fleet.sh"

RANDOM=$seed
net=127.0.$((20 + (seed * 9 + $$) % 200))
instances=(1 2 3 4 5 6)
callers=80
upload=60000
patience_s=60
watched_s=16

tell() { curl -sf -o /dev/null -X PUT "http://$store/$1" "${@:2}"; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }

# start_now N...: starts instances; each life has a log of its own.
start_now() {
  local n
  for n in "$@"; do
    [ ! -e "$work/g$n.log" ] || cat "$work/g$n.log" >>"$work/g$n.before"
    rm -f "$work/g$n.log"
    start_gateway "$n"
  done
}

# all_alive: fails if a process that was not killed has ended.
all_alive() {
  local n
  for n in "${running[@]}"; do
    kill -0 "${pid_of[g$n]}" 2>/dev/null || fail "$play: g$n ended by itself"
  done
  kill -0 "${pids[0]}" 2>/dev/null || fail "$play: the platform ended"
}

# first_served SINCE: prints the time of the first tick with a served request.
first_served() {
  awk -v since="$1" '$1 == "tick" && $2 >= since && $3 > 0 {
    print $2; exit }' "$work/callers.out"
}

# share_between FROM TO: prints the parts of requests served and their number.
share_between() {
  awk -v from="$1" -v to="$2" '$1 == "tick" && $2 >= from && $2 < to {
    served += $3; all += $3 + $4 + $5 }
    END { printf "%.3f of %d", all ? served / all : 0, all }' \
    "$work/callers.out"
}

# Samples descriptors, as the peak of all instances.
sample_descriptors() {
  local n open
  for n in "${running[@]}"; do
    open=$(find "/proc/${pid_of[g$n]}/fd" -mindepth 1 2>/dev/null | wc -l)
    [ "$open" -le "$most_open" ] || most_open=$open
  done
}

# Prints what instances waited for: when each took its configuration and its
# first target, and what it used.
tell_lives() {
  local n log of
  for n in "${running[@]}"; do
    log=$work/g$n.log
    of=/proc/${pid_of[g$n]}
    echo "  g$n: peak $(awk '/VmHWM/ { print $2 }' "$of/status") kB," \
      "$(awk '{ print ($14 + $15) * 10 }' "$of/stat") ms of a core," \
      "configuration $(moment "$log" configuration_accepted)," \
      "target $(moment "$log" target_listed)," \
      "store lost $(grep -c '"event":"store_lost"' "$log" || true)"
  done
}

# moment LOG EVENT: when it came first, in ms since the return.
moment() {
  local at
  at=$(grep -m1 "\"event\":\"$2\"" "$1" | sed -nE 's/.*"ms":([0-9]+).*/\1/p')
  [ -n "$at" ] && echo "$((at - returned))" || echo never
}

play_once() {
  local n
  store=
  pids=()
  rm -f "$work"/*
  : >"$work/callers.out"
  start_platform 0 2 2
  [ "$play" != large ] || tell routes/3000
  running=("${instances[@]}")
  start_now "${running[@]}"
  for n in "${running[@]}"; do until_gateway_ready "$n"; done
  local addresses=()
  for n in "${running[@]}"; do addresses+=("$net.$n:$port"); done
  "$bin/seamglade-callers-standin" 120 "$callers" "$upload" "$seed" \
    "${addresses[@]}" >"$work/callers.out" 2>&1 &
  pids+=($!)
  pid_of[callers]=$!
  for _ in $(seq 600); do
    [ -z "$(first_served 0)" ] || break
    sleep 0.1
  done
  [ -n "$(first_served 0)" ] || fail "$play: nothing is served at first"
  if [ "$play" = restored ]; then
    tell copy
    tell version/7
  fi
  sleep "$((1 + RANDOM % 2)).$((RANDOM % 10))"
  all_alive
  kill_gateways "${running[@]}"
  [ "$play" != slow ] || tell slow/400
  sleep "0.$((RANDOM % 9 + 1))"
  [ "$play" != away ] || tell away/5000
  [ "$play" != restored ] || tell restore
  if [ "$play" = targets ]; then
    for n in 0 1 2 3; do tell "word/$n" -d '{"restart": true}'; done
  fi
  [ "$play" != late ] || running=(1 2 3 4 5)
  start_now "${running[@]}"
  if [ "$play" = twice ]; then
    for n in "${running[@]}"; do
      sleep "0.0$((RANDOM % 9 + 1))"
      kill_gateways "$n"
      start_now "$n"
    done
  fi
  if [ "$play" = late ]; then
    sleep 3
    start_now 6
    running=("${instances[@]}")
  fi
  returned=$(now_ms)
  if [ "$play" = ends ]; then
    sleep 2
    for n in 0 1 2 3; do tell "word/$n" -d '{"restart": true}'; done
  fi
  until_served
}

# Waits for service with patience, and longer if its course is watched.
until_served() {
  local end=$((returned + patience_s * 1000)) first=
  most_open=0
  while [ -z "$first" ]; do
    all_alive
    sample_descriptors
    [ "$(now_ms)" -lt "$end" ] || fail "$play: service does not come back"
    sleep 0.25
    first=$(first_served "$((returned + 250))")
  done
  if [ -n "$watched" ]; then
    while [ "$(now_ms)" -lt $((returned + watched_s * 1000)) ]; do
      all_alive
      sample_descriptors
      sleep 0.25
    done
    echo "$play, seed $seed: first served within $((first - returned)) ms," \
      "from 12 s on $(share_between $((returned + 12000)) \
        $((returned + watched_s * 1000)))," \
      "before $(share_between $((returned + 4000)) $((returned + 8000)))" \
      "from 4 to 8 s; descriptors $most_open"
    tell_lives
  fi
  # Each instance by itself, too.
  for n in "${running[@]}"; do until_gateway_ready "$n"; done
  all_alive
  echo "$play: service came back"
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid"; done
  wait 2>/dev/null || true
}

if [ -n "$play" ]; then
  watched=yes
  play_once
else
  watched=
  for play in plain twice away restored large targets; do play_once; done
fi
echo 'all checks passed'
