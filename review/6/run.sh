#!/usr/bin/env bash
# Three instances of one zone are stopped and started in turn (SIGTERM, 1 s
# apart). Callers send requests that may not be repeated, each over a connection
# of its own, to the instances that the platform's entry has in use. See
# claim.txt. Exits with 1 if a planned stop cut a request off, 0 if none, 2 if
# the case couldn't run.
# TROUBLE=0 does the same without the disruption, and has to pass.
set -uo pipefail
trouble=${TROUBLE:-1}
net=127.0.86
source "$(dirname "$0")/../play-2.sh"

grace_ms=8000
work_ms=3000
deadline_ms=5000
instances=(1 2 3)

cat >"$work/items" <<'ITEMS'
op/config {"cfg_ver":3,"routes":[{"name":"set","host":"desk.example","prefix":"/set/","type":"mutating","timeout_ms":5000,"slo_ms":5000,"prio":0,"svc":"mesa-app","attempts":1}],"svcs":[{"name":"mesa-app","health_path":"/healthz","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000}}
servers/i-1 {"svc":"mesa-app","addr":"127.0.86.101:PORT","zone":"sala-centro","cfg_ver":"v1","slots":6,"state":"ready","seq":1}
servers/i-2 {"svc":"mesa-app","addr":"127.0.86.102:PORT","zone":"sala-centro","cfg_ver":"v1","slots":6,"state":"ready","seq":1}
servers/i-3 {"svc":"mesa-app","addr":"127.0.86.103:PORT","zone":"sala-centro","cfg_ver":"v1","slots":6,"state":"ready","seq":1}
ITEMS
sed -i "s/PORT/$port/" "$work/items"
start_store
start_replicas platform "i-1=$net.101:$port" "i-2=$net.102:$port" "i-3=$net.103:$port"
for n in "${instances[@]}"; do start_instance "$n" sala-centro; done
until_ready "${instances[@]}"
sleep 2

fronts=()
for n in "${instances[@]}"; do
  fronts+=("$net.$n:$port,$net.$n:$((port + 1))")
done
"$standin" clients "5|500|22000|POST|/set/x?work=$work_ms|$deadline_ms|r" \
  "${fronts[@]}" >"$work/clients.out" 2>&1 &
clients=$!
pids+=("$clients")
sleep 4

# stop_and_start N: as the platform does: SIGTERM, SIGKILL after the grace, and
# a new process soon after the end.
stop_and_start() {
  local pid=${pid_of[$1]} over
  note "SIGTERM instance $1"
  echo "$1 $(now_ms)" >>"$work/stops"
  kill -TERM "$pid"
  over=$(($(now_ms) + grace_ms))
  while kill -0 "$pid" 2>/dev/null && [ "$(now_ms)" -lt "$over" ]; do
    sleep 0.02
  done
  kill -KILL "$pid" 2>/dev/null
  note "ended instance $1"
  sleep 0.3
  echo "$1" >>"$work/again"
}
touch "$work/stops" "$work/again"
if [ "$trouble" != 0 ]; then
  for n in "${instances[@]}"; do
    stop_and_start "$n" &
    pids+=($!)
    sleep 1
  done
fi
# New processes are this shell's own, so that it can end them.
started=0
while kill -0 "$clients" 2>/dev/null; do
  count=$(wc -l <"$work/again")
  while [ "$started" -lt "$count" ]; do
    started=$((started + 1))
    n=$(sed -n "${started}p" "$work/again")
    start_instance "$n" sala-centro
    note "started instance $n"
  done
  sleep 0.05
done

sort -t' ' -k6n "$work/clients.out" >>"$record"
cat "$work/platform.out" >>"$record"

# A request counts that was sent to a stopping instance, was run by a replica
# and whose connection ended without a complete answer before its deadline; not
# if it was sent no later than 3 s after the SIGTERM and its replica was still
# at work in the last sixth of the grace.
awk -v grace="$grace_ms" -v deadline="$deadline_ms" -v net="$net" \
  -v stops="$work/stops" -v runs="$work/platform.out" '
  BEGIN {
    while ((getline line < stops) > 0) {
      split(line, part, " ")
      stopped[net "." part[1]] = part[2]
    }
    while ((getline line < runs) > 0) {
      split(line, part, " ")
      if (part[1] == "run") began[part[2]] = part[5]
      if (part[1] ~ /^ran/) ended[part[2]] = part[5]
    }
  }
  $1 == "request" {
    ++sent
    ip = $4
    sub(/:.*/, "", ip)
    at = $6
    end = $8
    sub(/:/, "", end)
    result = $0
    sub(/^.*: /, "", result)
    ++results[result]
    if (!(ip in stopped) || !($2 in began)) next
    if (result !~ /^(closed|reset)/) next
    since = at - stopped[ip]
    if (since > grace + 1000 || end - at >= deadline) next
    if (end - stopped[ip] < 0) next
    late = stopped[ip] + grace * 5 / 6
    is_excused = since <= 3000 && ended[$2] >= late
    printf "%s: %s, sent %d ms after the SIGTERM, ended %d ms after it, run from %d to %d: %s\n",
      $2, ip, since, end - stopped[ip], began[$2] - stopped[ip],
      ended[$2] - stopped[ip], is_excused ? "excused" : "LOST"
    if (!is_excused) ++lost
  }
  END {
    for (result in results) printf "%d requests: %s\n", results[result], result
    printf "%d requests sent, %d lost\n", sent, lost
    exit lost > 0 ? 1 : 0
  }' "$work/clients.out" >>"$record"
broken=$?
tail -n 12 "$record"
grep -q ' requests sent, ' "$record" || cannot_run "no requests were sent"
grep -q 'requests: status 200, complete, whole' "$record" ||
  cannot_run "nothing is served"
exit "$broken"
