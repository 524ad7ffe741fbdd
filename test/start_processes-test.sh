#!/usr/bin/env bash
# Real processes that start while something is missing: an address that is
# held or not there, a settings file that is being written. Each goes on
# trying and serves once it can; what will never be right ends it at once.
# Usage: start_processes-test.sh BUILD_DIR KIND, with KIND one of addresses,
# former_life, settings, settings_variable, reload, stop, refused, owners,
# last_words.
set -euo pipefail
bin=$1
kind=$2
source "$(dirname "$0")/../scripts/fleet.sh"

net=127.0.7
ip=$net.1
case_number=0

# next_case WORDS...: names a case; sets ini, log and ports of its own.
next_case() {
  case_number=$((case_number + 1))
  echo "case: $*"
  port=$((20000 + ($$ * 97 + case_number * 5) % 12000))
  name=c$case_number
  ini=$work/$name.ini
  log=$work/$name.log
}

# settings [LINE...]: prints the settings of the case, with lines in front of
# the end.
settings() {
  cat <<INI
[gateway]
id = $name
failure_domain = z1
caller_address = ${caller:-$ip}:$port
ready_address = $ip:$((port + 1))
peer_address = $ip:$((port + 2))
metrics_address = $ip:$((port + 3))
store_address = $store
seeds = $ip:1
grace = 4s
INI
  [ $# -eq 0 ] || printf '%s\n' "$@"
  echo '[end]'
}

# serve: starts an instance with the case's settings; sets `instance`.
serve() {
  "$bin/seamglade" serve --config "$ini" >>"$log" 2>&1 &
  instance=$!
  pids+=("$instance")
}

# said PATTERN: waits until the instance says it; fails if it ends before.
said() {
  local is_alive
  for _ in $(seq 1200); do
    is_alive=yes
    kill -0 "$instance" 2>/dev/null || is_alive=no
    if grep -qE "$1" "$log"; then return; fi
    [ "$is_alive" = yes ] || fail "the instance ended without saying $1"
    sleep 0.05
  done
  fail "the instance does not say $1"
}

# ready: waits until the instance takes requests; fails if it ends before.
ready() {
  for _ in $(seq 1200); do
    curl -sf -o /dev/null -m 5 "http://$ip:$((port + 1))/readyz" && return
    kill -0 "$instance" 2>/dev/null || fail 'the instance ended'
    sleep 0.05
  done
  fail 'the instance is not ready'
}

not_ready() {
  if curl -sf -o /dev/null -m 5 "http://$ip:$((port + 1))/readyz"; then
    fail 'the instance is ready without its addresses'
  fi
}

# hold KIND ADDRESS: has a process hold an address; sets `holder`.
hold() {
  "$bin/seamglade-holder-standin" "$1" "$2" >"$work/holder$case_number.out" \
    2>&1 &
  holder=$!
  pids+=("$holder")
  wait_for "$work/holder$case_number.out" '^holding' >/dev/null
}

# end_now PID: kills a process and waits for its end.
end_now() {
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
}

# ends_with CODE: waits for the instance's end; fails on another code.
ends_with() {
  local code=0
  for _ in $(seq 1200); do
    kill -0 "$instance" 2>/dev/null || break
    sleep 0.05
  done
  ! kill -0 "$instance" 2>/dev/null || fail 'the instance does not end'
  wait "$instance" || code=$?
  [ "$code" = "$1" ] || fail "the instance ended with $code, not with $1"
}

# waits_for ROLE KIND ADDRESS: an instance starts while an address is held.
waits_for() {
  hold "$2" "$3"
  settings >"$ini"
  serve
  said "\"event\":\"listen_wait\",\"role\":\"$1\",\"address\":\"$3\""
  if [ "$1" = metrics ]; then ready; else not_ready; fi
  end_now "$holder"
  said '"event":"listening"'
  ready
  curl -sf -m 5 "http://$ip:$((port + 3))/metrics" >"$work/metrics" ||
    fail 'no metrics'
  grep -q '^seamglade_listen_waits_total 1$' "$work/metrics" ||
    fail 'the wait was not counted'
  end_now "$instance"
}

test_addresses() {
  local role how offset
  for role in callers:0 ready:1 peers:2 metrics:3; do
    offset=${role#*:}
    for how in listener connected; do
      next_case "${role%:*}, held by a $how socket"
      waits_for "${role%:*}" "$how" "$ip:$((port + offset))"
    done
  done
  next_case 'datagrams, held by a socket'
  waits_for datagrams datagrams "$ip:$((port + 2))"
}

test_former_life() {
  local former role
  next_case 'all addresses, held by its former life that stands still'
  settings >"$ini"
  serve
  ready
  former=$instance
  kill -STOP "$former"
  log=$work/$name-next.log
  serve
  for role in callers ready peers datagrams metrics; do
    said "\"event\":\"listen_wait\",\"role\":\"$role\""
  done
  end_now "$former"
  said '"event":"listening"'
  ready
}

# written_late [WRITER...]: an instance starts while its file is not whole;
# WRITER keeps changing the file meanwhile. The file is whole afterwards.
written_late() {
  local writer=
  if [ $# -gt 0 ]; then
    "$@" &
    writer=$!
    pids+=("$writer")
  fi
  serve
  said '"event":"settings_wait"'
  [ -z "$writer" ] || end_now "$writer"
  settings >"$ini"
  ready
  end_now "$instance"
}

# cut_at BYTES: keeps writing the first bytes of the settings.
cut_at() {
  local whole
  whole=$(settings)
  while true; do
    printf '%s' "${whole:0:$1}" >"$ini"
    sleep 0.05
  done
}

# behind TEXT: prints how many bytes the settings have up to the end of TEXT.
behind() {
  local before
  before=$(settings)
  before=${before%%"$1"*}$1
  echo ${#before}
}

test_settings() {
  next_case 'no settings file'
  written_late
  next_case 'signals while the settings are missing'
  serve
  said '"event":"settings_wait"'
  kill -HUP "$instance"
  kill -PIPE "$instance"
  settings >"$ini"
  ready
  end_now "$instance"
  next_case 'an empty settings file'
  : >"$ini"
  written_late
  next_case 'settings that are cut within a key'
  written_late cut_at "$(behind 'metrics_addr')"
  next_case 'settings that are cut between two keys'
  written_late cut_at "$(behind "seeds = $ip:1")"
  next_case 'the first bytes of the settings'
  written_late cut_at 4
  next_case 'a sound file by hand, without an end'
  settings | grep -v '^\[end\]' >"$ini"
  serve
  ready
}

# Guards against an instance that waits for a file at another path for ever.
test_settings_variable() {
  next_case 'settings that a variable names'
  SEAMGLADE_NODE_FILE=$ini "$bin/seamglade" serve >>"$log" 2>&1 &
  instance=$!
  pids+=("$instance")
  said "\"event\":\"settings_wait\".*$ini"
  settings >"$ini"
  ready
  end_now "$instance"
  next_case 'settings that nothing names'
  env -u SEAMGLADE_NODE_FILE "$bin/seamglade" serve >>"$log" 2>&1 &
  instance=$!
  pids+=("$instance")
  said '"event":"settings_wait".*/etc/seamglade/boot.toml'
  kill -TERM "$instance"
  ends_with 0
}

test_reload() {
  local whole
  next_case 'settings that are written again'
  settings >"$ini"
  serve
  ready
  cut_at "$(behind 'metrics_addr')" &
  writer=$!
  pids+=("$writer")
  said '"event":"settings_wait"'
  end_now "$writer"
  whole=$(settings 'retry_ratio = 0.3')
  printf '%s\n' "$whole" >"$ini"
  said '"event":"settings_reloaded"'
  ! grep -q settings_refused "$log" || fail 'a cut file was taken for whole'
  ready
}

test_stop() {
  next_case 'a stop while an address is held'
  hold listener "$ip:$port"
  settings >"$ini"
  serve
  said '"event":"listen_wait","role":"callers"'
  kill -TERM "$instance"
  ends_with 0
  said '"event":"stopped"'
  end_now "$holder"

  next_case 'a stop while the peers address is held'
  hold listener "$ip:$((port + 2))"
  settings >"$ini"
  serve
  said '"event":"listen_wait","role":"peers"'
  kill -TERM "$instance"
  ends_with 0
  said '"event":"stopped"'

  next_case 'a stop while an address is not up'
  # An address for documentation (RFC 5737), which no machine has.
  caller=192.0.2.1 settings >"$ini"
  serve
  said '"event":"listen_wait","role":"callers","address":"192.0.2.1'
  kill -TERM "$instance"
  ends_with 0
  said '"event":"stopped"'

  next_case 'a stop while the settings are missing'
  serve
  said '"event":"settings_wait"'
  kill -TERM "$instance"
  ends_with 0
  said '"event":"stopped"'
}

test_refused() {
  next_case 'a wrong word in a whole file'
  settings 'grce = 4s' >"$ini"
  serve
  ends_with 2
  grep -q "^$ini:11: unknown_key: grce" "$log" || fail 'no file and line'
  grep -q '"event":"ended","reason":"failed_start".*"type":"unknown_key"' \
    "$log" || fail 'no last words'

  next_case 'an address that is none'
  caller=127.0.0.300 settings >"$ini"
  serve
  ends_with 2
  grep -q "^$ini:4: bad_value: caller_address" "$log" ||
    fail 'no file and line'
  grep -q '"event":"ended","reason":"failed_start".*"type":"bad_value"' \
    "$log" || fail 'no last words'
}

# owner_settings: prints the settings of an instance of the path through
# owners.
owner_settings() {
  cat <<INI
[instance]
id = $name
zone = z1
caller_address = $ip:$port
peer_address = $ip:$((port + 2))
operator_address = $ip:$((port + 3))
config_service = ${address[config]}
[end]
INI
}

test_owners() {
  local role how offset
  start_standin config config
  for role in callers:0 peers:2 operators:3; do
    offset=${role#*:}
    for how in listener connected; do
      next_case "${role%:*}, held by a $how socket"
      hold "$how" "$ip:$((port + offset))"
      owner_settings >"$ini"
      serve
      said '"event":"listen_wait","detail":"'"${role%:*} $ip:$((port + offset))"
      end_now "$holder"
      said '"event":"listening"'
      end_now "$instance"
    done
  done
  next_case 'a stop while an address is held'
  hold listener "$ip:$((port + 2))"
  owner_settings >"$ini"
  serve
  said '"event":"listen_wait"'
  kill -TERM "$instance"
  ends_with 0
  said '"event":"finished"'
}

test_last_words() {
  local signal
  for signal in SEGV BUS FPE ILL ABRT; do
    next_case "an instance that ends by SIG$signal"
    settings >"$ini"
    serve
    ready
    kill -"$signal" "$instance"
    wait "$instance" 2>/dev/null && fail 'the signal did not end it'
    grep -qE "\"instance\":\"$name\",\"event\":\"ended\",\"reason\":\"signal\",\"signal\":\"SIG$signal\"}\$" \
      "$log" || fail 'no last words'
  done
}

start_platform
"test_$kind"
echo 'all checks passed'
