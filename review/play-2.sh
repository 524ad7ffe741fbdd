# What the scripts of the second review share; sourced by review/N/run.sh, which
# sets `net`, the first three numbers of its instances' addresses, and `trouble`.
# Starts the stand-ins and the project's program as the deploy file does, each
# instance with the settings of a small deployment, and ends all at the end.

folder=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$folder/../.." && pwd)
standin=$top/build/review-2/standin-2
record=$folder/record.txt
work=$(mktemp -d)
pids=()
declare -A pid_of

cannot_run() {
  echo "cannot run: $*" | tee -a "$record" >&2
  exit 2
}

end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end_all EXIT

[ -x "$top/target/seamglade" ] || cannot_run "target/seamglade is not built"
[ -x "$standin" ] || cannot_run "review/build-2.sh has not been run"
port=$((20000 + RANDOM % 9000))
store=$net.250:$port
echo "TROUBLE=$trouble port $port" >"$record"

# The steady clock in milliseconds, as the stand-ins read it.
now_ms() { "$standin" now; }

note() { echo "$(now_ms) $*" >>"$record"; }

# await_listening NAME: until a stand-in listens whose output it names.
await_listening() {
  for _ in $(seq 100); do
    grep -q '^listening' "$work/$1.out" && return
    sleep 0.05
  done
  cannot_run "$1 does not listen"
}

# start_store: its items lie in $work/items.
start_store() {
  : >"$work/store.out"
  "$standin" store "$store" "$work/items" >>"$work/store.out" 2>&1 &
  pids+=($!)
  await_listening store
}

# put KEY VALUE: writes an item as a replica or an operator does.
put() {
  exec 8<>"/dev/tcp/${store%:*}/$port" || cannot_run "no store"
  printf 'PUT /%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "${#2}" "$2" >&8
  read -r -t 1 _ <&8 || true
  exec 8>&-
}

# remove KEY: the item goes.
remove() {
  exec 8<>"/dev/tcp/${store%:*}/$port" || cannot_run "no store"
  printf 'DELETE /%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n' "$1" >&8
  read -r -t 1 _ <&8 || true
  exec 8>&-
}

# start_replicas NAME REPLICA...: a process with replicas, ID=IP:PORT each.
start_replicas() {
  : >"$work/$1.out"
  "$standin" replica "${@:2}" >>"$work/$1.out" 2>&1 &
  pid_of[$1]=$!
  pids+=($!)
  # Its end is part of the play: no word of it from the shell.
  disown
  await_listening "$1"
}

# start_instance N DOMAIN: by the deploy file's command, at its folder.
start_instance() {
  local ip=$net.$1
  cat >"$work/g$1.ini" <<INI
[gateway]
id = edge-$2-$1
failure_domain = $2
regions = $2:guayas
caller_address = $ip:$port
ready_address = $ip:$((port + 1))
peer_address = $ip:$((port + 2))
metrics_address = $ip:$((port + 3))
store_address = $store
seeds = $net.1:$((port + 4)),$net.2:$((port + 4)),$net.3:$((port + 4))
lease = 3000ms
fenced = yes
retry_ratio = 0.2
retry_extra = 54
retry_window = 10s
grace = 8s
key_bound = none
memory_limit = 260MB
descriptor_limit = 4100
[end]
INI
  (cd "$top" && SEAMGLADE_NODE_FILE=$work/g$1.ini \
    exec target/seamglade serve) >>"$work/g$1.log" 2>&1 &
  pid_of[$1]=$!
  pids+=($!)
  disown
}

# answers_ready N: whether an instance says that it is ready.
answers_ready() {
  local line
  exec 9<>"/dev/tcp/$net.$1/$((port + 1))" || return 1
  printf 'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
  read -r -t 1 line <&9 || true
  exec 9>&-
  [[ $line == *" 200 "* ]]
}

until_ready() {
  local n
  for n in "$@"; do
    for _ in $(seq 200); do
      answers_ready "$n" 2>/dev/null && continue 2
      sleep 0.05
    done
    cannot_run "instance $n is not ready"
  done
}
