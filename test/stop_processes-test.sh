#!/usr/bin/env bash
# Real instances of one fleet are stopped in turn by SIGTERM, while callers send
# requests over connections of their own to those that still run, also to
# stopping ones. Grace, run time and callers' patience are drawn.
# Each request that is read gets a whole answer: what the target said, that it
# did not run, or that nobody knows. Each instance ends by itself, with nothing
# cut off.
# Usage: stop_processes-test.sh BUILD_DIR SEED...
set -euo pipefail
bin=$1
seeds=("${@:2}")
source "$(dirname "$0")/../scripts/fleet.sh"

# A loop that ends leaves callbacks that are due, with what libevent holds for
# them: no leak of a process that goes on.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}detect_leaks=0"
readonly instances=(1 2 3)
readonly curl_timed_out=28

# draw N: sets `drawn` to a number below N; the seed decides.
draw() {
  draws=$(((draws * 1103515245 + 12345) % 2147483648))
  drawn=$(((draws >> 8) % $1))
}

# ask N ID PATH: makes one call and notes its outcome as "ID N CODE STATUS BODY".
ask() {
  local code=0 out
  out=$(curl -s -m 60 -w ' %{http_code}' -X POST -d order \
    -H 'Host: desk.example' -H "X-Request-Id: $2" \
    -H "X-Deadline-Ms: $deadline_ms" "http://$net.$1:$port$3") || code=$?
  echo "$2 $1 $code ${out##* } ${out% *}" >>"$work/outcomes"
}

# call_until_ended N...: calls at a pace while any of these instances runs.
call_until_ended() {
  local n left=1
  while [ "$left" != 0 ]; do
    left=0
    for n in "$@"; do
      kill -0 "${pid_of[g$n]}" 2>/dev/null || continue
      left=1
      made=$((made + 1))
      draw 2
      ask "$n" "s$seed-$made" "${routes[drawn]}x?run_ms=$run_ms" &
      callers+=($!)
    done
    sleep 0.15
  done
}

# stop_in_turn: one after the other is told to stop, some twice.
stop_in_turn() {
  local n pid
  for n in "${instances[@]}"; do
    pid=${pid_of[g$n]}
    (
      sleep "0.$((n * 3))"
      kill -TERM "$pid"
      sleep 0.1
      kill -TERM "$pid" 2>/dev/null || true
    ) &
  done
}

# expect_answered: no call was cut off, and none that was refused has run.
expect_answered() {
  local id n code status body
  while read -r id n code status body; do
    case $code in
      0) ;;
      "$curl_timed_out") fail "$about: $id at g$n has no answer" ;;
      *)
        # Nobody listened, or the process ended before it had read the request.
        ! grep -q "^run $id " "$work/platform.out" ||
          fail "$about: $id at g$n was cut off (curl $code, status $status)"
        continue
        ;;
    esac
    case $status in
      200) [ "$body" = "answer to $id" ] || fail "$about: $id got '$body'" ;;
      503) ! grep -q "^run $id " "$work/platform.out" ||
        fail "$about: $id was refused as not run, and ran" ;;
      502 | 504) ;;
      *) fail "$about: $id got $status" ;;
    esac
  done <"$work/outcomes"
}

play() {
  local n code
  draws=$seed
  made=0
  callers=()
  : >"$work/outcomes"
  routes=(/order/ /look/)
  draw 6000
  gateway_grace=$((1500 + drawn))ms
  draw 3000
  run_ms=$((100 + drawn))
  draw 8000
  deadline_ms=$((run_ms + 200 + drawn))
  about="seed $seed, grace $gateway_grace, run $run_ms, deadline $deadline_ms"
  for n in "${instances[@]}"; do
    : >"$work/g$n.log"
    start_gateway "$n"
  done
  for n in "${instances[@]}"; do until_gateway_ready "$n"; done
  for n in "${instances[@]}"; do ask "$n" "s$seed-first$n" "/order/x?run_ms=$run_ms"; done
  stop_in_turn
  call_until_ended "${instances[@]}"
  wait "${callers[@]}"
  expect_answered
  for n in "${instances[@]}"; do
    code=0
    wait "${pid_of[g$n]}" || code=$?
    [ "$code" = 0 ] || fail "$about: g$n ended with $code"
    grep -q '"event":"stopped"' "$work/g$n.log" || fail "$about: g$n has no end"
    ! grep -q '"event":"stop_cut"' "$work/g$n.log" || fail "$about: g$n cut"
  done
  echo "$about: $(cut -d' ' -f3,4 "$work/outcomes" | sort | uniq -c | tr -s ' \n' ' ,')"
}

# change_grace N GRACE: gives a running instance another grace.
change_grace() {
  sed -i "s/^grace = .*/grace = $2/" "$work/g$1.ini"
  kill -HUP "${pid_of[g$1]}"
  wait_for "$work/g$1.log" '"event":"drain_changed"' >/dev/null
}

# begin_stop N GRACE RUN_MS: starts an instance, shows it how long its requests
# run, and tells it to stop.
begin_stop() {
  : >"$work/g$1.log"
  : >"$work/outcomes"
  deadline_ms=20000
  gateway_grace=$2 start_gateway "$1"
  until_gateway_ready "$1"
  ask "$1" "$about-first" "/order/x?run_ms=$3"
  kill -TERM "${pid_of[g$1]}"
  wait_for "$work/g$1.log" '"event":"drain_started"' >/dev/null
}

# ends_in_order N STATUS: waits for the end and the status of the last call.
ends_in_order() {
  wait "${pid_of[g$1]}" || fail "$about: g$1 ended with $?"
  wait "$last_call"
  [ "$(tail -n 1 "$work/outcomes" | cut -d' ' -f4)" = "$2" ] ||
    fail "$about: $(tail -n 1 "$work/outcomes")"
}

grace_grows() {
  about=grace-grows
  begin_stop 1 6s 5000
  change_grace 1 40s
  ask 1 "$about-late" '/order/x?run_ms=5000' &
  last_call=$!
  ends_in_order 1 200
}

grace_shrinks() {
  about=grace-shrinks
  begin_stop 1 40s 100
  ask 1 "$about-late" '/order/x?run_ms=15000' &
  last_call=$!
  wait_for "$work/platform.out" "^run $about-late " >/dev/null
  change_grace 1 3s
  ends_in_order 1 504
}

net=127.0.18
start_platform 0 1 3
grace_grows
grace_shrinks
for seed in "${seeds[@]}"; do play; done
echo 'all checks passed'
