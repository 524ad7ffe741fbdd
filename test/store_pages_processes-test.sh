#!/usr/bin/env bash
# Real instances before a store that other writers use too, and that answers in
# pages: all are killed and started again, and each is ready and serves; none
# ends by itself or asks without end.
# Usage: store_pages_processes-test.sh BUILD_DIR PLAY [KEY]
#
# Plays: restart: keys that a query treats specially, each the last of a page;
# key: KEY alone, percent-encoded, as the last of a page; refused: each third
# page is refused; empty: each second page is empty, with more to come; stuck:
# the store gives its first page for ever, then others; volume: much is kept by
# other writers; burst: much is written at once, then a configuration; entry: a
# target's entry whose id is no text of a header.
set -euo pipefail
bin=$1
play=$2
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.$((20 + $$ % 200))
served=0
# Memory of an instance on the checkout's machines.
readonly patience_s=60 most_mb=260
# Freed memory that a sanitizer keeps aside is none that the program holds.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=8"

tell() { curl -sf -o /dev/null -X PUT "http://$store/$1" "${@:2}"; }

# calls KIND: prints the store's calls of a kind so far.
calls() {
  curl -sf "http://$store/calls" | grep -oE "$1 [0-9]+" | cut -d' ' -f2
}

# filler BYTES: prints so many bytes.
filler() { head -c "$1" /dev/zero | tr '\0' x; }

all_alive() {
  local n
  for n in "$@"; do
    kill -0 "${pid_of[g$n]}" 2>/dev/null || fail "$play: g$n ended by itself"
  done
}

# is_ready N: tells whether an instance takes requests.
is_ready() {
  curl -sf -m 1 -o /dev/null "http://$net.$1:$((port + 1))/readyz"
}

# all_ready N...: fails unless all are ready in time.
all_ready() {
  local n end=$((SECONDS + patience_s))
  for n in "$@"; do
    until is_ready "$n"; do
      [ "$SECONDS" -lt "$end" ] || fail "$play: g$n is not ready"
      sleep 0.05
    done
  done
  all_alive "$@"
}

# all_serve N...: fails unless each serves a request.
all_serve() {
  local n answer
  for n in "$@"; do
    served=$((served + 1))
    answer=$(call "$n" /get/x "id$served")
    [[ $answer == *' 200' ]] || fail "$play: g$n answers $answer"
  done
}

start_all() {
  local n
  for n in "$@"; do start_gateway "$n"; done
}

# start_anew N...: kills the instances at once and starts them again.
start_anew() {
  kill_gateways "$@"
  start_all "$@"
}

# peak_mb N: prints the most memory that an instance has held.
peak_mb() {
  awk '/VmHWM/ { print int($2 / 1024) }' "/proc/${pid_of[g$1]}/status"
}

# in_force N VERSION: fails unless a configuration is in force in time.
in_force() {
  local end=$((SECONDS + patience_s))
  until grep -q "configuration_accepted\",\"version\":$2," "$work/g$1.log"; do
    [ "$SECONDS" -lt "$end" ] || fail "$play: version $2 is not in force at g$1"
    sleep 0.1
  done
}

start_platform 0 1 1
case $play in
  restart)
    tell 'pages?items=1'
    start_all 1 2 3 4 5 6
    all_ready 1 2 3 4 5 6
    start_anew 1 2 3 4 5 6
    all_ready 1 2 3 4 5 6
    all_serve 1 2 3 4 5 6
    [ "$(calls unreadable)" = 0 ] || fail 'the store was asked what is no query'
    ;;
  key)
    tell "put/$3" -d text
    tell "put/op%2F$3" -d text
    tell "put/servers%2F$3" -d text
    tell 'pages?items=1'
    start_all 1
    all_ready 1
    all_serve 1
    ;;
  refused)
    tell 'pages?items=9&refuse_each=3'
    start_all 1 2
    all_ready 1 2
    all_serve 1 2
    ;;
  empty)
    tell 'pages?items=9&empty_each=2'
    start_all 1 2
    all_ready 1 2
    all_serve 1 2
    ;;
  stuck)
    tell 'pages?items=9&stuck=1'
    start_all 1
    sleep 1
    before=$(calls range)
    sleep 5
    asked=$(($(calls range) - before))
    # A read that failed is tried again after a pause, not at once.
    [ "$asked" -le 25 ] || fail "$asked range calls in 5 s"
    all_alive 1
    tell 'pages?items=9'
    all_ready 1
    all_serve 1
    ;;
  volume)
    filler 240000 >"$work/value"
    tell 'put/many?copies=600' --data-binary "@$work/value"
    tell 'put/op%2Fmany?copies=200' --data-binary "@$work/value"
    tell 'put/servers%2Fa-many?copies=100' --data-binary "@$work/value"
    start_all 1 2
    all_ready 1 2
    start_anew 1 2
    all_ready 1 2
    all_serve 1 2
    for n in 1 2; do
      [ "$(peak_mb "$n")" -le "$most_mb" ] ||
        fail "g$n held $(peak_mb "$n") MB"
    done
    ;;
  burst)
    start_all 1 2
    all_ready 1 2
    filler 1000000 >"$work/value"
    tell 'put/many?copies=20' --data-binary "@$work/value"
    tell version/5
    in_force 1 5
    in_force 2 5
    ;;
  entry)
    desk=$(wait_for "$work/platform.out" '^target desk-1 ' | cut -d' ' -f3)
    entry=$(printf '{"svc":"desk","addr":"%s","zone":"z1","state":"ready"}' \
      "$desk")
    tell 'put/servers%2Fdesk-9%0D%0AX-Injected:%201' -d "$entry"
    start_all 1
    all_ready 1
    all_serve 1 1 1 1
    ! grep -q BROKEN "$work/platform.out" || fail 'a header was put in'
    grep -q '"event":"item_unreadable"' "$work/g1.log" ||
      fail 'an entry that names no target has no line'
    ;;
  *) fail "unknown play $play" ;;
esac
echo 'all checks passed'
