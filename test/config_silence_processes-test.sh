#!/usr/bin/env bash
# Real instances whose open connections to the store fall silent, without a
# reset: they find it and take new configurations over new connections, before
# any call is given up. Usage: config_silence_processes-test.sh BUILD_DIR
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.6
start_platform
platform=$store
"$bin/seamglade-silence-standin" "$platform" >"$work/silence.out" 2>&1 &
silence=$!
pids+=("$silence")
store=$(wait_for "$work/silence.out" '^listening' | cut -d' ' -f2)
for n in 1 2 3; do start_gateway "$n"; done
for n in 1 2 3; do until_gateway_ready "$n"; done

# in_force VERSION: waits until all instances have taken a version.
in_force() {
  local n
  for n in 1 2 3; do
    wait_for "$work/g$n.log" \
      "\"event\":\"configuration_accepted\",\"version\":$1," >/dev/null ||
      fail "g$n has not taken version $1"
  done
}
publish_version() {
  curl -sf -o /dev/null -X PUT "http://$platform/version/$1"
}

# found: prints how often instances found a connection to the store silent.
found() {
  cat "$work"/g[123].log | grep -c '"event":"store_connection_silent"' || true
}

publish_version 2
in_force 2
version=2
for before in 0.05 0.3 0.6 0.9 1.2; do
  known=$(found)
  kill -USR1 "$silence"
  sleep "$before"
  version=$((version + 1))
  publish_version "$version"
  acknowledged=$(date +%s%N)
  in_force "$version"
  echo "silent $before s before: in force after" \
    "$((($(date +%s%N) - acknowledged) / 1000000)) ms"
  for _ in $(seq 100); do
    [ "$(found)" -le "$known" ] || break
    sleep 0.05
  done
  [ "$(found)" -gt "$known" ] || fail 'the silence was not found'
done
echo 'all checks passed'
