# Functions that start stand-ins and instances on loopback; sourced by
# scripts/demo, the benchmarks of the path and the tests with processes.
# The caller sets `bin` to the folder of the built programs and, for instances
# of the direct path, `net` to the first three numbers of their addresses.

work=$(mktemp -d)
pids=()
declare -A address
declare -A pid_of

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# wait_for FILE PATTERN: prints the first line that matches, once it is there.
wait_for() {
  local line
  for _ in $(seq 600); do
    if line=$(grep -m1 -E "$2" "$1" 2>/dev/null); then
      echo "$line"
      return
    fi
    sleep 0.05
  done
  echo "gave up waiting for $2 in $1" >&2
  return 1
}

# start_standin NAME KIND [OPTION...]: sets address[NAME].
start_standin() {
  local name=$1
  shift
  "$bin/seamglade-standin" "$@" >"$work/$name.out" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
  address[$name]=$(wait_for "$work/$name.out" '^listening' | cut -d' ' -f2)
}

# start_instance NAME ZONE [PEER_ADDRESS]: sets address[NAME-callers], -peers
# and -operators.
start_instance() {
  cat >"$work/$1.ini" <<INI
[instance]
id = $1
zone = $2
caller_address = 127.0.0.1:0
peer_address = ${3:-127.0.0.1:0}
operator_address = 127.0.0.1:0
config_service = ${address[config]}
[end]
INI
  "$bin/seamglade" serve --config "$work/$1.ini" >"$work/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
  local line role
  line=$(wait_for "$work/$1.log" '"event":"listening"')
  for role in callers peers operators; do
    address[$1-$role]=$(sed -E "s/.*$role=([0-9.:]+).*/\1/" <<<"$line")
  done
}

# publish NAME: publishes standard input as a document.
publish() {
  curl -sf -X PUT --data-binary @- \
    "http://${address[config]}/v1/kv/seamglade/$1" >/dev/null
}

# list_instance NAME ZONE and list_target NAME ZONE SERVICE [BASE]: print
# sections of the published list.
list_instance() {
  printf '[instance %s]\nzone = %s\naddress = %s\n' \
    "$1" "$2" "${address[$1-peers]}"
}
list_target() {
  printf '[target %s]\nzone = %s\naddress = %s\nservice = %s\n' \
    "$1" "$2" "${address[$1]}" "$3"
  [ -z "${4:-}" ] || printf 'base = %s\n' "$4"
}

# until_ready NAME...: waits until the instances take requests.
until_ready() {
  local name
  for name in "$@"; do
    for _ in $(seq 600); do
      "$bin/seamglade" status --address "${address[$name-operators]}" \
        >/dev/null && continue 2
      sleep 0.05
    done
    echo "$name did not become ready" >&2
    return 1
  done
}

# until_owned TARGET NAME...: waits until one of the instances holds it.
until_owned() {
  for _ in $(seq 600); do
    owner_of "$@" >/dev/null && return
    sleep 0.05
  done
  echo "$1 has no owner" >&2
  return 1
}

# owner_of TARGET NAME...: prints which of the instances holds the target.
owner_of() {
  local target=$1 name
  shift
  for name in "$@"; do
    if "$bin/seamglade" status --json --address "${address[$name-operators]}" |
      grep -q "\"id\":\"$target\",\"owner\":\"$name\",\"role\":\"owner\""; then
      echo "$name"
      return
    fi
  done
  return 1
}

# fail WORDS...: ends a test; prints the last lines of all that ran.
fail() {
  echo "FAILED: $*" >&2
  local file
  for file in "$work"/*.out "$work"/*.log; do
    echo "--- $file" >&2
    tail -n 30 "$file" >&2
  done
  exit 1
}

# start_platform [PART [ENGINES PLAIN]]: starts the platform's stand-in and sets
# `store`; so many answers of its targets come again, of so many targets. Sets
# `port`: instances of the direct path use it and the next three, each on an
# address of its own in `net`.
start_platform() {
  "$bin/seamglade-platform-standin" "$@" >"$work/platform.out" 2>&1 &
  pids+=($!)
  store=$(wait_for "$work/platform.out" '^listening' | cut -d' ' -f2)
  port=$((20000 + $$ % 20000))
}

# start_gateway N: starts instance N of the direct path, with the grace in
# `gateway_grace` (default 4s) and the further lines of settings in
# `gateway_settings`, by the command in `gateway_prefix`.
start_gateway() {
  local ip=$net.$1
  cat >"$work/g$1.ini" <<INI
[gateway]
id = g$1
failure_domain = z$1
caller_address = $ip:$port
ready_address = $ip:$((port + 1))
peer_address = $ip:$((port + 2))
metrics_address = $ip:$((port + 3))
store_address = $store
seeds = $net.1:1,$net.2:1
grace = ${gateway_grace:-4s}
${gateway_settings:-}
[end]
INI
  ${gateway_prefix:-} "$bin/seamglade" serve --config "$work/g$1.ini" \
    >>"$work/g$1.log" 2>&1 &
  pids+=($!)
  pid_of[g$1]=$!
}

# kill_gateways N...: kills instances of the direct path at the same moment.
kill_gateways() {
  local n pid victims=() others=()
  for n in "$@"; do victims+=("${pid_of[g$n]}"); done
  kill -KILL "${victims[@]}"
  for pid in "${victims[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    [[ " ${victims[*]} " == *" $pid "* ]] || others+=("$pid")
  done
  pids=("${others[@]}")
}

# until_gateway_ready N: waits until instance N takes requests.
until_gateway_ready() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "http://$net.$1:$((port + 1))/readyz" && return
    sleep 0.05
  done
  fail "g$1 is not ready"
}

# call N PATH ID [CURL OPTION...]: prints the body and the status.
call() {
  curl -s -m 8 -w ' %{http_code}' -H 'Host: desk.example' \
    -H "X-Request-Id: $3" -H 'X-Deadline-Ms: 5000' "${@:4}" \
    "http://$net.$1:$port$2" || true
}
