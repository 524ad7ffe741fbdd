#!/usr/bin/env bash
# A real instance in a herd of uploads, or of callers that wait, holds less than
# its settings allow and serves on. Usage: herd_processes-test.sh BUILD_DIR KIND
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

readonly limit_mb=96 callers=1200 body_bytes=99000
ulimit -n 4096
# Freed memory that the sanitizer keeps is none of the instance's.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
expect() { [[ $1 == *"$2"* ]] || fail "expected '$2', got '$1'"; }

# metric NAME: prints the value of a metric of the instance.
metric() {
  curl -sf "http://$net.1:$((port + 3))/metrics" |
    awk -v name="$1" '$1 == name { print $2 }'
}
# count_of OUTCOME: prints how many callers of the herd had it.
count_of() {
  awk -v what="$1" '$1 == what { n = $2 } END { print n + 0 }' "$work/herd.out"
}

# peak: prints the most memory that the instance has had, in KB.
peak() {
  awk '/VmHWM/ { print $2 }' "/proc/${pid_of[g1]}/status"
}

uploads_stay_within_memory() {
  net=127.0.7
  start_platform
  gateway_settings="memory_limit = ${limit_mb}MB" start_gateway 1
  until_gateway_ready 1
  local start_kb
  start_kb=$(peak)
  "$bin/seamglade-herd-standin" "$net.1:$port" "$callers" "$body_bytes" \
    >"$work/herd.out" 2>&1 &
  local herd=$! held refused grown_kb
  pids+=("$herd")
  held=$(wait_for "$work/herd.out" '^held' | cut -d' ' -f2)
  # Small requests are served beside them, and others see how it is.
  expect "$(call 1 /set/x small -d 'hello')" 'answer to small 200'
  until_gateway_ready 1
  refused=$(metric seamglade_room_refusals_total)
  [ "$refused" = "$((callers - held))" ] ||
    fail "$held of $callers held, $refused refused"
  kill -USR1 "$herd"
  wait_for "$work/herd.out" '^done' >/dev/null || fail 'the herd has not ended'
  cat "$work/herd.out"
  [ "$(count_of 200)" -eq "$held" ] || fail 'one let in was not served'
  [ "$(count_of 503+retry+early)" -eq "$refused" ] ||
    fail 'one refused was not told when to come back'
  [ "$(grep -c '^run h' "$work/platform.out")" -eq "$held" ] ||
    fail 'one refused has run'
  # Half of the limit is for others; a sanitizer alone takes more than all.
  grown_kb=$(($(peak) - start_kb))
  echo "peak: $(($(peak) / 1024)) MB, $((grown_kb / 1024)) of them for the herd"
  [ "$grown_kb" -lt $((limit_mb * 512)) ] || fail "held $grown_kb KB"
  # The question itself has some.
  [ "$(metric seamglade_reserved_bytes)" -lt 1024 ] ||
    fail 'room was not given back'
}

serves_beside_callers_that_wait() {
  net=127.0.8
  start_platform
  gateway_settings="descriptor_limit = 64" start_gateway 1
  until_gateway_ready 1
  local n waiting=()
  for n in $(seq 120); do
    exec {waiting[n]}<>"/dev/tcp/$net.1/$port" || true
  done
  # Others see how it is, and a caller takes the place of one that waits.
  until_gateway_ready 1
  local answer
  for n in $(seq 200); do
    answer=$(call 1 /set/x "beside-$n" -d 'hello')
    [[ $answer != *' 200' ]] || break
    sleep 0.05
  done
  expect "$answer" "answer to beside-$n 200"
  [ "$(metric seamglade_replaced_connections_total)" -gt 0 ] ||
    fail 'none gave its place'
  [ "$(find "/proc/${pid_of[g1]}/fd" -type l | wc -l)" -le 64 ] ||
    fail 'beyond the limit'
}

case $2 in
  uploads) uploads_stay_within_memory ;;
  waiting) serves_beside_callers_that_wait ;;
esac
echo 'all checks passed'
