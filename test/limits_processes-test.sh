#!/usr/bin/env bash
# A real instance at the limits that the system sets for its process serves on.
# Usage: limits_processes-test.sh BUILD_DIR KIND, with KIND one of file_size,
# repeated_id, descriptors, signals, inherited_signals, cpu_time.
set -euo pipefail
bin=$1
kind=$2
source "$(dirname "$0")/../scripts/fleet.sh"

# metric LINE: prints the value of a metric of the instance.
metric() {
  curl -sf -m 5 "http://$net.1:$((port + 3))/metrics" |
    awk -v name="$1" '$1 == name { print $2 }'
}

# alive: fails if the instance has ended; names the signal that ended it.
alive() {
  kill -0 "${pid_of[g1]}" 2>/dev/null && return
  local code=0
  wait "${pid_of[g1]}" || code=$?
  fail "the instance ended with $code"
}

# served ID: fails unless a request with this id gets its answer.
served() {
  local answer
  answer=$(call 1 /get/x "$1")
  [[ $answer == "answer to $1 200" ]] || fail "$1 got '$answer'"
}

# repeat COUNT ID: makes calls of one id over one connection; prints statuses.
repeat() {
  curl -s -m 60 -H 'Host: desk.example' -H "X-Request-Id: $2" \
    -H 'X-Deadline-Ms: 5000' -o /dev/null -w '%{stdout}%{http_code}\n' \
    "http://$net.1:$port/get/x?[1-$1]" || true
}

# Guards against an end by SIGXFSZ where the log's file may grow no further.
test_file_size() {
  local limit_kb=16 size n
  net=127.0.9
  start_platform
  # The stand-ins' files are not limited.
  ulimit -S -f "$limit_kb"
  start_gateway 1
  ulimit -S -f unlimited
  until_gateway_ready 1
  for n in $(seq 40); do
    size=$(stat -c %s "$work/g1.log")
    [ "$size" -lt $((limit_kb * 1024)) ] || break
    repeat 20 "fill-$n"
    alive
  done
  [ "$size" -eq $((limit_kb * 1024)) ] || fail "the log has $size bytes"
  for n in $(seq 20); do served "full-$n"; done
  alive
  # A log that is truncated from outside goes on.
  : >"$work/g1.log"
  served 'truncated-1'
  grep -q '"request":"truncated-1"' "$work/g1.log" ||
    fail 'the log does not go on'
}

# Guards against connections without a bound for calls of one id.
test_repeated_id() {
  local limit=200 n open
  net=127.0.10
  start_platform
  ulimit -S -n "$limit"
  gateway_settings="descriptor_limit = $limit" start_gateway 1
  ulimit -S -n "$(ulimit -H -n)"
  until_gateway_ready 1
  repeat 600 again >"$work/again.codes" &
  local repeating=$!
  pids+=("$repeating")
  for n in $(seq 20); do
    served "beside-$n"
    open=$(find "/proc/${pid_of[g1]}/fd" -type l | wc -l)
    [ "$open" -lt $((limit * 3 / 4)) ] || fail "$open descriptors are open"
  done
  wait "$repeating" || fail 'the repeated calls have not ended'
  [ "$(grep -c '^200$' "$work/again.codes")" -eq 600 ] ||
    fail "repeated calls got $(sort "$work/again.codes" | uniq -c | paste -sd' ')"
  open=$(find "/proc/${pid_of[g1]}/fd" -type l | wc -l)
  [ "$open" -lt $((limit * 3 / 4)) ] || fail "$open descriptors are open"
  served 'afterwards'
}

# within_bounds: fails if more descriptors are open than the settings allow, or
# more connections of a use than its part.
within_bounds() {
  local open use
  open=$(find "/proc/${pid_of[g1]}/fd" -type l | wc -l)
  [ "$open" -le "$limit" ] || fail "$open descriptors are open"
  curl -sf -m 5 "http://$net.1:$((port + 3))/metrics" >"$work/metrics" ||
    fail 'no metrics'
  for use in callers ready metrics peers calls; do
    awk -v use="{use=\"$use\"}" '
      $1 == "seamglade_connections" use { open = $2 }
      $1 == "seamglade_connection_bound" use { bound = $2 }
      END { print use, open, "of", bound; exit !(bound > 0 && open <= bound) }
    ' "$work/metrics" >"$work/bound" || fail "beyond: $(cat "$work/bound")"
  done
  most=$((open > most ? open : most))
}

