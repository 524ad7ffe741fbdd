#!/usr/bin/env bash
# A real instance before targets in trouble: no caller gets a broken answer as
# an answer, none runs twice what may not be repeated, the log tells why, and
# what is sound is passed on. Usage: broken_answer_processes-test.sh BUILD_DIR
set -euo pipefail
bin=$1
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.7
port=$((20000 + $$ % 20000))
"$bin/seamglade-broken-standin" >"$work/broken.out" 2>&1 &
pids+=($!)
store=$(wait_for "$work/broken.out" '^listening' | cut -d' ' -f2)
start_gateway 1
until_gateway_ready 1

names() { sed -n "s/^$1 //p" "$work/broken.out"; }
head -c 6000000 /dev/zero >"$work/upload"

# expect_failure KIND ROUTE NAME [CURL OPTION...]: no success, or not whole.
expect_failure() {
  local result=0 answer
  answer=$(curl -s -m 10 -o /dev/null -w '%{http_code}' \
    -H 'Host: desk.example' -H "X-Request-Id: $2-$3" -H 'X-Deadline-Ms: 3000' \
    "${@:4}" "http://$net.1:$port/$2/$3/x") || result=$?
  if [ "$result" -eq 0 ] && [[ $answer != 5* ]]; then
    fail "$1 $3 on /$2/ passed as $answer"
  fi
}

# For longer than an instance waits for a first byte, heads alone that break off.
for _ in {1..10}; do
  for name in $(names broken | grep '^cut_'); do
    expect_failure broken i "$name" -d ''
  done
  sleep 0.1
done
for name in $(names broken); do
  for way in m i; do expect_failure broken "$way" "$name" -d ''; done
  grep -q "\"event\":\"call_broken\",\"request\":\"m-$name\"" \
    "$work/g1.log" || fail "the log does not tell of $name"
done
for name in $(names early); do
  for way in m i; do
    expect_failure early "$way" "$name" --data-binary "@$work/upload"
  done
done
for name in $(names broken) $(names early); do
  runs=$(grep -c "^run m-$name $name\$" "$work/broken.out" || true)
  [ "$runs" -eq 1 ] || fail "$name ran $runs times"
done
for name in $(names odd); do
  answer=$(call 1 "/m/$name/x" "m-$name" -d '')
  [[ $answer == 'ok 2'* ]] || fail "$name came as '$answer'"
done
for name in $(names refused); do
  answer=$(call 1 "/m/$name/x" "m-$name" --data-binary "@$work/upload")
  [[ $answer == *' 413' ]] || fail "$name came as '$answer'"
done
for fault in status_line field folded_line coding length chunk; do
  grep -q "\"fault\":\"$fault\"" "$work/g1.log" || fail "no fault $fault"
done
# Bytes that are no answer are bytes: the way to targets is there.
! grep -q '"event":"targets_lost"' "$work/g1.log" ||
  fail 'the instance took itself for cut off from its targets'
kill -0 "${pid_of[g1]}" || fail 'the instance has ended'
echo 'all checks passed'
