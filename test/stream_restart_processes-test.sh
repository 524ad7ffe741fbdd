#!/usr/bin/env bash
# Real instances before targets of two software versions: all instances are
# killed in the middle of their streams and started again, and the callers take
# their streams up. Then once more, and targets leave while no instance runs.
# Usage: stream_restart_processes-test.sh BUILD_DIR
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.5
instances=(1 2 3 4 5 6)
engine_streams=12
plain_streams=6
last_event=6
tries=4

start_platform 0 2 2
say() { curl -s -X PUT -d "$2" "http://$store/word/$1"; }
# Engines are 0 and 1, plain targets 2 and 3; the even ones run version 1.
for n in 0 1 2 3; do
  say "$n" "{\"software\": \"v$((n % 2 + 1))\", \"event_ms\": 600}"
done

start_all() {
  local n
  for n in "${instances[@]}"; do start_gateway "$n"; done
  for n in "${instances[@]}"; do until_gateway_ready "$n"; done
}

# send KIND N ID INSTANCE [CURL OPTION...]: requests stream N of a kind.
send() {
  local path=/chat/x
  [ "$1" = engine ] || path=/feed/x
  call "$4" "$path" "$3" -N -d 'prompt' -H "X-Model: base/a$(($2 % 4))" \
    -H 'X-Token-Count: 1053,80' \
    -H "X-Prefix-Hash: 5c1e07a2:800,$(printf 'e%02x%02x' "$round" "$2"):253" \
    "${@:5}"
}
instance_of() { echo "${instances[$1 % ${#instances[@]}]}"; }

# Prints how many streams of a kind have begun and not ended.
under_way() {
  { grep -l '^id: 1' "$work/round$round/$1"-*.begun || true; } |
    xargs -r grep -L "^id: $last_event" | wc -l
}

# until_under_way KIND COUNT: gives up waiting after a time, the end counts.
until_under_way() {
  for _ in $(seq 100); do
    [ "$(under_way "$1")" -lt "$2" ] || return 0
    sleep 0.05
  done
}

# begin KIND COUNT: begins streams.
begin() {
  local i
  for i in $(seq 1 "$2"); do
    send "$1" "$i" "$1-$round-$i" "$(instance_of "$i")" \
      >"$work/round$round/$1-$i.begun" &
  done
}

# take_up KIND N: takes a stream up as callers do, again after a refusal.
take_up() {
  local name=$work/round$round/$1-$2 try
  local last
  last=$(grep '^id: ' "$name.begun" | tail -n 1 | cut -d' ' -f2 || true)
  [ -n "$last" ] && [ "$last" -lt "$last_event" ] || return 0
  touch "$name.broken"
  for try in $(seq 1 "$tries"); do
    send "$1" "$2" "again-$1-$round-$2-$try" "$(instance_of $(($2 + try)))" \
      -H "Resumes: $1-$round-$2" -H "Last-Event-Id: $last" \
      >"$name.again-$try"
    grep -q ' \(503\|000\)$' "$name.again-$try" || return 0
    sleep 0.5
  done
}

# Sets `broken_at`, which counts a kind's broken streams by their version.
count_broken() {
  local i file version
  broken_at=([1]=0 [2]=0)
  for i in $(seq 1 "$2"); do
    file=$work/round$round/$1-$i.begun
    grep -q '^id: ' "$file" && ! grep -q "^id: $last_event" "$file" || continue
    version=$(grep -o -m1 'software v[12]' "$file" | tr -dc 12)
    broken_at[$version]=$((broken_at[version] + 1))
  done
}

# remove_most_used KIND COUNT: the targets that most broken streams began at
# leave; sets `gone` to their version.
remove_most_used() {
  count_broken "$1" "$2"
  gone=1
  [ "${broken_at[1]}" -ge "${broken_at[2]}" ] || gone=2
  local number=$((gone - 1))
  [ "$1" = engine ] || number=$((gone + 1))
  say "$number" '{"gone": true}'
}

# play NUMBER: begins streams, kills all instances, takes the streams up; in the
# second round the targets of one version leave meanwhile.
play() {
  round=$1
  mkdir "$work/round$round"
  begin engine "$engine_streams"
  until_under_way engine 6
  begin plain "$plain_streams"
  until_under_way plain 3
  kill_gateways "${instances[@]}"
  sleep 0.5
  if [ "$round" -eq 2 ]; then
    remove_most_used engine "$engine_streams"
    gone_engines=$gone
    remove_most_used plain "$plain_streams"
  fi
  start_all
  local i callers=()
  for i in $(seq 1 "$engine_streams"); do
    take_up engine "$i" &
    callers+=($!)
  done
  for i in $(seq 1 "$plain_streams"); do
    take_up plain "$i" &
    callers+=($!)
  done
  wait "${callers[@]}"
}

# count KIND ROUND: sets `broken`, `went_on` and `joined`.
count() {
  local name versions
  broken=0 went_on=0 joined=0
  for name in "$work/round$2/$1"-*.broken; do
    [ -e "$name" ] || continue
    name=${name%.broken}
    broken=$((broken + 1))
    if grep -q "^id: $last_event" "$name".again-*; then
      went_on=$((went_on + 1))
    fi
    versions=$(cat "$name.begun" "$name".again-* |
      grep -o 'software v[12]' | sort -u | wc -l || true)
    if [ "$versions" -gt 1 ]; then joined=$((joined + 1)); fi
  done
  echo "round $2, $1: $broken broken, $went_on went on, $joined joined"
}

start_all
round=0
callers=()
for i in $(seq 1 40); do
  send engine "$i" "warm-$i" "$(instance_of "$i")" >>"$work/warm" &
  callers+=($!)
  sleep 0.3
  both=$(grep -ho 'software v[12]' "$work/warm" | sort -u | wc -l || true)
  [ "$both" -lt 2 ] || [ "$i" -lt 12 ] || break
done
[ "$both" -eq 2 ] || fail 'only one version serves'
# Their places are free again.
wait "${callers[@]}"

play 1
play 2

total_joined=0
total_broken=0
for round in 1 2; do
  for kind in engine plain; do
    count "$kind" "$round"
    total_joined=$((total_joined + joined))
    total_broken=$((total_broken + broken))
  done
done
echo "lists asked for: $(grep -c '^listed' "$work/platform.out" || true)"
[ "$total_broken" -ge 16 ] || fail "only $total_broken streams were broken"
[ "$total_joined" -eq 0 ] ||
  fail "$total_joined streams hold events of two versions"

# The engines that began them are gone: refused, and run nowhere.
left=0
for name in "$work"/round2/engine-*.broken; do
  name=${name%.broken}
  grep -q "software v$gone_engines" "$name.begun" || continue
  left=$((left + 1))
  [[ $(tail -n 1 "$name.again-$tries") == *' 503' ]] ||
    fail "$(basename "$name") went on though its version is gone"
  if grep -q "^run again-engine-2-${name##*-}-" "$work/platform.out"; then
    fail "$(basename "$name") ran though its version is gone"
  fi
done
[ "$left" -ge 1 ] || fail 'no stream began at the engines that left'

# How many go on is asked under virtual time.
grep -hq '"event":"stream_taken_up".*"source":"kept"' "$work"/g*.log ||
  fail 'none went on by what the targets keep'
if grep -q '^BROKEN' "$work/platform.out"; then fail 'a target was misused'; fi
echo 'all checks passed'