# Guards against a kind of connection that takes what others need.
test_descriptors() {
  local n most=0 limit=256 waiting=() asking=()
  net=127.0.15
  start_platform 0 3 3
  ulimit -S -n "$limit"
  gateway_settings="descriptor_limit = $limit" start_gateway 1
  ulimit -S -n "$(ulimit -H -n)"
  until_gateway_ready 1
  "$bin/seamglade-callers-standin" 12 60 60000 77 "$net.1:$port" \
    >"$work/callers.out" 2>&1 &
  pids+=($!)
  # Callers and peers that say nothing, and those that say half of a head.
  for n in $(seq 1 2 120); do
    exec {waiting[n]}<>"/dev/tcp/$net.1/$port" || true
    exec {asking[n]}<>"/dev/tcp/$net.1/$((port + 2))" || true
    [ $((n % 4)) -ne 1 ] ||
      printf 'GET / HTTP/1.1\r\n' >&"${waiting[n]}" 2>/dev/null || true
  done
  for n in $(seq 12); do
    repeat 400 "again-$n" >/dev/null &
    pids+=($!)
    curl -s -X PUT -d '{"restart": true}' "http://$store/word/$((n % 6))" \
      >/dev/null
    within_bounds
    sleep 0.3
    within_bounds
    alive
  done
  for n in "${waiting[@]}" "${asking[@]}"; do exec {n}>&- || true; done
  until_gateway_ready 1
  for n in $(seq 100); do
    [[ $(call 1 /get/x "after-$n") != *' 200' ]] || break
    sleep 0.1
  done
  served 'afterwards'
  echo "most: $most of $limit descriptors"
}

# told SIGNAL: waits until the instance has a line on a signal.
told() {
  wait_for "$work/g1.log" "\"event\":\"signal_ignored\",\"signal\":\"SIG$1\"" \
    >/dev/null || fail "no line on SIG$1"
}

# Guards against signals whose default action ends a process.
test_signals() {
  local signal
  net=127.0.11
  start_platform
  start_gateway 1
  until_gateway_ready 1
  for signal in USR1 USR2 ALRM VTALRM PROF IO PWR STKFLT XCPU; do
    kill -"$signal" "${pid_of[g1]}"
    told "$signal"
  done
  for signal in XFSZ PIPE HUP; do kill -"$signal" "${pid_of[g1]}"; done
  served 'afterwards'
  alive
}

# stops SIGNAL: has the instance stop; fails if it does not, or breaks off.
stops() {
  local code=0
  kill -"$1" "${pid_of[g1]}"
  wait_for "$work/g1.log" '"event":"stopped"' >/dev/null ||
    fail "SIG$1 does not stop it"
  wait "${pid_of[g1]}" || code=$?
  [ "$code" = 0 ] || fail "SIG$1 ended it with $code"
  rm "$work/g1.log"
}

# Guards against stops that are not heard: blocked or ignored from the start.
test_inherited_signals() {
  local signal
  net=127.0.12
  start_platform
  for signal in TERM INT QUIT; do
    start_gateway 1
    until_gateway_ready 1
    stops "$signal"
    gateway_prefix="env --block-signal=$signal" start_gateway 1
    until_gateway_ready 1
    stops "$signal"
    gateway_prefix="env --ignore-signal=$signal" start_gateway 1
    until_gateway_ready 1
    stops "$signal"
  done
}

# Guards against an end by SIGXCPU.
test_cpu_time() {
  local n
  net=127.0.13
  start_platform
  ulimit -S -t 1
  start_gateway 1
  ulimit -S -t unlimited
  until_gateway_ready 1
  for n in $(seq 40); do
    repeat 1000 "cpu-$n"
    alive
    ! grep -q SIGXCPU "$work/g1.log" || break
  done
  told XCPU
  served 'afterwards'
}

"test_$kind"
echo 'all checks passed'
